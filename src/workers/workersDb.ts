/**
 * The workers that the discovery source lists. During an outage of the source
 * the entries of live workers may expire there, so workers that are missing
 * right after the outage are kept for a short grace period in which they may
 * register again.
 */
import type { Hash } from '../hash.js'
import type { Worker, WorkerRecord } from './workersTypes.js'

/** Time, in ms, after an outage of the source in which a worker whose entry expired may register again. */
const expiryGrace = 2_000

/** Time, in ms, without a read of the source that counts as an outage in which entries may have expired. */
const outageAfter = 1_500

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
const fingerprintOf = ({ id, startedAt, state, service, address: { host, port }, slots, models }: Worker): string =>
  [id, startedAt, state, service, host, port, slots, ...models.map(({ name, version }) => `${name}=${version}`)].join('|')

const changeOf = (before: Worker | undefined, worker: Worker): WorkerChange => {
  if (before === undefined) return { kind: 'joined', worker }
  if (before.startedAt !== worker.startedAt) return { kind: 'restarted', worker }
  if (before.state === 'live' && worker.state === 'draining') return { kind: 'draining', worker }
  return { kind: 'updated', worker, differs: fingerprintOf(before) !== fingerprintOf(worker) }
}

/** Creates an empty list of workers. */
export const createWorkersDb = (): WorkersDb => {
  const workers = new Map<string, Worker>()
  /** Ends of the grace periods, in ms, of workers that are missing from the source. */
  const graceEnds = new Map<string, number>()
  let byService = new Map<string, Worker[]>()
  let lastReadAt: number | undefined
  let outageEndedAt = -Infinity
  let cachedDigest: number | undefined

  const rebuildIndex = (): void => {
    cachedDigest = undefined
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
    if (worker === undefined || graceEnds.has(id)) return undefined
    if (worker.state === 'live' && now - outageEndedAt < expiryGrace) {
      graceEnds.set(id, outageEndedAt + expiryGrace)
      return { kind: 'lapsed', worker }
    }
    workers.delete(id)
    return { kind: 'left', worker }
  }

  const add = (worker: Worker): WorkerChange => {
    const before = workers.get(worker.id)
    graceEnds.delete(worker.id)
    workers.set(worker.id, worker)
    return changeOf(before, worker)
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
    graceEnds.delete(id)
    workers.delete(id)
    return worker === undefined ? undefined : { kind: 'left', worker }
  }

  const isOutdated = ({ id, startedAt }: Worker): boolean => startedAt < (workers.get(id)?.startedAt ?? -Infinity)

  const applyPeerRecord = (record: WorkerRecord): WorkerChange | undefined => {
    if (record.kind === 'absent') return removeNow(record.id)
    return isOutdated(record.worker) ? undefined : add(record.worker)
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
    digest,
    get: id => workers.get(id),
    all: () => workers.values(),
    live: service => byService.get(service) ?? []
  }
}
