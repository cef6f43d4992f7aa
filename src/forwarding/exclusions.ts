/** The workers that a request is not sent to again, as they rejected it, failed or could not be reached. */
import type { Exchange } from './forwardingTypes.js'
import { rejectedRetryAfter } from './waitOrRefuse.js'

/** Does not send the request to the worker again. */
export const exclude = ({ excluded }: Exchange, worker: string): void => { excluded.set(worker, Infinity) }

/**
 * Does not send the request to a worker that has rejected it. A stream that has
 * begun may go there again after a pause, since its caller loses it otherwise.
 */
export const excludeAfterRejection = ({ excluded, headSent }: Exchange, worker: string, now: number): void => {
  excluded.set(worker, headSent ? now + rejectedRetryAfter : Infinity)
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
