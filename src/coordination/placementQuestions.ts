/**
 * The questions of one instance to the coordinators: which group a request asks,
 * how long it waits for the answer, and when it is placed without one. A request
 * asks one group after another while these have no room.
 */
import type { Random } from '../random.js'
import { maxAlternatives, type GroupLoad, type PlacedAnswer, type PlacementAnswer, type PlacementRequest } from './coordinationMessages.js'
import type { CoordinatorTrust } from './coordinatorTrust.js'
import { createGroupLoads, type GroupLoads } from './groupLoads.js'

/** A request that is to be placed. */
export interface PlacementQuestion {
  /** Number of the request at this instance. */
  readonly request: number
  readonly service: string
  /** Groups with a worker that may get the request. */
  readonly groups: readonly number[]
  /** Group that probably has the request's shared part; undefined if any is as good. */
  readonly preferred: () => number | undefined
  /** Memory that the request takes, in tokens. */
  readonly memoryTokens: number
  /** Builds the message to the coordinator of a group. */
  readonly build: (id: number, group: number, loads: GroupLoad[], alternatives: readonly number[]) => PlacementRequest
}

/** What the request does; `full` until a time in ms. */
export type QuestionState =
  | { readonly kind: 'asked' }
  | { readonly kind: 'named', readonly id: number, readonly coordinator: string, readonly answer: PlacedAnswer }
  | { readonly kind: 'full', readonly until: number }
  /** No coordinator answers, so that the instance places the request itself. */
  | { readonly kind: 'alone' }

/** What the questions depend on; times in ms. */
export interface PlacementQuestionsOptions {
  readonly random: Random
  readonly trust: CoordinatorTrust
  readonly nextId: () => number
  /** Returns the coordinator of a group. */
  readonly coordinatorOf: (service: string, group: number) => string
  /** Sends a question; returns the answer if this instance is the coordinator. */
  readonly ask: (coordinator: string, request: PlacementRequest, now: number) => Answered | undefined
  /** Called when a request that a coordinator has placed, or may have placed, is not sent there. */
  readonly release: (id: number, coordinator: string) => void
}

/** An answer, with the loads that came with it. */
export interface Answered {
  readonly answer: PlacementAnswer
  readonly loads: readonly GroupLoad[]
}

/** The questions; times in ms. */
export interface PlacementQuestions {
  /** Asks for a request, or returns what has become of its question. An answer is used up by it. */
  readonly resolve: (question: PlacementQuestion, now: number) => QuestionState
  /** Handles the answer of a coordinator; returns the number of the request that waits for it. */
  readonly answer: (from: string, id: number, service: string, answered: Answered, now: number) => number | undefined
  /** Drops the questions of requests that have ended. */
  readonly tick: (now: number) => void
  readonly loadsOf: (service: string) => GroupLoads
  /** Number of questions without an answer. */
  readonly size: () => number
}

/** Time for a coordinator's answer, in ms. */
export const answerTimeout = 40
/** Time, in ms, after which an answer that no request has used is dropped; it is too old to be used then. */
const answerLife = 400
/** Questions without an answer from which a group that was full counts as any other; before, their number doubles with each request that finds room, so that not all waiting requests ask at once again and again. */
const openWindow = 32
/** Time for which it is remembered that a group was full, in ms. */
const fullMemory = 500
/** Time, in ms, until a request that may not ask yet tries again. */
const windowWait = 20
/** Number of groups that one request asks in sequence before it waits. */
const maxGroupsAsked = 3

interface Pending {
  readonly id: number
  /** Service and group. */
  readonly key: string
  readonly coordinator: string
  readonly askedAt: number
  answer: PlacementAnswer | undefined
}

/** A group that has had no room for requests of `memoryTokens` or more. */
interface FullGroup {
  /** Time until which it is not asked for these, in ms. */
  until: number
  readonly memoryTokens: number
  /** Questions for these that may be without an answer at the same time. */
  window: number
}

/**
 * Creates the questions of an instance, of which there are none.
 *
 * @param options - the coordinators and how they are asked
 */
export const createPlacementQuestions = (options: PlacementQuestionsOptions): PlacementQuestions => {
  const { random, trust } = options
  const pending = new Map<number, Pending>()
  const requestsById = new Map<number, number>()
  const loads = new Map<string, GroupLoads>()
  const full = new Map<string, FullGroup>()
  const unanswered = new Map<string, number>()

  const loadsOf = (service: string): GroupLoads => {
    const known = loads.get(service) ?? createGroupLoads()
    loads.set(service, known)
    return known
  }

  const keyOf = (service: string, group: number): string => `${service}/${group}`

  const countOpen = (key: string, change: number): void => {
    const count = (unanswered.get(key) ?? 0) + change
    if (count > 0) unanswered.set(key, count)
    else unanswered.delete(key)
  }

  const noteAnswered = (asked: Pending): void => {
    if (asked.answer === undefined) countOpen(asked.key, -1)
  }

  const remove = (request: number, asked: Pending): void => {
    pending.delete(request)
    requestsById.delete(asked.id)
    noteAnswered(asked)
  }

  /** Time from which a group may be asked, in ms. */
  const fullUntil = (service: string, group: number, memoryTokens: number, now: number): number => {
    const key = keyOf(service, group)
    const entry = full.get(key)
    if (entry === undefined || memoryTokens < entry.memoryTokens) return -Infinity
    if (entry.until > now) return entry.until
    return (unanswered.get(key) ?? 0) < entry.window ? -Infinity : now + windowWait
  }

  const noteFull = (key: string, memoryTokens: number, until: number): void => {
    full.set(key, { until, memoryTokens, window: 1 })
  }

  const noteRoom = (key: string): void => {
    const entry = full.get(key)
    if (entry === undefined) return
    entry.window *= 2
    if (entry.window >= openWindow) full.delete(key)
  }

  /** Asks the coordinator of one group. */
  const askGroup = (question: PlacementQuestion, group: number, alternatives: readonly number[], now: number): Pending | undefined => {
    const { service, request } = question
    const coordinator = options.coordinatorOf(service, group)
    if (!trust.mayAsk(coordinator, now)) return undefined
    const id = options.nextId()
    const asked: Pending = { id, key: keyOf(service, group), coordinator, askedAt: now, answer: undefined }
    pending.set(request, asked)
    countOpen(asked.key, 1)
    requestsById.set(id, request)
    const answered = options.ask(coordinator, question.build(id, group, loadsOf(service).freshest(now), alternatives), now)
    if (answered === undefined) return asked
    noteAnswered(asked)
    asked.answer = answered.answer
    loadsOf(service).note(answered.loads, now)
    return asked
  }

  const begin = (question: PlacementQuestion, named: number | undefined, now: number): Pending | QuestionState => {
    const { service, groups, preferred, memoryTokens } = question
    const open = groups.filter(group => fullUntil(service, group, memoryTokens, now) <= now)
    if (open.length === 0) return { kind: 'full', until: Math.min(...groups.map(group => fullUntil(service, group, memoryTokens, now))) }
    const first = named !== undefined && open.includes(named) ? named : loadsOf(service).choose(open, preferred(), random, now)
    const asked = first === undefined ? undefined : askGroup(question, first, named === undefined ? open.slice(0, maxAlternatives) : [], now)
    if (asked !== undefined) return asked
    for (const group of open) {
      const other = group === first ? undefined : askGroup(question, group, [], now)
      if (other !== undefined) return other
    }
    return { kind: 'alone' }
  }

  /** What follows from an answer; undefined if another group is asked. */
  const conclude = ({ memoryTokens, request }: PlacementQuestion, asked: Pending, answer: PlacementAnswer, now: number): QuestionState | undefined => {
    remove(request, asked)
    switch (answer.kind) {
      case 'placed':
        noteRoom(asked.key)
        return { kind: 'named', id: asked.id, coordinator: asked.coordinator, answer }
      case 'noRoom':
        noteFull(asked.key, memoryTokens, now + answer.wait)
        return undefined
      case 'otherGroup': return undefined
      case 'noWorker': return { kind: 'alone' }
    }
  }

  const resolve = (question: PlacementQuestion, now: number): QuestionState => {
    let named: number | undefined
    for (let turn = 0; turn < maxGroupsAsked; turn++) {
      const known = pending.get(question.request)
      const current = known ?? begin(question, named, now)
      if ('kind' in current) return current
      if (current.answer === undefined) {
        if (now < current.askedAt + answerTimeout) return { kind: 'asked' }
        remove(question.request, current)
        trust.noteFailure(current.coordinator, now)
        options.release(current.id, current.coordinator)
        return { kind: 'alone' }
      }
      if (current.answer.kind === 'otherGroup') named = current.answer.group
      const state = conclude(question, current, current.answer, now)
      if (state !== undefined) return state
    }
    const { service, groups, memoryTokens } = question
    return { kind: 'full', until: Math.max(now + 1, Math.min(...groups.map(group => Math.max(now, fullUntil(service, group, memoryTokens, now))))) }
  }

  const answer = (from: string, id: number, service: string, { answer: given, loads: stated }: Answered, now: number): number | undefined => {
    trust.noteAnswer(from)
    loadsOf(service).note(stated, now)
    const request = requestsById.get(id)
    const asked = request === undefined ? undefined : pending.get(request)
    if (asked?.coordinator !== from || asked.id !== id) {
      // The request was placed without this answer, which came late.
      if (given.kind === 'placed') options.release(id, from)
      return undefined
    }
    noteAnswered(asked)
    asked.answer = given
    return request
  }

  const tick = (now: number): void => {
    for (const [request, asked] of pending) {
      if (now - asked.askedAt < answerLife) continue
      remove(request, asked)
      if (asked.answer === undefined) trust.noteFailure(asked.coordinator, now)
      if (asked.answer === undefined || asked.answer.kind === 'placed') options.release(asked.id, asked.coordinator)
    }
    for (const [key, { until }] of full) if (until + fullMemory <= now) full.delete(key)
  }

  return { resolve, answer, tick, loadsOf, size: () => pending.size }
}
