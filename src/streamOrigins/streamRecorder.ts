/**
 * Appends where streams began to a topic of the store while workers of a service
 * run several versions, so that instances still learn it after all of them were
 * killed. One instance, the recorder, does so for all; when the others choose
 * another recorder, both may write, which is harmless. A stream counts as recorded
 * once the store has accepted it, and no event waits for that.
 */
import { LRUCache } from 'lru-cache'
import type { Moment } from '../lease/readLease.js'
import type { StreamStoreEffect } from '../ports/feedPort.js'
import type { StreamLogEvent, StreamOrigin } from './streamOriginsTypes.js'
import { buildStreamRecord, isRecordable, type ServiceVersions, type StreamRecord } from './streamRecords.js'
import { versionMemory } from './versionHistory.js'

/** Where records and log events of the recorder go. */
export interface StreamRecorderOptions {
  readonly emit: (effect: StreamStoreEffect) => void
  readonly log: (event: StreamLogEvent) => void
}

/** The recorder of one instance. */
export interface StreamRecorder {
  /** Adds streams that are to be recorded. */
  readonly add: (streams: Iterable<readonly [string, StreamOrigin]>) => void
  /** Appends a record if one is due. `services` are those that run several versions; `isRecorder` states whether this instance records their versions. */
  readonly tick: (isRecorder: boolean, services: readonly ServiceVersions[], versionsOf: (service: string) => readonly string[], now: Moment) => void
  /** Applies the result of an append; `now` in ms. */
  readonly answer: (accepted: boolean, now: number) => void
  /** Records again what the store may have lost when it was restored from a copy; `now` in ms. */
  readonly restored: (now: number) => void
  /** Number of streams that the store has not accepted yet. */
  readonly pending: () => number
}

/** Time between two records, in ms: at most five calls a second. */
const recordInterval = 200
/** Time after a failed append, in ms. */
const retryInterval = 1_000
/** Time after which the versions are recorded again if no stream begins, in ms. */
const versionsInterval = 5_000
/** Number of streams that wait for the store, and of accepted ones that are kept. */
const maxStreams = 20_000

/** Creates the recorder of an instance. */
export const createStreamRecorder = ({ emit, log }: StreamRecorderOptions): StreamRecorder => {
  const pending = new LRUCache<string, StreamOrigin>({ max: maxStreams })
  const accepted = new LRUCache<string, { readonly origin: StreamOrigin, readonly at: number }>({ max: maxStreams })
  /** Services that have run several versions, as far as the last tick says. */
  let open = new Set<string>()
  /** Services that have ceased to, which is not recorded yet. */
  const closing = new Set<string>()
  let inFlight: { readonly record: StreamRecord, readonly included: ReadonlyMap<string, StreamOrigin> } | undefined
  let nextAt = -Infinity
  let versionsDueAt = -Infinity
  let lastVersions = ''
  let isFailing = false

  const add = (streams: Iterable<readonly [string, StreamOrigin]>): void => {
    for (const [stream, origin] of streams) if (isRecordable(stream, origin)) pending.set(stream, origin)
  }

  const noteServices = (isRecorder: boolean, services: readonly ServiceVersions[]): void => {
    const mixed = new Set(services.map(({ service }) => service))
    for (const service of open) if (!mixed.has(service)) closing.add(service)
    for (const service of mixed) closing.delete(service)
    open = mixed
    // The instance that records instead sees the same.
    if (!isRecorder) closing.clear()
  }

  const tick: StreamRecorder['tick'] = (isRecorder, services, versionsOf, now) => {
    noteServices(isRecorder, services)
    if (inFlight !== undefined || now.steady < nextAt) return
    const stated = isRecorder ? services : []
    const versions = JSON.stringify(stated)
    const areVersionsDue = stated.length > 0 && (versions !== lastVersions || now.steady >= versionsDueAt)
    if (pending.size === 0 && closing.size === 0 && !areVersionsDue) return
    const closed = [...closing].map(service => ({ service, versions: versionsOf(service) }))
    inFlight = buildStreamRecord([...pending.entries()].reverse(), [...stated, ...closed], now.wall)
    for (const stream of inFlight.included.keys()) pending.delete(stream)
    lastVersions = versions
    versionsDueAt = now.steady + versionsInterval
    nextAt = now.steady + recordInterval
    emit({ kind: 'streams.append', record: inFlight.record })
  }

  const answer = (isAccepted: boolean, now: number): void => {
    if (inFlight === undefined) return
    const { record, included } = inFlight
    inFlight = undefined
    if (isAccepted === isFailing) log({ kind: isAccepted ? 'streamsRecorded' : 'streamsNotRecorded', streams: included.size })
    isFailing = !isAccepted
    settle(isAccepted, record, included, now)
  }

  const settle = (isAccepted: boolean, record: StreamRecord, included: ReadonlyMap<string, StreamOrigin>, now: number): void => {
    if (isAccepted) {
      for (const [stream, origin] of included) accepted.set(stream, { origin, at: now })
      for (const { service, versions } of record.services) if (versions.length <= 1) closing.delete(service)
      return
    }
    for (const [stream, origin] of included) if (!pending.has(stream)) pending.set(stream, origin)
    lastVersions = ''
    nextAt = now + retryInterval
  }

  const restored = (now: number): void => {
    lastVersions = ''
    for (const [stream, { origin, at }] of accepted.entries()) if (now - at < versionMemory && !pending.has(stream)) pending.set(stream, origin)
  }

  return { add, tick, answer, restored, pending: () => pending.size + (inFlight?.included.size ?? 0) }
}
