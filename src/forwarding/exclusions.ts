/** The workers that a request is not sent to again, as they rejected it, failed or could not be reached. */
import type { ForwardingContext } from './forwardingContext.js'
import type { Attempt, Exchange } from './forwardingTypes.js'
import { rejectedRetryAfter } from './waitOrRefuse.js'

/** Does not send the request to the worker again. */
export const exclude = ({ excluded }: Exchange, worker: string): void => { excluded.set(worker, Infinity) }

/**
 * Does not send the request to the worker of an attempt that it has rejected. A
 * stream that has begun may go there again after a pause, since its caller loses it
 * otherwise; so may a second attempt, since the current one is kept meanwhile.
 */
export const excludeAfterRejection = ({ excluded, headSent, second }: Exchange, attempt: Attempt, now: number): void => {
  excluded.set(attempt.worker, headSent || attempt === second ? now + rejectedRetryAfter : Infinity)
}

/** Whether a stream that has begun may still go on: at a worker that may take it again, or at a further one if its route allows more. */
export const mayFindWorker = (context: Pick<ForwardingContext, 'workers'>, exchange: Exchange): boolean => {
  const listed = [...exchange.sentTo].filter(id => context.workers.get(id) !== undefined)
  return listed.length < exchange.route.maxWorkers || listed.some(id => !isExcludedForGood(exchange, id))
}

/** Places the request while the workers that have its attempts are left out. */
export const withoutWorkers = <Result>({ excluded }: Exchange, workers: readonly string[], place: () => Result): Result => {
  const before = workers.map(worker => [worker, excluded.get(worker)] as const)
  for (const worker of workers) excluded.set(worker, Infinity)
  const result = place()
  for (const [worker, until] of before) {
    if (until === undefined) excluded.delete(worker)
    else excluded.set(worker, until)
  }
  return result
}

/** Whether the worker is not tried at this time, in ms. */
export const isExcluded = ({ excluded }: Exchange, worker: string, now: number): boolean => now < (excluded.get(worker) ?? -Infinity)

/** Whether the worker is never tried again. */
export const isExcludedForGood = ({ excluded }: Exchange, worker: string): boolean => excluded.get(worker) === Infinity
