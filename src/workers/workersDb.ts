/**
 * The workers that the discovery source lists. During an outage of the source
 * the entries of live workers may expire there, so workers that are missing
 * right after the outage are kept for a short grace period in which they may
 * register again.
 *
 * A worker that has begun to leave never takes requests again in that lifetime.
 * The source may be restored from a copy that still lists it as live, and the
 * worker itself may state it in a response before the source does.
 */
import { LRUCache } from 'lru-cache'
import type { Hash } from '../hash.js'
import type { Worker, WorkerRecord } from './workersTypes.js'

/** Time, in ms, after an outage of the source in which a worker whose entry expired may register again. */
const expiryGrace = 2_000

/** Time, in ms, without a read of the source that counts as an outage in which entries may have expired. */
const outageAfter = 1_500

/** Number of departed and of leaving workers that are remembered, so that outdated records do not bring them back. */
const maxRemembered = 2_000

/** The workers known to one instance. */
export interface WorkersDb {
  /** Applies one successful read of the source; `complete` says that the records name every worker. Returns what changed. */
  readonly apply: (records: readonly WorkerRecord[], complete: boolean, now: number) => readonly WorkerChange[]
  /** Removes the workers whose grace period has ended. */
  readonly expire: (now: number) => readonly WorkerChange[]
  /**
   * Applies records from an instance that reads the source. Removals take effect
   * without a grace period, since that instance has already granted it.
   */
  readonly applyFromPeer: (records: readonly WorkerRecord[]) => readonly WorkerChange[]
  /** Records that the source was read at that time, by this instance or by one that forwards its records. */
  readonly noteRead: (now: number) => void
  /** Records that the source was unavailable until now, or has lost its newest records, so that entries may be missing. */
  readonly noteOutage: (now: number) => void
  /** Records that this lifetime of a worker has stated that it is leaving; returns whether that is new. It gets no further requests. */
  readonly noteLeaving: (id: string, startedAt: number) => boolean
  /** The workers that have stated that they are leaving although the source lists them as live. */
  readonly leavingUnlisted: () => readonly Worker[]
  /** Returns a 32-bit digest that is equal on two instances with the same list of workers. */
  readonly digest: (hash: Hash) => number
  readonly get: (id: string) => Worker | undefined
  readonly all: () => Iterable<Worker>
  /** Returns the live workers of a service. */
  readonly live: (service: string) => readonly Worker[]
}

/** A change in the list of workers; `lapsed` says that a worker is missing from the source but is kept for the grace period. */
export type WorkerChange =
  | { readonly kind: 'joined', readonly worker: Worker }
  | { readonly kind: 'restarted', readonly worker: Worker }
  | { readonly kind: 'draining', readonly worker: Worker }
  /** `differs` says whether more than the time of the worker's last heartbeat has changed. */
  | { readonly kind: 'updated', readonly worker: Worker, readonly differs: boolean }
  | { readonly kind: 'lapsed', readonly worker: Worker }
  | { readonly kind: 'left', readonly worker: Worker }

/** Returns the properties that users of a worker depend on as one string. */
const fingerprintOf = ({ id, startedAt, state, service, address: { host, port }, slots, models, softwareVersion = '' }: Worker): string =>
  [id, startedAt, state, service, host, port, slots, softwareVersion, ...models.map(({ name, version }) => `${name}=${version}`)].join('|')

const changeOf = (before: Worker | undefined, worker: Worker): WorkerChange => {
  if (before === undefined) return { kind: 'joined', worker }
  if (before.startedAt !== worker.startedAt) return { kind: 'restarted', worker }
  if (before.state === 'live' && worker.state === 'draining') return { kind: 'draining', worker }
  return { kind: 'updated', worker, differs: fingerprintOf(before) !== fingerprintOf(worker) }
}

/** Whether two records are of the same lifetime of a worker, as far as is known: without a start time it may have restarted. */
const isSameLifetime = (left: Worker, right: Worker): boolean => left.startedAt > 0 && left.startedAt === right.startedAt

/** Creates an empty list of workers. */
export const createWorkersDb = (): WorkersDb => {
  const workers = new Map<string, Worker>()
  /** Ends of the grace periods, in ms, of workers that are missing from the source. */
  const graceEnds = new Map<string, number>()
  /** Last records of workers that have left. */
  const departed = new LRUCache<string, Worker>({ max: maxRemembered })
  /** Start times of the workers that have stated that they are leaving, by id. */
  const leaving = new LRUCache<string, number>({ max: maxRemembered })
  let byService = new Map<string, Worker[]>()
  let lastReadAt: number | undefined
  let outageEndedAt = -Infinity
  let cachedDigest: number | undefined

  const rebuildIndex = (): void => {
    cachedDigest = undefined
    byService = new Map()
    for (const worker of workers.values()) {
      if (worker.state !== 'live' || leaving.get(worker.id) === worker.startedAt) continue
      const known = byService.get(worker.service)
      if (known === undefined) byService.set(worker.service, [worker])
      else known.push(worker)
    }
  }

  const remove = (id: string, now: number): WorkerChange | undefined => {
    const worker = workers.get(id)
    if (worker === undefined || graceEnds.has(id)) return undefined
    if (worker.state === 'live' && now - outageEndedAt < expiryGrace) {
      graceEnds.set(id, outageEndedAt + expiryGrace)
      return { kind: 'lapsed', worker }
    }
    return depart(worker)
  }

  const depart = (worker: Worker): WorkerChange => {
    graceEnds.delete(worker.id)
    workers.delete(worker.id)
    departed.set(worker.id, worker)
    if (worker.startedAt === 0) leaving.delete(worker.id)
    return { kind: 'left', worker }
  }

  /** Whether a record is older than what is known of the worker, as records of a restored source and of instances that are behind may be. */
  const isOutdated = (worker: Worker): boolean => {
    const { id, startedAt, writes } = worker
    const known = workers.get(id)
    if (known !== undefined) return startedAt < known.startedAt || (isSameLifetime(worker, known) && writes < known.writes)
    const last = departed.get(id)
    if (last === undefined) return false
    // A worker that returns has written its record again.
    return startedAt < last.startedAt || (isSameLifetime(worker, last) && writes > 0 && writes <= last.writes)
  }

  const add = (worker: Worker): WorkerChange | undefined => {
    if (isOutdated(worker)) return undefined
    const before = workers.get(worker.id)
    const isLeaving = worker.state === 'draining' || (before?.state === 'draining' && isSameLifetime(before, worker))
    const current: Worker = { ...worker, state: isLeaving ? 'draining' : 'live' }
    graceEnds.delete(worker.id)
    departed.delete(worker.id)
    workers.set(worker.id, current)
    return changeOf(before, current)
  }

  const noteRead = (now: number): void => {
    if (lastReadAt !== undefined && now - lastReadAt > outageAfter) outageEndedAt = now
    lastReadAt = now
  }

  const apply = (records: readonly WorkerRecord[], complete: boolean, now: number): readonly WorkerChange[] => {
    noteRead(now)
    const listed = new Set(records.flatMap(record => record.kind === 'present' ? [record.worker.id] : []))
    const missing = complete ? [...workers.keys()].filter(id => !listed.has(id)) : []
    const changes = [
      ...records.map(record => record.kind === 'present' ? add(record.worker) : remove(record.id, now)),
      ...missing.map(id => remove(id, now))
    ].filter(change => change !== undefined)
    if (changes.length > 0) rebuildIndex()
    return changes
  }

  const removeNow = (id: string): WorkerChange | undefined => {
    const worker = workers.get(id)
    return worker === undefined ? undefined : depart(worker)
  }

  const applyPeerRecord = (record: WorkerRecord): WorkerChange | undefined =>
    record.kind === 'absent' ? removeNow(record.id) : add(record.worker)

  const noteLeaving = (id: string, startedAt: number): boolean => {
    if (leaving.get(id) === startedAt) return false
    leaving.set(id, startedAt)
    rebuildIndex()
    return true
  }

  const applyFromPeer = (records: readonly WorkerRecord[]): readonly WorkerChange[] => {
    const changes = records.map(applyPeerRecord).filter(change => change !== undefined)
    if (changes.length > 0) rebuildIndex()
    return changes
  }

  const digest = (hash: Hash): number => {
    if (cachedDigest !== undefined) return cachedDigest
    let sum = 0
    for (const worker of workers.values()) sum = (sum + hash.h32(fingerprintOf(worker))) >>> 0
    cachedDigest = sum
    return sum
  }

  const expire = (now: number): readonly WorkerChange[] => {
    const changes: WorkerChange[] = []
    for (const [id, until] of graceEnds) {
      const change = until > now ? undefined : removeNow(id)
      if (change !== undefined) changes.push(change)
    }
    if (changes.length > 0) rebuildIndex()
    return changes
  }

  return {
    apply,
    expire,
    applyFromPeer,
    noteRead,
    noteOutage: now => { outageEndedAt = now },
    noteLeaving,
    leavingUnlisted: () => [...workers.values()].filter(({ id, startedAt, state }) => state === 'live' && leaving.get(id) === startedAt),
    digest,
    get: id => workers.get(id),
    all: () => workers.values(),
    live: service => byService.get(service) ?? []
  }
}
