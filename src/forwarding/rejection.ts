/** Why a worker has turned a request away without running it. */
import type { AnswerHead } from '../ports/forwardPort.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { Attempt, Exchange } from './forwardingTypes.js'

/** The reason, as far as the answer and the beliefs tell. */
export type Rejection =
  /** Another worker has the address now. */
  | { readonly kind: 'otherWorker' }
  /** The worker holds other weights than it was asked for. */
  | { readonly kind: 'otherVersion', readonly held: number }
  /** It is full, or loads weights. */
  | { readonly kind: 'unwilling' }

const misdirected = 421

/**
 * Finds the reason.
 *
 * @param context - the instance
 * @param exchange - the request
 * @param attempt - its send to the worker
 * @param head - the worker's answer
 */
export const rejectionReason = (context: ForwardingContext, { call: { prompt } }: Exchange, attempt: Attempt, head: AnswerHead): Rejection => {
  if (head.status !== misdirected) return { kind: 'unwilling' }
  if (head.worker !== undefined && head.worker !== attempt.worker) return { kind: 'otherWorker' }
  const newest = prompt === undefined ? undefined : context.weights.newest(prompt.model)
  if (newest === undefined || attempt.version === newest.version || context.workers.get(attempt.worker) === undefined) return { kind: 'unwilling' }
  return { kind: 'otherVersion', held: head.weightVersion ?? newest.version }
}
