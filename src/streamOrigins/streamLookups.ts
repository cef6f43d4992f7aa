/**
 * Finds out where a stream began that a caller resumes: from what this instance
 * knows, from other instances, and from the records in the store. If none of them
 * knows the stream, and all agree that its service has run only one version lately,
 * it began on that one; otherwise it stays unknown.
 */
import { LRUCache } from 'lru-cache'
import type { FleetMessage } from '../fleet/fleetMessages.js'
import type { RecordReader } from './recordedStreams.js'
import type { StreamOrigin } from './streamOriginsTypes.js'
import type { VersionHistory, VersionSummary } from './versionHistory.js'

/** Messages about streams between instances. */
export type StreamMessage = Extract<FleetMessage, { kind: 'fleet.streams' | 'fleet.streamQuestion' | 'fleet.streamAnswer' }>

type StreamQuestion = StreamMessage & { readonly kind: 'fleet.streamQuestion' }

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

/** What the lookups depend on; times in ms. */
export interface StreamLookupOptions {
  readonly self: string
  /** Returns the live instances that are told of a stream; this one may be among them. */
  readonly keepersOf: (stream: string, count: number) => readonly string[]
  /** Whether other instances are known, whether live or not. */
  readonly hasPeers: () => boolean
  /** Returns the fraction of the instances that were live lately that are live now. */
  readonly liveShare: () => number
  /** Returns the instance that records streams in the store. */
  readonly recorder: () => string | undefined
  readonly send: (to: string, message: StreamMessage) => void
  /** Called when a lookup has ended. */
  readonly onAnswer: () => void
  readonly history: VersionHistory
  readonly records: RecordReader
  /** Streams of which this instance knows where they began. */
  readonly known: LRUCache<string, StreamOrigin>
}

/** The lookups of one instance; times in ms. */
export interface StreamLookups {
  /** Looks up a stream. After `asked`, it has to be called again until it returns anything else. */
  readonly lookUp: (resumption: Resumption, now: number) => OriginLookup
  /** Answers another instance, at once or when the records have been read. */
  readonly answer: (from: string, question: StreamQuestion, now: number) => void
  readonly applyAnswer: (from: string, answer: StreamMessage & { kind: 'fleet.streamAnswer' }) => void
  /** Records that the records have been read, or cannot be. */
  readonly noteRead: (now: number) => void
}

/** Number of instances that are told of a stream; the instance that began it and another may be lost at once. */
export const keeperCount = 3
/** Fraction of the instances, those of the last minute, above which the live ones count as the majority. */
const minLiveShare = 0.5
/** Number of lookups in progress. */
const maxQuestions = 20_000
/** Time for the answers of other instances, in ms. */
const answerTimeout = 250
/** Time for these of an instance that has just started, in ms: one that it asks may have to read the records first. */
const readAnswerTimeout = 600
/** Longest time for which an instance that has just started waits to hear others before it asks them, in ms; they answer its first heartbeat. */
const hearingTime = 500
/** Number of questions that wait for the records. */
const maxWaitingQuestions = 1_000

interface Question {
  readonly askedAt: number
  /** Number of instances that were asked. */
  readonly asked: number
  readonly open: Set<string>
  readonly answers: VersionSummary[]
}

/** Whether the versions are known for certain and are one. */
const isCertain = ({ versions, complete }: VersionSummary): boolean => complete && versions.length === 1

const isFor = (origin: StreamOrigin, workspace: string | undefined): boolean => origin.workspace === workspace

/**
 * Creates the lookups of one instance.
 *
 * @param options - the other instances, and what this one knows
 */
export const createStreamLookups = (options: StreamLookupOptions): StreamLookups => {
  const { self, history, records, known } = options
  const questions = new LRUCache<string, Question>({ max: maxQuestions })
  /** Questions of other instances that wait for the records. */
  let waitingQuestions: (readonly [string, StreamQuestion])[] = []

  /** The origin of a stream that no instance knows: the only version that all have seen lately, if there is only one. */
  const originByVersion = (service: string, answers: readonly VersionSummary[]): OriginLookup => {
    const versions = new Set(answers.flatMap(summary => summary.versions))
    const [version] = versions
    if (versions.size !== 1 || !answers.some(({ complete }) => complete)) return { kind: 'unknown' }
    return { kind: 'known', origin: { service, ...(version === '' ? {} : { version }) } }
  }

  /**
   * The versions that the service has run lately. An instance that has not watched
   * it for long enough goes by the records, which say so if workers of another
   * version have left, and by the start times of those that are there.
   */
  const summarize = (service: string, now: number): VersionSummary => {
    const watched = history.summary(service, now)
    const recorded = watched.complete ? undefined : records.versionsOf(service)
    if (recorded === undefined) return watched
    return { versions: [...new Set([...watched.versions, ...recorded])], complete: history.areWorkersOld(service, now) }
  }

  const ask = (stream: string, { service, workspace }: Resumption, now: number): Question => {
    const keepers = options.keepersOf(stream, keeperCount)
    const reader = isCertain(summarize(service, now)) ? undefined : options.recorder()
    const asked = new Set([...keepers, ...(reader === undefined ? [] : [reader])].filter(id => id !== self))
    const question: Question = { askedAt: now, asked: asked.size, open: asked, answers: [] }
    questions.set(stream, question)
    for (const to of asked) {
      options.send(to, { kind: 'fleet.streamQuestion', id: stream, service, ...(workspace === undefined ? {} : { workspace }), read: to === reader })
    }
    return question
  }

  /** Whether this instance has to read the records itself; otherwise the recorder, which was asked, has done so. */
  const readsItself = ({ answers }: Question): boolean => {
    const reader = options.recorder()
    return answers.length === 0 || reader === undefined || reader === self
  }

  const conclude = (stream: string, question: Question, service: string, now: number): OriginLookup => {
    const { answers } = question
    const lookup = originByVersion(service, [summarize(service, now), ...answers])
    if (lookup.kind === 'unknown' && history.isYoung(now) && readsItself(question)) {
      records.read(now)
      if (records.isReading(now)) return { kind: 'asked' }
    }
    if (lookup.kind === 'known' && !isConfirmed(question) && options.hasPeers()) {
      const mayConfirm = answers.length > 0 && records.readAfter(question.askedAt, now)
      if (mayConfirm) return { kind: 'asked' }
      questions.delete(stream)
      return confirmByRecords(question, service, now)
    }
    questions.delete(stream)
    return lookup
  }

  /**
   * Whether so many instances have answered that they cannot all have been cut off,
   * with this one, from those at which another version has appeared.
   */
  const isConfirmed = ({ asked, answers }: Question): boolean => 2 * answers.length > asked && options.liveShare() > minLiveShare

  /** The only version that has been seen, if the records, read after the question, name no other. An instance that hears no other does not know. */
  const confirmByRecords = ({ askedAt, answers }: Question, service: string, now: number): OriginLookup => {
    const recorded = records.versionsOf(service)
    if (answers.length === 0 || !records.hasReadAfter(askedAt) || recorded === undefined) return { kind: 'unknown' }
    return originByVersion(service, [summarize(service, now), ...answers, { versions: recorded, complete: false }])
  }

  /** Whether the instance has just started and still waits for the first word of others. */
  const isHearing = (now: number): boolean =>
    options.hasPeers() && history.watchedFor(now) < hearingTime && options.keepersOf(self, keeperCount).every(id => id === self)

  const lookUp = (resumption: Resumption, now: number): OriginLookup => {
    const { service, workspace } = resumption
    // Without a name the question is only which versions the service has run.
    const stream = resumption.stream ?? `/${service}`
    const origin = known.get(stream)
    if (origin !== undefined) return isFor(origin, workspace) ? { kind: 'known', origin } : { kind: 'unknown' }
    if (isHearing(now)) return { kind: 'asked' }
    const question = questions.get(stream) ?? ask(stream, resumption, now)
    const told = known.get(stream)
    if (told !== undefined) return lookUp(resumption, now)
    const isOver = question.open.size === 0 || now - question.askedAt >= (history.isYoung(now) ? readAnswerTimeout : answerTimeout)
    return isOver ? conclude(stream, question, service, now) : { kind: 'asked' }
  }

  const answer = (from: string, question: StreamQuestion, now: number): void => {
    const { id, service, workspace, read } = question
    if (read && !known.has(id) && history.isYoung(now) && !isCertain(summarize(service, now))) {
      records.read(now)
      if (records.isReading(now) && waitingQuestions.length < maxWaitingQuestions) {
        waitingQuestions.push([from, question])
        return
      }
    }
    const origin = known.get(id)
    const { versions, complete } = summarize(service, now)
    options.send(from, { kind: 'fleet.streamAnswer', id, ...(origin !== undefined && isFor(origin, workspace) ? { origin } : {}), versions: [...versions], complete })
  }

  const applyAnswer = (from: string, { id, origin, versions, complete }: StreamMessage & { kind: 'fleet.streamAnswer' }): void => {
    if (origin !== undefined) known.set(id, origin)
    const question = questions.get(id)
    if (question?.open.delete(from) !== true) return
    question.answers.push({ versions, complete })
    if (origin !== undefined || question.open.size === 0) options.onAnswer()
  }

  const noteRead = (now: number): void => {
    const waiting = waitingQuestions
    waitingQuestions = []
    for (const [from, question] of waiting) answer(from, question, now)
    options.onAnswer()
  }

  return { lookUp, answer, applyAnswer, noteRead }
}
