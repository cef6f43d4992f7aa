/** Determines why a worker rejected a request without running it. */
import type { AnswerHead } from '../ports/forwardPort.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { Attempt, Exchange } from './forwardingTypes.js'

/** Why a worker rejected a request, as far as its response and the known worker state show. */
export type Rejection =
  /** Another worker has taken over the address. */
  | { readonly kind: 'otherWorker' }
  /** The worker holds a different version of the weights than the request asked for. */
  | { readonly kind: 'otherVersion', readonly held: number }
  /** The worker is full or loading weights. */
  | { readonly kind: 'unavailable' }

/** HTTP status 421. */
const misdirectedRequest = 421

/**
 * Determines why a worker rejected a request.
 *
 * @param context - state of the instance
 * @param exchange - the request
 * @param attempt - the rejected attempt
 * @param head - head of the worker's response
 * @returns the reason; only status 421 can mean another worker or another version
 */
export const rejectionReason = (context: ForwardingContext, { call: { prompt } }: Exchange, attempt: Attempt, head: AnswerHead): Rejection => {
  if (head.status !== misdirectedRequest) return { kind: 'unavailable' }
  if (head.worker !== undefined && head.worker !== attempt.worker) return { kind: 'otherWorker' }
  const newest = prompt === undefined ? undefined : context.weights.newest(prompt.model)
  if (newest === undefined || attempt.version === newest.version || context.workers.get(attempt.worker) === undefined) return { kind: 'unavailable' }
  return { kind: 'otherVersion', held: head.weightVersion ?? newest.version }
}
