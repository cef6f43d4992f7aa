/**
 * Whether this instance reaches the workers of a service. An instance that has lost
 * its links to them looks, from itself, as if all workers had ended; the others
 * still reach them. When connections to several workers fail, another one is
 * probed, and all or a sample of them unless that one answers at once; if none is
 * reached, some other instances are asked. If one has reached a worker just now,
 * this instance is cut off from the service, and knows by whom its workers can be
 * reached. If none has, the service is down for all.
 *
 * Two workers that end are noticed by every instance of a fleet at the same time.
 * A check therefore ends with the first worker that is reached, begins again only
 * after a further failure, and in a large fleet is spread over time.
 *
 * While an instance may be cut off, what it sees of these workers says nothing
 * about them: it reports no crashes and spreads no suspicions.
 */
import type { Worker } from '../workers/workersTypes.js'
import { createReachCheck, drawSome, isOverdue, takeProbes, type ReachCheck } from './reachCheck.js'
import type { Finding, Reach, WorkerReach, WorkerReachOptions } from './workerReachTypes.js'

/** Number of workers that have to be out of reach before the others are probed; all of fewer. */
const minFailures = 2
/** Number of workers that are probed at most; if none of them is reached, none of the others is taken to be. */
const sampleSize = 8
/** Shortest time between two probes for the questions of other instances, in ms. */
const questionProbeInterval = 100
/** Number of instances that are asked at once. */
const askedPeers = 6
/** Time for answers, in ms, after which the service counts as down for all, and until it is asked about again. */
const answerTime = 250
const askAgainDelay = 500
/** Time between two questions while cut off, in ms, and for which an answer counts. */
const refreshInterval = 1_000
const relayMemory = 2_500
/** Time, in ms, by which a worker has to be heard later than another instance has lost it; what was under way may arrive later than the end of its sender is noticed. */
const minLater = 30
/** Time for which a question waits for a worker to be reached, in ms. */
const questionMemory = 250
/** Number of workers that have to be reached again, or half of the service's if these are fewer, in succession without a failure in between. */
const minRegained = 4

/** A question of another instance; times in ms. */
interface Question {
  readonly askedAt: number
  /** Time after which a worker has to be reached for the answer. */
  readonly after: number
}

interface ServiceState {
  reach: Reach
  /** The check that is under way or due; undefined if none is. */
  check: ReachCheck | undefined
  /** When the last check was due. */
  checkedAt: number
  /** Whether a worker was reached since the last new failure. */
  isSettled: boolean
  /** When a worker was last probed for a question. */
  questionProbedAt: number
  /** Workers whose last connection failed, and since when connections to them fail. */
  readonly failures: Map<string, number>
  /** Those of them that no other instance had reported. */
  readonly ownFindings: Set<string>
  /** Workers that were reached since this instance was cut off. */
  readonly regained: Set<string>
  /** When a worker was last reached or heard. */
  lastContactAt: number
  /** When the first of the present failures happened. */
  failingSince: number
  /** When the last of the workers that were probed was found to be out of reach. */
  lostAt: number
  /** When the other instances were asked last. */
  askedAt: number
  turn: number
  /** Instances that reach the service, and when they said so. */
  readonly relays: Map<string, number>
  /** Instances that asked and were not answered yet. */
  readonly questions: Map<string, Question>
}

const createState = (): ServiceState => ({
  reach: 'reached', check: undefined, checkedAt: -Infinity, isSettled: true, questionProbedAt: -Infinity, failures: new Map(), ownFindings: new Set(), regained: new Set(), lastContactAt: -Infinity, failingSince: Infinity, lostAt: Infinity, askedAt: -Infinity, turn: 0, relays: new Map(), questions: new Map()
})

/**
 * Creates the reach of workers of one instance, which reaches all at first.
 *
 * @param options - the workers, the other instances and the log
 */
export const createWorkerReach = (options: WorkerReachOptions): WorkerReach => {
  const states = new Map<string, ServiceState>()

  const stateOf = (service: string): ServiceState => {
    const state = states.get(service) ?? createState()
    states.set(service, state)
    return state
  }

  const withState = (worker: string, act: (state: ServiceState, service: string) => void): void => {
    const service = options.serviceOf(worker)
    if (service !== undefined) act(stateOf(service), service)
  }

  const setReach = (service: string, state: ServiceState, reach: Reach, now: number): void => {
    const before = state.reach
    if (before === reach) return
    state.reach = reach
    // What failed before says nothing of the links that work again.
    if (reach === 'reached' && before === 'cutOff') {
      state.failures.clear()
      state.ownFindings.clear()
    }
    if (reach === 'cutOff') {
      state.regained.clear()
      options.log({ kind: 'serviceCutOff', service, peers: state.relays.size, after: Math.round(now - state.failingSince) })
    } else if (before === 'cutOff') {
      options.log({ kind: 'serviceReached', service, after: Math.round(now - state.failingSince) })
    }
    if (reach !== 'uncertain' && (reach === 'cutOff' || before === 'cutOff')) options.onChange(service, reach)
  }

  const answer = (to: string, service: string): void => options.send(to, { kind: 'fleet.reachAnswer', service })

  /** Answers the instances that asked; a connection that was opened is newer than their questions, what was heard may be older. */
  const answerQuestions = (service: string, state: ServiceState, contact: 'connected' | 'heard', now: number): void => {
    if (!options.acceptsRelays()) return
    for (const [peer, { after }] of state.questions) {
      if (contact === 'heard' && now < after) continue
      answer(peer, service)
      state.questions.delete(peer)
    }
  }

  const noteContact = (service: string, state: ServiceState, contact: 'connected' | 'heard', now: number): void => {
    state.lastContactAt = now
    if (state.reach === 'reached') answerQuestions(service, state, contact, now)
  }

  const noteConnected = (worker: string, now: number): void => withState(worker, (state, service) => {
    state.failures.delete(worker)
    state.ownFindings.delete(worker)
    state.isSettled = true
    state.check = undefined
    if (state.reach !== 'cutOff') {
      setReach(service, state, 'reached', now)
      if (state.failures.size === 0) state.failingSince = Infinity
      return noteContact(service, state, 'connected', now)
    }
    state.regained.add(worker)
    state.lastContactAt = now
    const enough = Math.min(minRegained, Math.ceil(options.liveWorkers(service).length / 2))
    if (state.regained.size < enough) return
    setReach(service, state, 'reached', now)
    state.failingSince = Infinity
  })

  const noteHeard = (worker: string, now: number): void => withState(worker, (state, service) => noteContact(service, state, 'heard', now))

  const noteUnreachable = (worker: string, finding: Finding, now: number): void => withState(worker, state => {
    if (finding === 'own') state.ownFindings.add(worker)
    if (state.failures.size === 0) state.failingSince = now
    if (!state.failures.has(worker)) {
      state.failures.set(worker, now)
      state.isSettled = false
    }
    // Links that come and go have to be well for several workers in succession.
    state.regained.clear()
  })

  const ask = (service: string, state: ServiceState, now: number): void => {
    state.askedAt = now
    state.turn++
    for (const peer of options.somePeers(askedPeers, state.turn)) options.send(peer, { kind: 'fleet.reachQuestion', service, since: Math.max(0, now - state.lostAt) })
  }

  /** Forgets workers that are no longer live. */
  const forgetGone = (state: ServiceState, live: readonly Worker[]): void => {
    for (const worker of state.failures.keys()) {
      if (live.some(({ id }) => id === worker)) continue
      state.failures.delete(worker)
      state.ownFindings.delete(worker)
    }
  }

  const probeAll = (workers: readonly string[], now: number): void => { for (const worker of workers) options.probe(worker, now) }

  const probeSome = (service: string, count: number, now: number): void =>
    probeAll(drawSome(options.liveWorkers(service).map(({ id }) => id), count, options.random), now)

  const checkOf = (state: ServiceState, now: number): ReachCheck => {
    if (state.check !== undefined && !isOverdue(state.check, now)) return state.check
    const timing = { lastBegunAt: state.checkedAt, isSeenByOthers: state.ownFindings.size < minFailures, instances: options.instances() }
    const check = createReachCheck(timing, options.random, now)
    state.check = check
    state.checkedAt = check.beginsAt
    return check
  }

  /** Checks whether any worker is reached once several are not; asks the other instances if none is. */
  const lookForCut = (service: string, state: ServiceState, now: number): void => {
    const live = options.liveWorkers(service)
    forgetGone(state, live)
    if (live.length === 0 || state.isSettled || state.failures.size < Math.min(minFailures, live.length)) return setReach(service, state, 'reached', now)
    const wanted = Math.min(sampleSize, live.length)
    if (state.failures.size < wanted) {
      const input = { live: live.map(({ id }) => id), hasFailed: (worker: string) => state.failures.has(worker), wanted, random: options.random }
      return probeAll(takeProbes(checkOf(state, now), input, now), now)
    }
    if (now - state.askedAt < askAgainDelay) return
    state.check = undefined
    state.lostAt = Math.max(...state.failures.values())
    setReach(service, state, 'uncertain', now)
    ask(service, state, now)
  }

  /** Probes workers for the questions that wait, at most once in `questionProbeInterval` for all of them. */
  const probeForQuestions = (service: string, state: ServiceState, now: number): void => {
    if (state.questions.size === 0 || now - state.questionProbedAt < questionProbeInterval) return
    state.questionProbedAt = now
    probeSome(service, minFailures, now)
  }

  const tickService = (service: string, state: ServiceState, now: number): void => {
    for (const [peer, at] of state.relays) if (now - at > relayMemory) state.relays.delete(peer)
    for (const [peer, { askedAt }] of state.questions) if (now - askedAt > questionMemory) state.questions.delete(peer)
    if (state.reach === 'reached') probeForQuestions(service, state, now)
    switch (state.reach) {
      case 'reached': return state.failures.size === 0 ? undefined : lookForCut(service, state, now)
      case 'uncertain': return now - state.askedAt < answerTime ? undefined : setReach(service, state, 'reached', now)
      case 'cutOff':
        if (state.relays.size === 0) return setReach(service, state, 'reached', now)
        if (now - state.askedAt < refreshInterval) return
        ask(service, state, now)
        // The workers that are not suspected are probed, too, so that it shows when the links work again.
        probeSome(service, sampleSize, now)
    }
  }

  const handleQuestion = (from: string, service: string, since: number, now: number): void => {
    const state = stateOf(service)
    if (state.reach !== 'reached' || !options.acceptsRelays()) return
    const after = now - since + minLater
    if (state.lastContactAt >= after) return answer(from, service)
    state.questions.set(from, { askedAt: now, after })
    probeForQuestions(service, state, now)
  }

  const handleAnswer = (from: string, service: string, now: number): void => {
    const state = stateOf(service)
    if (state.reach === 'reached') return
    state.relays.set(from, now)
    setReach(service, state, 'cutOff', now)
  }

  return {
    noteConnected,
    noteHeard,
    noteUnreachable,
    reachOf: service => states.get(service)?.reach ?? 'reached',
    mayBeCutOff: service => {
      const state = states.get(service)
      if (state === undefined || state.reach === 'cutOff') return false
      return state.reach === 'uncertain' || (!state.isSettled && state.failures.size >= minFailures && state.askedAt < state.failingSince)
    },
    cutOffCount: () => [...states.values()].filter(({ reach }) => reach === 'cutOff').length,
    relaysFor: (service, now) => {
      const state = states.get(service)
      return state?.reach === 'cutOff' ? [...state.relays].filter(([, at]) => now - at <= relayMemory).map(([peer]) => peer) : []
    },
    dropRelay: peer => { for (const { relays } of states.values()) relays.delete(peer) },
    receive: (from, message, now) => {
      if (message.kind === 'fleet.reachQuestion') handleQuestion(from, message.service, message.since, now)
      else handleAnswer(from, message.service, now)
    },
    tick: now => { for (const [service, state] of states) tickService(service, state, now) },
    dump: now => [...states].map(([service, { reach, failures, relays, lastContactAt }]) =>
      ({ service, reach, unreachable: failures.size, relays: [...relays.keys()], lastContact: Number.isFinite(lastContactAt) ? Math.round(now - lastContactAt) : undefined }))
  }
}
