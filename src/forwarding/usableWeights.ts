/**
 * Leaves out workers whose weights have been outdated for long, as after an absence,
 * so that the rollout updates them first: soon if others are available, at the
 * latest when no request may begin on them. Whether there are others is judged over
 * all live workers of the service: those that are left for one request, or that
 * belong to the group that a coordinator places in, may all be outdated. As a
 * service may have hundreds of workers, the judgement is kept for a moment.
 */
import { isPresumedReachable, type WorkerLoad } from '../placement/workerLoad.js'
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
  readonly weights: Pick<WeightsTracker, 'outdatedFor' | 'isLoading'>
  readonly loadOf: (worker: string) => WorkerLoad
  /** Time from the announcement of newer weights after which requests may no longer begin on outdated ones, in ms. */
  readonly maxOutdatedTime: () => number
}

/** The longest time for which weights may be outdated, in ms, judged over all live workers, and until when it is kept. */
interface Judgement {
  readonly limit: number
  readonly until: number
}

/** Fraction of the maximum outdated time after which a worker gets no new request if others are available, since a request may wait at the worker before it begins. */
const usableShare = 0.7
/** Time for which the judgement over all live workers is kept, in ms. */
const keepTime = 100

/**
 * Creates the choice, which has judged nothing.
 *
 * @param options - the workers and their weights
 */
export const createUsableWeights = ({ workers: db, weights, loadOf, maxOutdatedTime }: UsableWeightsOptions): UsableWeights => {
  const judged = new Map<string, Judgement>()

  const isCurrent = (worker: Worker, model: string, limit: number, now: number): boolean =>
    weights.outdatedFor(worker, model, now) < limit

  /** Callers may name models without end. */
  const forgetOld = (now: number): void => {
    for (const [key, { until }] of judged) if (until <= now) judged.delete(key)
  }

  const isAvailable = ({ id }: Worker, now: number): boolean => isPresumedReachable(loadOf(id)) && !weights.isLoading(id, now)

  /** Longest time for which the weights of a worker may be outdated, in ms. */
  const findLimit = (service: string, model: string, now: number): number => {
    const longest = maxOutdatedTime()
    const live = db.live(service)
    const others = live.filter(worker => isCurrent(worker, model, longest * usableShare, now))
    if (others.some(worker => isAvailable(worker, now))) return longest * usableShare
    return live.some(worker => isCurrent(worker, model, longest, now)) ? longest : Infinity
  }

  const limitOf = (service: string, model: string, now: number): number => {
    const key = JSON.stringify([service, model])
    const known = judged.get(key)
    if (known !== undefined && now < known.until) return known.limit
    const limit = findLimit(service, model, now)
    forgetOld(now)
    judged.set(key, { limit, until: now + keepTime })
    return limit
  }

  const among: UsableWeights['among'] = (workers, service, model, now) => {
    const limit = limitOf(service, model, now)
    return limit === Infinity ? workers : workers.filter(worker => isCurrent(worker, model, limit, now))
  }

  return { among }
}
