/**
 * Several instances of the real claims machine on virtual time, with a log, a
 * service that records each run, and callers that retry calls without an answer.
 * Faults are injected at the steps named in the plan.
 */
import { createClaims } from '../../src/claims/claimsMachine.js'
import type { Claims } from '../../src/claims/claimsMachine.js'
import type { ClaimsMessage } from '../../src/claims/claimsMessages.js'
import type { ClaimsEffect, ClaimsInput, ClaimsInstance, Outcome, Refusal } from '../../src/claims/claimsTypes.js'
import type { Hash } from '../../src/hash.js'
import type { LogEffect } from '../../src/ports/logPort.js'
import { tickInterval } from '../../src/ports/peerPort.js'
import { createRandom } from '../../src/random.js'
import { createVirtualTime } from '../fakes/virtualTime.js'
import type { ClaimsStep } from './claimsFaults.js'
import { createFaultyLog, lateDelay, retention, slowDelay, stepOfLog } from './claimsFaultyLog.js'
import type { Call, ServiceRun, CallerReply } from './claimsRecords.js'
import type { Fault, Plan } from './matrixTypes.js'
import { applyVariant, isUnbounded } from './claimsVariants.js'

/** Start of virtual time, in ms since the epoch. */
export const start = 1_700_000_000_000

/** Age in ms at which a key is no longer accepted. */
const window = 10_000

/** Greatest difference between clocks that claims allow for, in ms. */
const skew = 500

const instanceIds = ['n1', 'n2', 'n3', 'n4']

/** Time in ms from the start of an attempt to its deadline. */
const requestTimeout = 1_500

/** Time in ms after the deadline at which an instance stops waiting for the service's answer. */
const answerTimeout = 1_000

/** Time in ms after which a caller disconnects from an attempt without an answer and retries. */
const callerTimeout = 3_500

/** Greatest number of retries of a caller. */
const maxCallerRetries = 4

/** Downtime in ms of an instance that crashes. */
const restartDelay = 800

/** Time in ms after a restart at which the other instances learn of it. */
const membershipLag = 400

/** Duration in ms of a process freeze. */
const freezeDuration = 2_500

/** Duration in ms of a log outage. */
const outageDuration = 3_000

/** Duration in ms for which each instance sees only half of the members. */
const splitDuration = 3_000

/** A request accepted by an instance: one attempt of a call. */
interface Request {
  readonly call: Call
  readonly attempt: string
  /** Absolute time, in ms. */
  readonly deadline: number
  /** Number of earlier tries of the call by its caller. */
  readonly tries: number
  callerPresent: boolean
}

/** A simulated process. */
interface Instance {
  readonly id: string
  incarnation: number
  claims: Claims
  up: boolean
  frozenUntil: number
  /** Number of outgoing messages still to be dropped by a `gap` fault. */
  messagesToDrop: number
  /** Actions postponed until the end of a freeze. */
  backlog: (() => void)[]
  requests: Map<number, Request>
}

/** A simulated cluster and its records. Times are in ms since the start. */
export interface Cluster {
  /** Makes a call at its instance. */
  readonly call: (call: Call) => void
  /** Marks a step as reached at an instance; applies and returns the fault injected there, if any. */
  readonly step: (step: ClaimsStep, instance: string) => Fault | undefined
  /** Schedules an action. */
  readonly at: (delay: number, action: () => void) => void
  /** Runs the cluster up to a time. */
  readonly run: (until: number) => void
  readonly runs: readonly ServiceRun[]
  readonly callerReplies: readonly CallerReply[]
  /** Steps of the injections that have not been applied. */
  readonly unreachedSteps: () => readonly string[]
  /** Time of the last fault. */
  readonly lastFaultAt: () => number
}

/**
 * Creates the cluster of a plan.
 *
 * @param plan - the variant, the seed and the faults to inject
 * @param hash - hash functions, loaded
 * @returns the cluster, at the start of virtual time
 */
export const createCluster = (plan: Plan, hash: Hash): Cluster => {
  const time = createVirtualTime(start)
  const random = createRandom(plan.seed)
  const log = createFaultyLog(time, random, start)
  /** With seeds other than 1, an injection skips up to three occurrences of its step. */
  const pendingInjections = plan.injections.map((injection, index) => ({ ...injection, skips: (plan.seed - 1 + index) % 4 }))
  if (plan.seed === 1) pendingInjections.forEach(injection => { injection.skips = 0 })
  const runs: ServiceRun[] = []
  const callerReplies: CallerReply[] = []
  const openCalls = new Map<string, Call>()
  const requestsById = new Map<number, Request>()
  let requestCount = 0
  let splitUntil = 0
  let lastFaultAt = 0

  const createInstanceClaims = (id: string, incarnation: number): Claims => applyVariant(plan.variant, createClaims({
    self: id,
    incarnation: String(incarnation),
    hash,
    random: createRandom(plan.seed),
    window: isUnbounded(plan.variant) ? 1e13 : window,
    skew,
    retention: isUnbounded(plan.variant) ? 1e14 : retention
  }))

  const instances = new Map<string, Instance>(instanceIds.map(id => [id, { id, incarnation: 1, claims: createInstanceClaims(id, 1), up: true, frozenUntil: 0, messagesToDrop: 0, backlog: [], requests: new Map() }]))
  const instanceOf = (id: string): Instance => instances.get(id) ?? [...instances.values()][0]
  const randomInstanceExcept = (id: string): Instance => {
    const others = [...instances.values()].filter(each => each.id !== id)
    return others[random.below(others.length)]
  }

  /** Runs an action in a process, after the end of any freeze, unless the process has stopped or restarted by then. */
  const runInProcess = (instance: Instance, incarnation: number, action: () => void): void => {
    if (!instance.up || instance.incarnation !== incarnation) return
    if (time.now() < instance.frozenUntil) instance.backlog.push(() => runInProcess(instance, incarnation, action))
    else action()
  }

  const handleInput = (instance: Instance, input: ClaimsInput): void => {
    const { incarnation } = instance
    for (const effect of instance.claims.handle(input, time.now())) {
      if (instance.up && instance.incarnation === incarnation) perform(instance, effect)
    }
  }

  const handleInputLater = (instance: Instance, input: ClaimsInput, delay: number): void => {
    const { incarnation } = instance
    time.after(delay, () => runInProcess(instance, incarnation, () => handleInput(instance, input)))
  }

  const membersSeenBy = (observer: Instance): ClaimsInstance[] => [...instances.values()]
    .filter(each => time.now() >= splitUntil || instanceIds.indexOf(each.id) % 2 === instanceIds.indexOf(observer.id) % 2)
    .map(each => ({ id: each.id, incarnation: String(each.incarnation), state: 'live' }))

  const publishMembers = (delay: number): void => time.after(delay, () => {
    for (const instance of instances.values()) runInProcess(instance, instance.incarnation, () => handleInput(instance, { kind: 'claims.members', instances: membersSeenBy(instance) }))
  })

  const crash = (instance: Instance, downtime: number): void => {
    instance.up = false
    instance.backlog = []
    for (const { call, tries, callerPresent } of instance.requests.values()) if (callerPresent) retryCall(call, tries, 300)
    instance.requests = new Map()
    for (const other of instances.values()) if (other !== instance) handleInputLater(other, { kind: 'peer.lost', from: instance.id }, 2)
    time.after(downtime, () => {
      instance.incarnation++
      instance.claims = createInstanceClaims(instance.id, instance.incarnation)
      instance.up = true
      instance.frozenUntil = 0
      handleInput(instance, { kind: 'claims.members', instances: membersSeenBy(instance) })
    })
    publishMembers(downtime + membershipLag)
  }

  const freeze = (instance: Instance): void => {
    instance.frozenUntil = time.now() + freezeDuration
    time.at(instance.frozenUntil, () => {
      const { backlog } = instance
      instance.backlog = []
      for (const action of backlog) action()
    })
  }

  const splitMembership = (): void => {
    splitUntil = time.now() + splitDuration
    publishMembers(0)
    publishMembers(splitDuration)
  }

  /** Applies a fault that affects the process or its environment regardless of the step; other faults are applied at their step. */
  const applyFault = (fault: Fault, instance: Instance): void => {
    lastFaultAt = time.now() - start
    switch (fault) {
      case 'crash': return crash(instance, restartDelay)
      case 'restartEmpty': return time.after(0, () => { if (instance.up) crash(instance, 0) })
      case 'freeze': return freeze(instance)
      case 'outage': return log.startOutage(outageDuration)
      case 'lapsedLease': return splitMembership()
      case 'racingPublishers': return [...openCalls.values()].forEach(call => submit(call, randomInstanceExcept(call.at), maxCallerRetries))
      case 'herdRestart': return [...instances.values()].forEach(each => time.after(random.below(200), () => { if (each.up) crash(each, random.below(200)) }))
      default:
    }
  }

  const step = (name: ClaimsStep, id: string): Fault | undefined => {
    const index = pendingInjections.findIndex(injection => injection.step === name)
    if (index < 0) return undefined
    if (pendingInjections[index].skips-- > 0) return undefined
    const [{ fault }] = pendingInjections.splice(index, 1)
    applyFault(fault, instanceOf(id))
    return fault
  }

  const deliver = (from: string, to: string, message: ClaimsMessage, delay: number): void => time.after(delay, () => {
    const target = instanceOf(to)
    if (!target.up) return handleInputLater(instanceOf(from), { kind: 'peer.lost', from: to }, 1)
    runInProcess(target, target.incarnation, () => handleInput(target, { kind: 'peer.message', from, message }))
  })

  const stepOfMessage = (message: ClaimsMessage): ClaimsStep => {
    switch (message.kind) {
      case 'claims.claim': return 'forward'
      case 'claims.verdict': return 'verdict'
      case 'claims.queued': return 'queued'
      case 'claims.close': return message.close.outcome === 'notRun' ? 'void' : 'close'
      case 'claims.closed': return 'closed'
      case 'claims.lookup': return 'lookup'
      case 'claims.found': return 'found'
    }
  }

  const sendMessage = (instance: Instance, to: string, message: ClaimsMessage): void => {
    const delay = 1 + random.below(3)
    if (instance.messagesToDrop > 0) {
      instance.messagesToDrop--
      return
    }
    const fault = step(stepOfMessage(message), instance.id)
    switch (fault) {
      case 'crash': return
      case 'cutBefore': return handleInputLater(instance, { kind: 'peer.lost', from: to }, 1)
      case 'cutAfter':
        deliver(instance.id, to, message, delay)
        handleInputLater(instanceOf(to), { kind: 'peer.lost', from: instance.id }, delay + 1)
        return handleInputLater(instance, { kind: 'peer.lost', from: to }, delay + 1)
      case 'late': return deliver(instance.id, to, message, lateDelay)
      case 'slow': return deliver(instance.id, to, message, slowDelay)
      case 'duplicate':
        deliver(instance.id, to, message, delay)
        return deliver(instance.id, to, message, slowDelay * 2)
      case 'crossed': return deliver(instance.id, randomInstanceExcept(to).id, message, delay)
      case 'gap':
        instance.messagesToDrop = 2
        return
      default: deliver(instance.id, to, message, delay)
    }
  }

  const useLog = (instance: Instance, effect: LogEffect): void => {
    const { incarnation } = instance
    const fault = step(stepOfLog(effect), instance.id)
    log.use(effect, fault, input => runInProcess(instance, incarnation, () => handleInput(instance, input)))
  }

  const perform = (instance: Instance, effect: ClaimsEffect): void => {
    switch (effect.kind) {
      case 'peer.send': return sendMessage(instance, effect.to, effect.message)
      case 'log.append':
      case 'log.read': return useLog(instance, effect)
      case 'claims.granted': return receiveGrant(instance, effect.request)
      case 'claims.refused': return handleRefusal(instance, effect.request, effect.refusal)
    }
  }

  const receiveGrant = (instance: Instance, requestId: number): void => {
    const fault = step('grant', instance.id)
    const { incarnation } = instance
    const dispatchAfter = (after: number): void => time.after(after, () => runInProcess(instance, incarnation, () => dispatch(instance, requestId)))
    if (fault === 'gap' || fault === 'crash') return
    dispatchAfter(fault === 'late' ? lateDelay : fault === 'slow' ? slowDelay : 1)
    if (fault === 'duplicate') dispatchAfter(50)
  }

  const dispatch = (instance: Instance, requestId: number): void => {
    if (!instance.claims.mayDispatch(requestId, time.now())) return
    const request = requestsById.get(requestId)
    if (request === undefined) return
    const { incarnation } = instance
    const fault = step('dispatch', instance.id)
    if (fault === 'crash') return
    if (fault === 'cutBefore') {
      handleInput(instance, { kind: 'claims.unsent', request: requestId })
      return dispatch(instance, requestId)
    }
    const delay = fault === 'late' ? lateDelay : fault === 'slow' ? slowDelay : 3
    time.after(delay, () => serve(instance, incarnation, requestId, request, fault === 'cutAfter' || fault === 'gap'))
    time.at(request.deadline + answerTimeout, () => runInProcess(instance, incarnation, () => settle(instance, requestId, { kind: 'unknown' })))
    if (fault === 'cutAfter') time.after(delay + 1, () => runInProcess(instance, incarnation, () => settle(instance, requestId, { kind: 'unknown' })))
  }

  const serve = (instance: Instance, incarnation: number, requestId: number, { call, attempt }: Request, isAnswerLost: boolean): void => {
    const body = `${call.key}/${call.fingerprint}/${runs.length}`
    runs.push({ key: call.key, attempt, at: time.now(), body })
    if (isAnswerLost) return
    time.after(40 + random.below(80), () => {
      const fault = step('answer', instance.id)
      if (fault === 'gap' || fault === 'crash' || fault === 'cutBefore') return
      const outcome: Outcome = { kind: 'ran', answer: { status: 200, headers: {}, body: new TextEncoder().encode(body) } }
      const deliverAnswerAfter = (after: number): void => time.after(after, () => runInProcess(instance, incarnation, () => settle(instance, requestId, outcome)))
      deliverAnswerAfter(fault === 'late' ? lateDelay : fault === 'slow' ? slowDelay : 3)
      if (fault === 'duplicate') deliverAnswerAfter(20)
    })
  }

  const settle = (instance: Instance, requestId: number, outcome: Outcome): void => {
    const request = instance.requests.get(requestId)
    if (request === undefined) return
    instance.requests.delete(requestId)
    handleInput(instance, { kind: 'claims.settle', request: requestId, outcome })
    if (outcome.kind === 'ran') recordReply(request, { kind: 'answered', body: new TextDecoder().decode(outcome.answer.body) })
    else recordReply(request, { kind: 'outcomeUnknown' })
  }

  const handleRefusal = (instance: Instance, requestId: number, refusal: Refusal): void => {
    const request = instance.requests.get(requestId)
    if (request === undefined) return
    instance.requests.delete(requestId)
    recordReply(request, refusal)
    const retryAfter = refusal.kind === 'inProgress' || refusal.kind === 'notRun' ? refusal.retryAfter : undefined
    if (request.callerPresent && retryAfter !== undefined) retryCall(request.call, request.tries, retryAfter)
  }

  const recordReply = ({ call, attempt }: Request, answer: CallerReply['answer']): void => {
    callerReplies.push({ key: call.key, attempt, at: time.now(), answer })
    if (answer.kind !== 'inProgress' && answer.kind !== 'notRun') openCalls.delete(call.key)
  }

  const retryCall = (call: Call, tries: number, after: number): void => {
    if (tries < maxCallerRetries) time.after(after, () => submit({ ...call, disconnectsAfter: undefined }, instanceOf(instanceIds[random.below(instanceIds.length)]), tries + 1))
  }

  const submit = (call: Call, instance: Instance, tries: number, withoutFaults = false): void => {
    if (!instance.up) return retryCall(call, tries, 300)
    openCalls.set(call.key, call)
    const fault = withoutFaults ? undefined : step('begin', instance.id)
    if (!instance.up || fault === 'cutBefore') return retryCall(call, tries, 300)
    if (fault === 'duplicate') submit(call, instance, maxCallerRetries, true)
    if (fault === 'crossed') return submit(call, randomInstanceExcept(instance.id), tries, true)
    if (fault === 'late' || fault === 'slow') return time.after(fault === 'late' ? lateDelay : slowDelay, () => submit(call, instance, tries, true))
    accept(call, instance, tries, fault === 'cutAfter' ? 1 : call.disconnectsAfter)
  }

  const accept = (call: Call, instance: Instance, tries: number, disconnectsAfter?: number): void => {
    const requestId = requestCount++
    const { incarnation } = instance
    runInProcess(instance, incarnation, () => {
      const deadline = time.now() + requestTimeout
      const request: Request = { call, attempt: `${instance.id}/${incarnation}/${requestId}`, deadline, tries, callerPresent: true }
      instance.requests.set(requestId, request)
      requestsById.set(requestId, request)
      handleInput(instance, { kind: 'claims.begin', request: requestId, workspace: 'w', key: call.key, fingerprint: call.fingerprint, deadline })
    })
    time.after(disconnectsAfter ?? callerTimeout, () => {
      const request = instance.requests.get(requestId)
      if (request === undefined || instance.incarnation !== incarnation) return
      request.callerPresent = false
      runInProcess(instance, incarnation, () => handleInput(instance, { kind: 'claims.abandon', request: requestId }))
      retryCall(call, tries, 600)
    })
  }

  const tick = (instance: Instance): void => {
    runInProcess(instance, instance.incarnation, () => handleInput(instance, { kind: 'tick' }))
    time.after(tickInterval, () => tick(instance))
  }

  publishMembers(0)
  instanceIds.forEach((id, index) => time.after(10 * index, () => tick(instanceOf(id))))

  return {
    call: call => submit(call, instanceOf(call.at), 0),
    step,
    at: (delay, action) => time.at(start + delay, action),
    run: until => time.runUntil(start + until),
    runs,
    callerReplies,
    unreachedSteps: () => pendingInjections.map(injection => injection.step),
    lastFaultAt: () => lastFaultAt
  }
}
