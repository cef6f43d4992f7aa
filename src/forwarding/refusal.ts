/** Answers of the instance itself: what they promise, and when the caller may come back. */
import { assertNever } from '../errors.js'
import type { CallProblem } from '../ports/forwardPort.js'

/** Why a request gets no worker's answer. */
export type Refusal =
  /** No configuration is known yet. */
  | { readonly kind: 'noConfiguration' }
  /** The configuration may be out of date, so the key cannot be vouched for. */
  | { readonly kind: 'unprovenConfiguration' }
  | { readonly kind: 'noRoute' }
  | { readonly kind: 'unknownKey' }
  | { readonly kind: 'unreadable', readonly problem: CallProblem }
  /** The service has no live worker. */
  | { readonly kind: 'noWorker' }
  /** No worker would answer in time. */
  | { readonly kind: 'overloaded', readonly wait: number }
  /** A worker turned the request away and no other may be asked. */
  | { readonly kind: 'turnedAway', readonly wait: number }
  /** The time ran out before the request was sent. */
  | { readonly kind: 'lateUnsent' }
  /** The time ran out; the request may have run. */
  | { readonly kind: 'late' }
  /** The worker broke off; the request may have run. */
  | { readonly kind: 'broken' }

/** An answer of the instance itself. */
export interface RefusalResponse {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Buffer
}

/** Time after which an instance without configuration or proof is likely to have one, in ms. */
const proofPause = 400
/** Time after which a vanished worker is likely to be back or replaced, in ms. */
const workerPause = 500
/** Part of the wait by which returns are spread, so that callers do not come back together. */
const spread = 0.5
const shortestPause = 50
const msPerSecond = 1000

const statusOf = (refusal: Refusal): number => {
  switch (refusal.kind) {
    case 'noConfiguration':
    case 'unprovenConfiguration':
    case 'noWorker':
    case 'overloaded':
    case 'turnedAway':
    case 'lateUnsent': return 503
    case 'noRoute': return 404
    case 'unknownKey': return 401
    case 'unreadable': return refusal.problem.kind === 'bodyTooLarge' ? 413 : 400
    case 'late': return 504
    case 'broken': return 502
    default: return assertNever(refusal)
  }
}

const pauseOf = (refusal: Refusal): number | undefined => {
  switch (refusal.kind) {
    case 'noConfiguration':
    case 'unprovenConfiguration': return proofPause
    case 'noWorker':
    case 'lateUnsent': return workerPause
    case 'overloaded':
    case 'turnedAway': return refusal.wait
    case 'noRoute':
    case 'unknownKey':
    case 'unreadable':
    case 'late':
    case 'broken': return undefined
    default: return assertNever(refusal)
  }
}

/** Whether the request has run. */
export const outcomeOf = (refusal: Refusal): 'not_run' | 'unknown' =>
  refusal.kind === 'late' || refusal.kind === 'broken' ? 'unknown' : 'not_run'

/**
 * Words a refusal.
 *
 * @param refusal - why
 * @param unit - a random number from 0 to 1 that spreads the callers' returns
 */
export const refusalResponse = (refusal: Refusal, unit: number): RefusalResponse => {
  const pause = pauseOf(refusal)
  const body = Buffer.from(JSON.stringify({ type: refusal.kind, outcome: outcomeOf(refusal) }))
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)]
  if (pause !== undefined) {
    const wait = Math.max(shortestPause, pause) * (1 + spread * unit)
    headers.push('Retry-After', (wait / msPerSecond).toFixed(2))
  }
  return { status: statusOf(refusal), headers, body }
}
