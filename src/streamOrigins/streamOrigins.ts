/**
 * On which software version of a worker each stream began. What two versions write
 * does not fit together, so a stream may go on only at the version that began it,
 * also when its caller comes to another instance because the first one is gone.
 *
 * While a service runs several versions, an instance tells a few others, chosen by
 * rendezvous hashing of the stream's id, of each stream that begins. An instance
 * that is to resume a stream asks these. One instance, the recorder, is told of all
 * such streams and appends them to a topic of the store; instances that have started
 * lately read it. If no instance and no record knows a stream, and all agree that
 * the service has run only one version lately, it began on that one; otherwise its
 * origin stays unknown and the stream is not resumed.
 */
import { LRUCache } from 'lru-cache'
import { assertNever } from '../errors.js'
import type { Worker } from '../workers/workersTypes.js'
import type { StreamStoreEffect, StreamStoreInput } from '../ports/feedPort.js'
import type { StreamLogEvent, StreamOrigin } from './streamOriginsTypes.js'
import type { Moment } from '../lease/readLease.js'
import { createRecordReader } from './recordedStreams.js'
import { createStreamLookups, keeperCount, type OriginLookup, type Resumption, type StreamMessage } from './streamLookups.js'
import { createStreamRecorder } from './streamRecorder.js'
import { compactOrigin } from './streamRecords.js'
import { createVersionHistory, type VersionedWorker } from './versionHistory.js'

/** What the origins depend on; times in ms. */
export interface StreamOriginsOptions {
  readonly self: string
  /** Returns the live instances that are told of a stream; this one may be among them. */
  readonly keepersOf: (stream: string, count: number) => readonly string[]
  /** Whether other instances are known, whether live or not. */
  readonly hasPeers: () => boolean
  /** Returns the fraction of the instances that were live lately that are live now. */
  readonly liveShare: () => number
  readonly send: (to: string, message: StreamMessage) => void
  /** Returns the instance that records streams in the store: the first one that reaches it, in an order that is the same on all instances. */
  readonly recorder: () => string | undefined
  /** Receives requests to the topic of the store. */
  readonly emit: (effect: StreamStoreEffect) => void
  readonly log: (event: StreamLogEvent) => void
  /** Called when a lookup has ended. */
  readonly onAnswer: () => void
}

/** The origins of streams at one instance; times in ms. */
export interface StreamOrigins {
  /** Records that an attempt of a caller has brought the first event of a stream. */
  readonly begin: (stream: string, origin: StreamOrigin, now: number) => void
  /** Records that an attempt has ended; `whole` if its caller has the whole stream. */
  readonly end: (stream: string, whole: boolean, now: number) => void
  /** Looks up a stream. After `asked`, it has to be called again until it returns anything else. */
  readonly lookUp: (resumption: Resumption, now: number) => OriginLookup
  /** Whether a stream may go on at a worker. */
  readonly fits: (origin: StreamOrigin, worker: Worker, now: number) => boolean
  /** Records all known workers. */
  readonly observe: (workers: Iterable<VersionedWorker>, now: Moment) => void
  /** Tells another instance, which is to go on with the stream, where it began. */
  readonly tell: (to: string, stream: string, origin: StreamOrigin) => void
  readonly receive: (from: string, message: StreamMessage, now: number) => void
  /** Applies the result of a request to the topic. */
  readonly handleStore: (input: StreamStoreInput, now: Moment) => void
  /** Records anew what the store may have lost when it was restored from a copy. */
  readonly storeRestored: (now: number) => void
  /** Number of streams that this instance is to record and the store has not accepted yet. */
  readonly unrecorded: () => number
}

/** Time between two looks at all workers, in ms; a stream tells of its own worker's version at once. */
const observationInterval = 200
/** Number of streams that are remembered. */
const maxStreams = 20_000
/** Time for which a stream that was broken off is told to others that are to know it, in ms. */
const resumeTime = 10_000
/** Time after which a stream in progress is recorded anew, in ms; a record counts for `versionMemory`. */
const recordAgainAfter = 5_000
/** Time for which an instance that has started neither records nor tells the recorder, in ms: those that start together do not know each other yet, and each would record. */
const settlingTime = 1_000
interface OwnStream {
  readonly origin: StreamOrigin
  brokenAt: number | undefined
  /** When it was last told to the recorder, in ms; undefined if it was not. */
  toldAt: number | undefined
}

type NamedStream = readonly [string, StreamOrigin]

/**
 * Creates the origins of one instance.
 *
 * @param options - the other instances
 */
export const createStreamOrigins = (options: StreamOriginsOptions): StreamOrigins => {
  const { self } = options
  const history = createVersionHistory()
  const known = new LRUCache<string, StreamOrigin>({ max: maxStreams })
  const own = new LRUCache<string, OwnStream>({ max: maxStreams })
  const recorder = createStreamRecorder(options)
  const records = createRecordReader(options.emit, options.log)
  const lookups = createStreamLookups({ ...options, history, records, known })
  /** The instance that records, as found by the last observation. */
  let recordedBy: string | undefined
  let nextObservation = -Infinity

  /** Tells the recorder of streams, if their services run several versions. */
  const record = (streams: readonly NamedStream[], now: number): void => {
    const mixed = new Set(history.mixed(now).map(({ service }) => service))
    const told = streams.filter(([, origin]) => mixed.has(origin.service))
    if (told.length === 0 || recordedBy === undefined) return
    for (const [id] of told) {
      const stream = own.peek(id)
      if (stream !== undefined) stream.toldAt = now
    }
    if (recordedBy === self) return recorder.add(told)
    options.send(recordedBy, { kind: 'fleet.streams', streams: told.map(([id, origin]) => ({ id, origin: compactOrigin(origin) })), record: true })
  }

  const tellKeepers = (streams: readonly NamedStream[]): void => {
    const byKeeper = new Map<string, { id: string, origin: StreamOrigin }[]>()
    for (const [id, origin] of streams) {
      for (const keeper of options.keepersOf(id, keeperCount)) {
        if (keeper === self) continue
        const list = byKeeper.get(keeper) ?? []
        byKeeper.set(keeper, list)
        list.push({ id, origin })
      }
    }
    for (const [keeper, list] of byKeeper) options.send(keeper, { kind: 'fleet.streams', streams: list, record: false })
  }

  /** Tells the keepers of the streams of services that have begun to run several versions. */
  const shareStreamsOf = (services: readonly string[], now: number): void => {
    if (services.length === 0) return
    const resumable = resumableStreams(now).filter(([, { origin }]) => services.includes(origin.service)).map(([id, { origin }]): NamedStream => [id, origin])
    tellKeepers(resumable)
    record(resumable, now)
  }

  const resumableStreams = (now: number): readonly (readonly [string, OwnStream])[] =>
    [...own.entries()].filter(([, { brokenAt }]) => brokenAt === undefined || now - brokenAt < resumeTime)

  /** Tells the recorder again of the streams in progress that it was told of long ago, and a new one of all. */
  const recordAgain = (now: number): void => {
    if (history.watchedFor(now) < settlingTime) return
    const next = options.recorder()
    const isNew = next !== recordedBy
    recordedBy = next
    record(resumableStreams(now).filter(([, { toldAt }]) => isNew || toldAt === undefined || now - toldAt >= recordAgainAfter).map(([id, { origin }]) => [id, origin]), now)
  }

  const begin = (stream: string, origin: StreamOrigin, now: number): void => {
    const isMixed = history.note(origin.service, origin.version ?? '', now)
    known.set(stream, origin)
    own.set(stream, { origin, brokenAt: undefined, toldAt: undefined })
    if (isMixed) return shareStreamsOf([origin.service], now)
    if (history.needsSharing(origin.service, now)) tellKeepers([[stream, origin]])
    record([[stream, origin]], now)
  }

  const end = (stream: string, whole: boolean, now: number): void => {
    if (whole) own.delete(stream)
    const ended = own.peek(stream)
    if (ended !== undefined) ended.brokenAt = now
  }

  const observe = (workers: Iterable<VersionedWorker>, now: Moment): void => {
    if (now.steady < nextObservation) return
    nextObservation = now.steady + observationInterval
    shareStreamsOf(history.observe(workers, now), now.steady)
    const mixed = history.mixed(now.steady)
    if (mixed.length > 0) recordAgain(now.steady)
    recorder.tick(recordedBy === self, mixed.map(({ service, versions }) => ({ service, versions })), service => history.summary(service, now.steady).versions, now)
  }

  const fits = (origin: StreamOrigin, worker: Worker, now: number): boolean => {
    if (worker.service !== origin.service) return false
    if (origin.version !== undefined) return worker.softwareVersion === origin.version
    if (origin.worker !== undefined && worker.id === origin.worker && worker.startedAt === origin.startedAt) return true
    const { versions } = history.summary(origin.service, now)
    return versions.length === 1 && versions[0] === '' && worker.softwareVersion === undefined
  }

  const handleStore = (input: StreamStoreInput, now: Moment): void => {
    switch (input.kind) {
      case 'streams.appended': return recorder.answer(true, now.steady)
      case 'streams.notAppended': return recorder.answer(false, now.steady)
      case 'streams.records':
      case 'streams.unread':
        for (const [stream, origin] of records.apply(input, now) ?? []) if (!known.has(stream)) known.set(stream, origin)
        return lookups.noteRead(now.steady)
      default: assertNever(input)
    }
  }

  const receive = (from: string, message: StreamMessage, now: number): void => {
    switch (message.kind) {
      case 'fleet.streams':
        for (const { id, origin } of message.streams) known.set(id, origin)
        if (message.record) recorder.add(message.streams.map(({ id, origin }) => [id, origin]))
        return
      case 'fleet.streamQuestion': return lookups.answer(from, message, now)
      case 'fleet.streamAnswer': return lookups.applyAnswer(from, message)
    }
  }

  const tell = (to: string, stream: string, origin: StreamOrigin): void => options.send(to, { kind: 'fleet.streams', streams: [{ id: stream, origin }], record: false })

  return { begin, end, lookUp: lookups.lookUp, fits, observe, tell, receive, handleStore, storeRestored: recorder.restored, unrecorded: recorder.pending }
}
