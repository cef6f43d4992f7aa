/**
 * On which software version of a worker each stream began. What two versions write
 * does not fit together, so a stream may go on only at the version that began it,
 * also when its caller comes to another instance because the first one is gone.
 *
 * While a service runs several versions, an instance tells a few others, chosen by
 * rendezvous hashing of the stream's id, of each stream that begins. An instance
 * that is to resume a stream asks these. If none of them knows it, and all agree
 * that the service has run only one version lately, it began on that one; otherwise
 * its origin stays unknown and the stream is not resumed.
 */
import { LRUCache } from 'lru-cache'
import type { FleetMessage } from '../fleet/fleetMessages.js'
import type { Worker } from '../workers/workersTypes.js'
import type { StreamOrigin } from './streamOriginsTypes.js'
import type { Moment } from '../lease/readLease.js'
import { createVersionHistory, type VersionedWorker, type VersionSummary } from './versionHistory.js'

/** Messages about streams between instances. */
export type StreamMessage = Extract<FleetMessage, { kind: 'fleet.streams' | 'fleet.streamQuestion' | 'fleet.streamAnswer' }>

/** The stream that a request resumes. */
export interface Resumption {
  /** Id of the attempt that brought its first event; undefined if the caller does not name it. */
  readonly stream: string | undefined
  readonly service: string
  readonly workspace: string | undefined
}

/** Result of looking up a stream. */
export type OriginLookup =
  | { readonly kind: 'known', readonly origin: StreamOrigin }
  /** Other instances have been asked. */
  | { readonly kind: 'asked' }
  | { readonly kind: 'unknown' }

/** What the origins depend on; times in ms. */
export interface StreamOriginsOptions {
  readonly self: string
  /** Returns the live instances that are told of a stream; this one may be among them. */
  readonly keepersOf: (stream: string, count: number) => readonly string[]
  /** Whether other instances are known, whether live or not. */
  readonly hasPeers: () => boolean
  readonly send: (to: string, message: StreamMessage) => void
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
}

/** Number of instances that are told of a stream; the instance that began it and another may be lost at once. */
const keeperCount = 3
/** Time for the answers of other instances, in ms. */
const answerTimeout = 250
/** Time between two looks at all workers, in ms; a stream tells of its own worker's version at once. */
const observationInterval = 200
/** Number of streams that are remembered. */
const maxStreams = 20_000
/** Time for which a stream that was broken off is told to others that are to know it, in ms. */
const resumeTime = 10_000

interface OwnStream {
  readonly origin: StreamOrigin
  brokenAt: number | undefined
}

interface Question {
  readonly askedAt: number
  readonly open: Set<string>
  readonly answers: VersionSummary[]
}

const isFor = (origin: StreamOrigin, workspace: string | undefined): boolean => origin.workspace === workspace

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
  const questions = new LRUCache<string, Question>({ max: maxStreams })
  let nextObservation = -Infinity

  const tellKeepers = (streams: readonly (readonly [string, StreamOrigin])[]): void => {
    const byKeeper = new Map<string, { id: string, origin: StreamOrigin }[]>()
    for (const [id, origin] of streams) {
      for (const keeper of options.keepersOf(id, keeperCount)) {
        if (keeper === self) continue
        const list = byKeeper.get(keeper) ?? []
        byKeeper.set(keeper, list)
        list.push({ id, origin })
      }
    }
    for (const [keeper, list] of byKeeper) options.send(keeper, { kind: 'fleet.streams', streams: list })
  }

  /** Tells the keepers of the streams of services that have begun to run several versions. */
  const shareStreamsOf = (services: readonly string[], now: number): void => {
    if (services.length === 0) return
    const resumable = [...own.entries()].filter(([, { origin, brokenAt }]) =>
      services.includes(origin.service) && (brokenAt === undefined || now - brokenAt < resumeTime))
    tellKeepers(resumable.map(([id, { origin }]) => [id, origin]))
  }

  const begin = (stream: string, origin: StreamOrigin, now: number): void => {
    const isMixed = history.note(origin.service, origin.version ?? '', now)
    known.set(stream, origin)
    own.set(stream, { origin, brokenAt: undefined })
    if (isMixed) shareStreamsOf([origin.service], now)
    else if (history.needsSharing(origin.service, now)) tellKeepers([[stream, origin]])
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
  }

  /** The origin of a stream that no instance knows: the only version that all have seen lately, if there is only one. */
  const originByVersion = (service: string, answers: readonly VersionSummary[]): OriginLookup => {
    const versions = new Set(answers.flatMap(summary => summary.versions))
    const [version] = versions
    if (versions.size !== 1 || !answers.some(({ complete }) => complete)) return { kind: 'unknown' }
    return { kind: 'known', origin: { service, ...(version === '' ? {} : { version }) } }
  }

  const ask = (stream: string, { service, workspace }: Resumption, now: number): Question => {
    const keepers = options.keepersOf(stream, keeperCount).filter(keeper => keeper !== self)
    const question: Question = { askedAt: now, open: new Set(keepers), answers: [] }
    questions.set(stream, question)
    for (const keeper of keepers) options.send(keeper, { kind: 'fleet.streamQuestion', id: stream, service, ...(workspace === undefined ? {} : { workspace }) })
    return question
  }

  const conclude = (stream: string, { answers }: Question, service: string, now: number): OriginLookup => {
    questions.delete(stream)
    // An instance that hears no other may lack the newest versions.
    if (options.hasPeers() && answers.length === 0) return { kind: 'unknown' }
    return originByVersion(service, [history.summary(service, now), ...answers])
  }

  const lookUp = (resumption: Resumption, now: number): OriginLookup => {
    const { service, workspace } = resumption
    // Without a name the question is only which versions the service has run.
    const stream = resumption.stream ?? `/${service}`
    const question = known.has(stream) ? undefined : questions.get(stream) ?? ask(stream, resumption, now)
    const origin = known.get(stream)
    if (origin !== undefined) return isFor(origin, workspace) ? { kind: 'known', origin } : { kind: 'unknown' }
    if (question === undefined) return { kind: 'unknown' }
    const isOver = question.open.size === 0 || now - question.askedAt >= answerTimeout
    return isOver ? conclude(stream, question, service, now) : { kind: 'asked' }
  }

  const fits = (origin: StreamOrigin, worker: Worker, now: number): boolean => {
    if (worker.service !== origin.service) return false
    if (origin.version !== undefined) return worker.softwareVersion === origin.version
    if (origin.worker !== undefined && worker.id === origin.worker && worker.startedAt === origin.startedAt) return true
    const { versions } = history.summary(origin.service, now)
    return versions.length === 1 && versions[0] === '' && worker.softwareVersion === undefined
  }

  const answer = (from: string, { id, service, workspace }: StreamMessage & { kind: 'fleet.streamQuestion' }, now: number): void => {
    const origin = known.get(id)
    const { versions, complete } = history.summary(service, now)
    options.send(from, { kind: 'fleet.streamAnswer', id, ...(origin !== undefined && isFor(origin, workspace) ? { origin } : {}), versions: [...versions], complete })
  }

  const applyAnswer = (from: string, { id, origin, versions, complete }: StreamMessage & { kind: 'fleet.streamAnswer' }): void => {
    if (origin !== undefined) known.set(id, origin)
    const question = questions.get(id)
    if (question?.open.delete(from) !== true) return
    question.answers.push({ versions, complete })
    if (origin !== undefined || question.open.size === 0) options.onAnswer()
  }

  const receive = (from: string, message: StreamMessage, now: number): void => {
    switch (message.kind) {
      case 'fleet.streams':
        for (const { id, origin } of message.streams) known.set(id, origin)
        return
      case 'fleet.streamQuestion': return answer(from, message, now)
      case 'fleet.streamAnswer': return applyAnswer(from, message)
    }
  }

  const tell = (to: string, stream: string, origin: StreamOrigin): void => options.send(to, { kind: 'fleet.streams', streams: [{ id: stream, origin }] })

  return { begin, end, lookUp, fits, observe, tell, receive }
}
