/**
 * Leaves out workers whose weights have been outdated for long, as after an absence,
 * so that the rollout updates them first. Whether there are others is judged over
 * all live workers of the service: those that are left for one request, or that
 * belong to the group that a coordinator places in, may all be outdated. As a
 * service may have hundreds of workers, the judgement is kept for a moment.
 */
import type { Worker } from '../workers/workersTypes.js'
import type { WeightsTracker } from '../workers/weightsTracker.js'
import type { WorkersDb } from '../workers/workersDb.js'

/** The workers whose weights may be used; `now` in ms. */
export interface UsableWeights {
  /** Returns those of the workers of a service that hold usable weights; all of them if no live worker of the service does. */
  readonly among: (workers: readonly Worker[], service: string, model: string, now: number) => readonly Worker[]
}

/** What the choice depends on. */
export interface UsableWeightsOptions {
  readonly workers: Pick<WorkersDb, 'live'>
  readonly weights: Pick<WeightsTracker, 'outdatedFor'>
  /** Time from the announcement of newer weights after which requests may no longer begin on outdated ones, in ms. */
  readonly maxOutdatedTime: () => number
}

/** Fraction of the maximum outdated time after which a worker gets no new request, since a request may wait at the worker before it begins. */
const usableShare = 0.7
/** Time for which the judgement over all live workers is kept, in ms. */
const keepTime = 100

/**
 * Creates the choice, which has judged nothing.
 *
 * @param options - the workers and their weights
 */
export const createUsableWeights = ({ workers: db, weights, maxOutdatedTime }: UsableWeightsOptions): UsableWeights => {
  const judged = new Map<string, { readonly anyUsable: boolean, readonly until: number }>()

  const isUsable = (worker: Worker, model: string, now: number): boolean =>
    weights.outdatedFor(worker, model, now) < maxOutdatedTime() * usableShare

  /** Callers may name models without end. */
  const forgetOld = (now: number): void => {
    for (const [key, { until }] of judged) if (until <= now) judged.delete(key)
  }

  const isAnyUsable = (service: string, model: string, now: number): boolean => {
    const key = JSON.stringify([service, model])
    const known = judged.get(key)
    if (known !== undefined && now < known.until) return known.anyUsable
    const anyUsable = db.live(service).some(worker => isUsable(worker, model, now))
    forgetOld(now)
    judged.set(key, { anyUsable, until: now + keepTime })
    return anyUsable
  }

  const among: UsableWeights['among'] = (workers, service, model, now) =>
    isAnyUsable(service, model, now) ? workers.filter(worker => isUsable(worker, model, now)) : workers

  return { among }
}
