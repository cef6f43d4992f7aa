/**
 * Decides whether a request for which no worker is available waits at the
 * instance or is refused. The load pattern is a service of which all workers are
 * unavailable for moments (they load weights, restart, or asked for a pause):
 * waiting bridges the moment, but a request that could not be served in time
 * anyway is refused at once, so that its caller can return when there is room. A
 * stream that has begun cannot be refused, only broken off, so it waits for as long
 * as its caller does.
 */
import type { Refusal } from './refusal.js'

/** What the decision depends on; times in ms. */
export interface WaitInput {
  readonly arrivedAt: number
  readonly deadline: number
  /** Time within which a response is on time. */
  readonly objective: number
  /** When the caller got the last event of a stream that has begun; undefined for other requests. */
  readonly lastEventAt: number | undefined
  /** Whether the request has reached as many workers as its route allows. */
  readonly workersExhausted: boolean
  /** Whether the service has a live worker that has not rejected the request, or may have one within the reach of another instance. */
  readonly hasLiveWorker: boolean
  /** Whether a worker has had the request already. */
  readonly isRetry: boolean
  /** Time until which all workers have asked for no requests; undefined if one has not. */
  readonly pausedUntil: number | undefined
}

/** The request waits until `until` (ms) at most, or is refused. */
export type WaitDecision =
  | { readonly kind: 'wait', readonly until: number }
  | { readonly kind: 'refuse', readonly refusal: Refusal }

/** Longest time for which a request may wait for a worker, as a fraction of its route's objective. */
export const maxWaitShare = 0.5
/** Longest pause, in ms, in a stream that waits for a worker to go on with it; callers give a stream up after 2 s. */
const maxStreamPause = 1_500
/** Time, in ms, after which a worker that is full or loading weights is likely to accept requests again. */
export const rejectedRetryAfter = 120

/**
 * Decides whether a request waits.
 *
 * @param input - the request and the state of its service
 * @param now - present time, in ms
 */
export const decideWait = ({ arrivedAt, deadline, objective, lastEventAt, workersExhausted, hasLiveWorker, isRetry, pausedUntil }: WaitInput, now: number): WaitDecision => {
  const until = Math.min(deadline, lastEventAt === undefined ? arrivedAt + maxWaitShare * objective : lastEventAt + maxStreamPause)
  if (workersExhausted) return { kind: 'refuse', refusal: { kind: 'turnedAway', wait: rejectedRetryAfter } }
  if (pausedUntil !== undefined && pausedUntil > until) return { kind: 'refuse', refusal: { kind: 'turnedAway', wait: pausedUntil - now } }
  if (now >= until || (!hasLiveWorker && isRetry && lastEventAt === undefined)) return { kind: 'refuse', refusal: { kind: 'noWorker' } }
  return { kind: 'wait', until }
}
