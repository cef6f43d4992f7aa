/**
 * Registry of everything that one instance knows about the workers: which workers
 * exist, their load, their cached prompt parts and their loaded weights. A worker
 * that leaves is removed from all of these in one place.
 */
import type { CatalogIndex } from '../catalog/catalogIndex.js'
import type { Address } from '../catalog/catalogTypes.js'
import type { FleetMessage } from '../fleet/fleetMessages.js'
import { createCachedPartsEstimate, type CachedPartsEstimate } from '../placement/cachedPartsEstimate.js'
import { tokenCostOf } from '../placement/modelPlacement.js'
import { resetAbandonedRuns } from '../placement/abandonedRuns.js'
import { createWorkerLoad, notePeerSent, type WorkerLoad } from '../placement/workerLoad.js'
import { createWeightsTracker, type WeightsTracker } from '../workers/weightsTracker.js'
import { createStatedLimits, type StatedLimits } from '../workerLimits/statedLimits.js'
import { createWorkersDb, type WorkerChange, type WorkersDb } from '../workers/workersDb.js'
import type { WorkerRecord } from '../workers/workersTypes.js'
import type { GatewayLogEvent } from './gatewayTypes.js'

/** What the registry depends on. */
export interface RegistryOptions {
  readonly catalog: () => CatalogIndex | undefined
  readonly log: (event: GatewayLogEvent) => void
  /** Called with the changes found by reading the discovery source; other instances may rely on this one for them. */
  readonly publish: (records: readonly WorkerRecord[]) => void
}

/** The workers as known to one instance; times in ms. */
export interface WorkerRegistry {
  readonly workers: WorkersDb
  readonly weights: WeightsTracker
  /** Limits that workers have stated. */
  readonly limits: StatedLimits
  /** Load of a worker; created on first use. */
  readonly loadOf: (worker: string) => WorkerLoad
  /** Estimate of the prompt parts in a worker's cache; created on first use. */
  readonly cachedPartsOf: (worker: string) => CachedPartsEstimate
  /** Applies the records of one read of the source; `complete` states that they name every worker. */
  readonly apply: (records: readonly WorkerRecord[], complete: boolean, now: number) => void
  /** Applies changes that another instance found by reading the source. */
  readonly applyFromPeer: (records: readonly WorkerRecord[]) => void
  /** Removes the workers that have been missing from the source for too long. */
  readonly expire: (now: number) => void
  /** Records that a worker has finished loading a version of a model's weights. */
  readonly noteLoaded: (worker: string, model: string, version: number) => void
  /** Records that another instance sent a worker a long prompt. */
  readonly noteSentByPeer: (sent: Extract<FleetMessage, { kind: 'fleet.sent' }>, now: number) => void
  readonly dump: () => unknown
}

/** Cache capacity, in tokens, that is assumed for a worker or a part store while its configuration is not known. */
export const defaultMemoryTokens = 100_000
/** Estimated fraction of a worker's memory that is available for cached parts; running requests use the rest. */
const cacheShare = 0.85

const formatAddress = ({ host, port }: Address): string => `${host}:${port}`

const toRecord = (change: WorkerChange): WorkerRecord | undefined => {
  switch (change.kind) {
    case 'joined':
    case 'restarted':
    case 'draining': return { kind: 'present', worker: change.worker }
    case 'updated': return change.differs ? { kind: 'present', worker: change.worker } : undefined
    // The worker may register again; until its grace period ends it is used as before.
    case 'lapsed': return undefined
    case 'left': return { kind: 'absent', id: change.worker.id }
  }
}

/**
 * Creates an empty registry.
 *
 * @param options - what it depends on
 */
export const createWorkerRegistry = ({ catalog, log, publish }: RegistryOptions): WorkerRegistry => {
  const workers = createWorkersDb()
  const weights = createWeightsTracker()
  const limits = createStatedLimits()
  const loads = new Map<string, WorkerLoad>()
  const cachedParts = new Map<string, CachedPartsEstimate>()

  const loadOf = (worker: string): WorkerLoad => {
    const known = loads.get(worker) ?? createWorkerLoad(worker)
    loads.set(worker, known)
    return known
  }

  const memoryOf = (worker: string): number => {
    const purpose = catalog()?.service(workers.get(worker)?.service ?? '')?.purpose
    return purpose?.kind === 'model' ? purpose.memoryTokens * cacheShare : defaultMemoryTokens
  }

  const cachedPartsOf = (worker: string): CachedPartsEstimate => {
    const known = cachedParts.get(worker) ?? createCachedPartsEstimate(memoryOf(worker))
    cachedParts.set(worker, known)
    return known
  }

  const forget = (worker: string): void => {
    loads.delete(worker)
    cachedParts.delete(worker)
    weights.forget(worker)
    limits.forget(worker)
  }

  const applyChange = (change: WorkerChange): void => {
    const { id, service, address, startedAt } = change.worker
    if (change.kind === 'updated') return
    if (change.kind === 'left') forget(id)
    if (change.kind === 'restarted') {
      cachedParts.delete(id)
      loadOf(id).pausedUntil = -Infinity
      resetAbandonedRuns(loadOf(id).abandoned)
    }
    log({ kind: 'workerChanged', change: change.kind, worker: id, service, address: formatAddress(address), startedAt })
  }

  const handleChanges = (changes: readonly WorkerChange[]): void => {
    changes.forEach(applyChange)
    const records = changes.map(toRecord).filter(record => record !== undefined)
    if (records.length > 0) publish(records)
  }

  return {
    workers,
    weights,
    limits,
    loadOf,
    cachedPartsOf,
    apply: (records, complete, now) => handleChanges(workers.apply(records, complete, now)),
    applyFromPeer: records => workers.applyFromPeer(records).forEach(applyChange),
    expire: now => handleChanges(workers.expire(now)),
    noteLoaded: (worker, model, version) => {
      const known = workers.get(worker)
      weights.noteLoaded(worker)
      if (known !== undefined) weights.noteHeld(known, model, version)
    },
    noteSentByPeer: ({ worker, unreadTokens, scope, parts }, now) => {
      if (workers.get(worker) === undefined) return
      const load = loadOf(worker)
      notePeerSent(load, unreadTokens, tokenCostOf(load, 0), now)
      cachedPartsOf(worker).add(scope, parts)
    },
    dump: () => [...workers.all()].map(worker => ({ ...worker, flights: loads.get(worker.id)?.flights.size ?? 0, limit: limits.get(worker.id, worker.startedAt)?.perSecond, tokenCost: loads.get(worker.id)?.tokenCost, failures: loads.get(worker.id)?.failures }))
  }
}
