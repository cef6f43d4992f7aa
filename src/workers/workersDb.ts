/**
 * The workers that discovery has announced. While the source of discovery is
 * away workers may lapse there although they live, so those that vanish right
 * after its return are kept for a short time in which they may come back.
 */
import type { Hash } from '../hash.js'
import type { Worker, WorkerRecord } from './workersTypes.js'

/** Time, in ms, after the source's return in which a lapsed worker may come back. */
const lapseGrace = 2_000

/** Silence of the source, in ms, after which workers may have lapsed for want of it. */
const awayAfter = 1_500

/** The workers known to one instance. */
export interface WorkersDb {
  /** Takes in one successful read of the source; `complete` says that it names every worker. */
  readonly apply: (records: readonly WorkerRecord[], complete: boolean, now: number) => readonly WorkerChange[]
  /** Removes the lapsed whose grace has passed. */
  readonly expire: (now: number) => readonly WorkerChange[]
  /**
   * Takes in what an instance that reads the source has concluded. Unlike a read
   * it needs no grace, since the other has given it.
   */
  readonly applyFromPeer: (records: readonly WorkerRecord[]) => readonly WorkerChange[]
  /** The source was read at that time, here or by an instance that passes its conclusions on. */
  readonly noteRead: (now: number) => void
  /** Equal at two instances that believe the same of all workers. */
  readonly digest: (hash: Hash) => number
  readonly get: (id: string) => Worker | undefined
  readonly all: () => Iterable<Worker>
  /** Live workers of a service. */
  readonly live: (service: string) => readonly Worker[]
}

/** A change in what is believed of a worker. */
export type WorkerChange =
  | { readonly kind: 'joined', readonly worker: Worker }
  | { readonly kind: 'restarted', readonly worker: Worker }
  | { readonly kind: 'draining', readonly worker: Worker }
  /** `differs` says whether more than the time of its last sign of life has changed. */
  | { readonly kind: 'updated', readonly worker: Worker, readonly differs: boolean }
  | { readonly kind: 'lapsed', readonly worker: Worker }
  | { readonly kind: 'left', readonly worker: Worker }

/** What makes a difference to those that use the worker. */
const traitsOf = ({ id, startedAt, state, service, address: { host, port }, slots, models }: Worker): string =>
  [id, startedAt, state, service, host, port, slots, ...models.map(({ name, version }) => `${name}=${version}`)].join('|')

const changeOf = (before: Worker | undefined, worker: Worker): WorkerChange => {
  if (before === undefined) return { kind: 'joined', worker }
  if (before.startedAt !== worker.startedAt) return { kind: 'restarted', worker }
  if (before.state === 'live' && worker.state === 'draining') return { kind: 'draining', worker }
  return { kind: 'updated', worker, differs: traitsOf(before) !== traitsOf(worker) }
}

/** Creates an empty list. */
export const createWorkersDb = (): WorkersDb => {
  const workers = new Map<string, Worker>()
  const lapsed = new Map<string, number>()
  let byService = new Map<string, Worker[]>()
  let lastRead: number | undefined
  let returnedAt = -Infinity
  let knownDigest: number | undefined

  const index = (): void => {
    knownDigest = undefined
    byService = new Map()
    for (const worker of workers.values()) {
      if (worker.state !== 'live') continue
      const known = byService.get(worker.service)
      if (known === undefined) byService.set(worker.service, [worker])
      else known.push(worker)
    }
  }

  const remove = (id: string, now: number): WorkerChange | undefined => {
    const worker = workers.get(id)
    if (worker === undefined || lapsed.has(id)) return undefined
    if (worker.state === 'live' && now - returnedAt < lapseGrace) {
      lapsed.set(id, returnedAt + lapseGrace)
      return { kind: 'lapsed', worker }
    }
    workers.delete(id)
    return { kind: 'left', worker }
  }

  const add = (worker: Worker): WorkerChange => {
    const before = workers.get(worker.id)
    lapsed.delete(worker.id)
    workers.set(worker.id, worker)
    return changeOf(before, worker)
  }

  const noteRead = (now: number): void => {
    if (lastRead !== undefined && now - lastRead > awayAfter) returnedAt = now
    lastRead = now
  }

  const apply = (records: readonly WorkerRecord[], complete: boolean, now: number): readonly WorkerChange[] => {
    noteRead(now)
    const named = new Set(records.flatMap(record => record.kind === 'present' ? [record.worker.id] : []))
    const missing = complete ? [...workers.keys()].filter(id => !named.has(id)) : []
    const changes = [
      ...records.map(record => record.kind === 'present' ? add(record.worker) : remove(record.id, now)),
      ...missing.map(id => remove(id, now))
    ].filter(change => change !== undefined)
    if (changes.length > 0) index()
    return changes
  }

  const erase = (id: string): WorkerChange | undefined => {
    const worker = workers.get(id)
    lapsed.delete(id)
    workers.delete(id)
    return worker === undefined ? undefined : { kind: 'left', worker }
  }

  const isOutdated = ({ id, startedAt }: Worker): boolean => startedAt < (workers.get(id)?.startedAt ?? -Infinity)

  const adoptOne = (record: WorkerRecord): WorkerChange | undefined => {
    if (record.kind === 'absent') return erase(record.id)
    return isOutdated(record.worker) ? undefined : add(record.worker)
  }

  const adopt = (records: readonly WorkerRecord[]): readonly WorkerChange[] => {
    const changes = records.map(adoptOne).filter(change => change !== undefined)
    if (changes.length > 0) index()
    return changes
  }

  const digest = (hash: Hash): number => {
    if (knownDigest !== undefined) return knownDigest
    let sum = 0
    for (const worker of workers.values()) sum = (sum + hash.h32(traitsOf(worker))) >>> 0
    knownDigest = sum
    return sum
  }

  const expire = (now: number): readonly WorkerChange[] => {
    const changes: WorkerChange[] = []
    for (const [id, until] of lapsed) {
      const change = until > now ? undefined : erase(id)
      if (change !== undefined) changes.push(change)
    }
    if (changes.length > 0) index()
    return changes
  }

  return {
    apply,
    expire,
    applyFromPeer: adopt,
    noteRead,
    digest,
    get: id => workers.get(id),
    all: () => workers.values(),
    live: service => byService.get(service) ?? []
  }
}
