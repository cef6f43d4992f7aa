/**
 * Leaves out workers whose weights have been outdated for long, as after an absence,
 * so that the rollout updates them first. Whether there are others is judged over
 * all live workers of the service: those that are left for one request, or that
 * belong to the group that a coordinator places in, may all be outdated.
 */
import type { Worker } from '../workers/workersTypes.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { Exchange } from './forwardingTypes.js'

/** Fraction of the maximum outdated time after which a worker gets no new request, since a request may wait at the worker before it begins. */
const usableShare = 0.7

/**
 * Returns the workers with usable weights; all of them if no live worker of the service has such weights, or if the request needs no model.
 *
 * @param context - state of the instance
 * @param exchange - the request
 * @param workers - the workers that may get it
 * @param now - present time, in ms
 */
export const withUsableWeights = (context: Pick<ForwardingContext, 'workers' | 'weights' | 'bounds'>, { call, service }: Pick<Exchange, 'call' | 'service'>, workers: readonly Worker[], now: number): readonly Worker[] => {
  const { prompt } = call
  if (prompt === undefined) return workers
  const longest = context.bounds().weights * usableShare
  const isUsable = (worker: Worker): boolean => context.weights.outdatedFor(worker, prompt.model, now) < longest
  return context.workers.live(service).some(isUsable) ? workers.filter(isUsable) : workers
}
