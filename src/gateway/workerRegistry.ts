/**
 * All that one instance believes of the workers: which there are, what each was
 * given, keeps and has loaded. One place forgets a worker in all of them.
 */
import type { CatalogIndex } from '../catalog/catalogIndex.js'
import type { Address } from '../catalog/catalogTypes.js'
import type { FleetMessage } from '../fleet/fleetMessages.js'
import { createKeptParts, type KeptParts } from '../placement/keptParts.js'
import { costOf } from '../placement/modelPlacement.js'
import { createWorkerLoad, noteForeign, type WorkerLoad } from '../placement/workerLoad.js'
import { createWeightsBelief, type WeightsBelief } from '../workers/weightsBelief.js'
import { createWorkersDb, type WorkerChange, type WorkersDb } from '../workers/workersDb.js'
import type { WorkerRecord } from '../workers/workersTypes.js'
import type { GatewayLogEvent } from './gatewayTypes.js'

/** What the registry needs. */
export interface RegistryOptions {
  readonly catalog: () => CatalogIndex | undefined
  readonly note: (note: GatewayLogEvent) => void
  /** Takes what was concluded from reading the source; others may read through this instance. */
  readonly publish: (records: readonly WorkerRecord[]) => void
}

/** The workers as one instance believes them to be; times in ms. */
export interface WorkerRegistry {
  readonly workers: WorkersDb
  readonly weights: WeightsBelief
  readonly loadOf: (worker: string) => WorkerLoad
  readonly keptBy: (worker: string) => KeptParts
  /** Takes in a read of the source. */
  readonly apply: (records: readonly WorkerRecord[], complete: boolean, now: number) => void
  /** Takes in what another instance concluded. */
  readonly applyFromPeer: (records: readonly WorkerRecord[]) => void
  readonly expire: (now: number) => void
  readonly noteLoaded: (worker: string, model: string, version: number) => void
  /** Takes in that another instance gave a worker much to read. */
  readonly noteSentByPeer: (sent: Extract<FleetMessage, { kind: 'fleet.sent' }>, now: number) => void
  readonly dump: () => unknown
}

/** Tokens that a keeper is taken to hold until its service is known. */
export const defaultMemoryTokens = 100_000
/** Part of a worker's memory that cached parts are taken to have beside running requests. */
const cacheShare = 0.85

const textOf = ({ host, port }: Address): string => `${host}:${port}`

const toRecord = (change: WorkerChange): WorkerRecord | undefined => {
  switch (change.kind) {
    case 'joined':
    case 'restarted':
    case 'draining': return { kind: 'present', worker: change.worker }
    case 'updated': return change.differs ? { kind: 'present', worker: change.worker } : undefined
    // It may come back; until then it is used as before.
    case 'lapsed': return undefined
    case 'left': return { kind: 'absent', id: change.worker.id }
  }
}

/**
 * Creates an empty registry.
 *
 * @param options - what it needs
 */
export const createWorkerRegistry = ({ catalog, note, publish: concluded }: RegistryOptions): WorkerRegistry => {
  const workers = createWorkersDb()
  const weights = createWeightsBelief()
  const loads = new Map<string, WorkerLoad>()
  const kept = new Map<string, KeptParts>()

  const loadOf = (worker: string): WorkerLoad => {
    const known = loads.get(worker) ?? createWorkerLoad(worker)
    loads.set(worker, known)
    return known
  }

  const memoryOf = (worker: string): number => {
    const purpose = catalog()?.service(workers.get(worker)?.service ?? '')?.purpose
    return purpose?.kind === 'model' ? purpose.memoryTokens * cacheShare : defaultMemoryTokens
  }

  const keptBy = (worker: string): KeptParts => {
    const known = kept.get(worker) ?? createKeptParts(memoryOf(worker))
    kept.set(worker, known)
    return known
  }

  const forget = (worker: string): void => {
    loads.delete(worker)
    kept.delete(worker)
    weights.forget(worker)
  }

  const takeChange = (change: WorkerChange): void => {
    const { id, service, address } = change.worker
    if (change.kind === 'updated') return
    if (change.kind === 'left') forget(id)
    if (change.kind === 'restarted') kept.delete(id)
    note({ kind: 'workerChanged', change: change.kind, worker: id, service, address: textOf(address) })
  }

  const conclude = (changes: readonly WorkerChange[]): void => {
    changes.forEach(takeChange)
    const records = changes.map(toRecord).filter(record => record !== undefined)
    if (records.length > 0) concluded(records)
  }

  return {
    workers,
    weights,
    loadOf,
    keptBy,
    apply: (records, complete, now) => conclude(workers.apply(records, complete, now)),
    applyFromPeer: records => workers.adopt(records).forEach(takeChange),
    expire: now => conclude(workers.expire(now)),
    noteLoaded: (worker, model, version) => {
      const known = workers.get(worker)
      weights.noteLoaded(worker)
      if (known !== undefined) weights.noteHeld(known, model, version)
    },
    noteSentByPeer: ({ worker, unreadTokens, scope, parts }, now) => {
      if (workers.get(worker) === undefined) return
      const load = loadOf(worker)
      noteForeign(load, unreadTokens, costOf(load, 0), now)
      keptBy(worker).add(scope, parts)
    },
    dump: () => [...workers.all()].map(worker => ({ ...worker, flights: loads.get(worker.id)?.flights.size ?? 0, tokenCost: loads.get(worker.id)?.tokenCost, failures: loads.get(worker.id)?.failures }))
  }
}
