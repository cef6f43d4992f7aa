/**
 * Several instances of the real claims machine on virtual time, with a log, a
 * service that records each run, and callers that repeat what they got no
 * answer to. Faults are injected at the named steps.
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
import { createFaultyLog, lateBy, retention, slowBy, stepOfLog } from './claimsFaultyLog.js'
import type { Call, ServiceRun, Told } from './claimsRecords.js'
import type { Fault, Plan } from './matrixTypes.js'
import { breakClaims, isUnbounded } from './claimsVariants.js'

export const start = 1_700_000_000_000
const window = 10_000
const skew = 500
const instanceIds = ['n1', 'n2', 'n3', 'n4']
const deadlineAfter = 1_500
const answerPatience = 1_000
const callerPatience = 3_500
const callerTries = 4
const restartAfter = 800
const membershipLag = 400
const freezeFor = 2_500
const outageFor = 3_000
const splitFor = 3_000

interface Request {
  readonly call: Call
  readonly attempt: string
  readonly deadline: number
  readonly tries: number
  callerPresent: boolean
}

interface Instance {
  readonly id: string
  incarnation: number
  claims: Claims
  up: boolean
  frozenUntil: number
  silentFor: number
  backlog: (() => void)[]
  requests: Map<number, Request>
}

/** A running cluster and its records. */
export interface Cluster {
  readonly call: (call: Call) => void
  readonly step: (step: ClaimsStep, instance: string) => Fault | undefined
  readonly at: (delay: number, action: () => void) => void
  readonly run: (until: number) => void
  readonly runs: readonly ServiceRun[]
  readonly told: readonly Told[]
  readonly unreached: () => readonly string[]
  /** Time of the last fault, in ms since the start. */
  readonly lastFault: () => number
}

/** Creates the cluster of a plan. */
export const createCluster = (plan: Plan, hash: Hash): Cluster => {
  const time = createVirtualTime(start)
  const random = createRandom(plan.seed)
  const log = createFaultyLog(time, random, start)
  /** With another seed than 1 an injection lets up to three occasions pass. */
  const waiting = plan.injections.map((injection, index) => ({ ...injection, passes: (plan.seed - 1 + index) % 4 }))
  if (plan.seed === 1) waiting.forEach(injection => { injection.passes = 0 })
  const runs: ServiceRun[] = []
  const told: Told[] = []
  const openCalls = new Map<string, Call>()
  const accepted = new Map<number, Request>()
  let serial = 0
  let splitUntil = 0
  let lastFault = 0

  const build = (id: string, incarnation: number): Claims => breakClaims(plan.variant, createClaims({
    self: id,
    incarnation: String(incarnation),
    hash,
    random: createRandom(plan.seed),
    window: isUnbounded(plan.variant) ? 1e13 : window,
    skew,
    retention: isUnbounded(plan.variant) ? 1e14 : retention
  }))

  const instances = new Map<string, Instance>(instanceIds.map(id => [id, { id, incarnation: 1, claims: build(id, 1), up: true, frozenUntil: 0, silentFor: 0, backlog: [], requests: new Map() }]))
  const instanceOf = (id: string): Instance => instances.get(id) ?? [...instances.values()][0]
  const otherThan = (id: string): Instance => {
    const others = [...instances.values()].filter(each => each.id !== id)
    return others[random.below(others.length)]
  }

  /** Runs an action in a process, after its freeze, unless it is gone by then. */
  const inside = (instance: Instance, incarnation: number, action: () => void): void => {
    if (!instance.up || instance.incarnation !== incarnation) return
    if (time.now() < instance.frozenUntil) instance.backlog.push(() => inside(instance, incarnation, action))
    else action()
  }

  const feed = (instance: Instance, input: ClaimsInput): void => {
    const { incarnation } = instance
    for (const effect of instance.claims.handle(input, time.now())) {
      if (instance.up && instance.incarnation === incarnation) perform(instance, effect)
    }
  }

  const feedLater = (instance: Instance, input: ClaimsInput, delay: number): void => {
    const { incarnation } = instance
    time.after(delay, () => inside(instance, incarnation, () => feed(instance, input)))
  }

  const rows = (viewer: Instance): ClaimsInstance[] => [...instances.values()]
    .filter(each => time.now() >= splitUntil || instanceIds.indexOf(each.id) % 2 === instanceIds.indexOf(viewer.id) % 2)
    .map(each => ({ id: each.id, incarnation: String(each.incarnation), state: 'live' }))

  const showMembers = (delay: number): void => time.after(delay, () => {
    for (const instance of instances.values()) inside(instance, instance.incarnation, () => feed(instance, { kind: 'claims.members', instances: rows(instance) }))
  })

  const crash = (instance: Instance, downFor: number): void => {
    instance.up = false
    instance.backlog = []
    for (const { call, tries, callerPresent } of instance.requests.values()) if (callerPresent) repeat(call, tries, 300)
    instance.requests = new Map()
    for (const other of instances.values()) if (other !== instance) feedLater(other, { kind: 'peer.lost', from: instance.id }, 2)
    time.after(downFor, () => {
      instance.incarnation++
      instance.claims = build(instance.id, instance.incarnation)
      instance.up = true
      instance.frozenUntil = 0
      feed(instance, { kind: 'claims.members', instances: rows(instance) })
    })
    showMembers(downFor + membershipLag)
  }

  const freeze = (instance: Instance): void => {
    instance.frozenUntil = time.now() + freezeFor
    time.at(instance.frozenUntil, () => {
      const { backlog } = instance
      instance.backlog = []
      for (const action of backlog) action()
    })
  }

  const split = (): void => {
    splitUntil = time.now() + splitFor
    showMembers(0)
    showMembers(splitFor)
  }

  /** Faults that strike the process or its surroundings, whatever the step. */
  const strike = (fault: Fault, instance: Instance): void => {
    lastFault = time.now() - start
    switch (fault) {
      case 'crash': return crash(instance, restartAfter)
      case 'restartEmpty': return time.after(0, () => { if (instance.up) crash(instance, 0) })
      case 'freeze': return freeze(instance)
      case 'outage': return log.goDown(outageFor)
      case 'lapsedLease': return split()
      case 'racingPublishers': return [...openCalls.values()].forEach(call => submit(call, otherThan(call.at), callerTries))
      case 'herdRestart': return [...instances.values()].forEach(each => time.after(random.below(200), () => { if (each.up) crash(each, random.below(200)) }))
      default:
    }
  }

  const step = (name: ClaimsStep, id: string): Fault | undefined => {
    const index = waiting.findIndex(injection => injection.step === name)
    if (index < 0) return undefined
    if (waiting[index].passes-- > 0) return undefined
    const [{ fault }] = waiting.splice(index, 1)
    strike(fault, instanceOf(id))
    return fault
  }

  const deliver = (from: string, to: string, message: ClaimsMessage, delay: number): void => time.after(delay, () => {
    const target = instanceOf(to)
    if (!target.up) return feedLater(instanceOf(from), { kind: 'peer.lost', from: to }, 1)
    inside(target, target.incarnation, () => feed(target, { kind: 'peer.message', from, message }))
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
    if (instance.silentFor > 0) {
      instance.silentFor--
      return
    }
    const fault = step(stepOfMessage(message), instance.id)
    switch (fault) {
      case 'crash': return
      case 'cutBefore': return feedLater(instance, { kind: 'peer.lost', from: to }, 1)
      case 'cutAfter':
        deliver(instance.id, to, message, delay)
        feedLater(instanceOf(to), { kind: 'peer.lost', from: instance.id }, delay + 1)
        return feedLater(instance, { kind: 'peer.lost', from: to }, delay + 1)
      case 'late': return deliver(instance.id, to, message, lateBy)
      case 'slow': return deliver(instance.id, to, message, slowBy)
      case 'duplicate':
        deliver(instance.id, to, message, delay)
        return deliver(instance.id, to, message, slowBy * 2)
      case 'crossed': return deliver(instance.id, otherThan(to).id, message, delay)
      case 'gap':
        instance.silentFor = 2
        return
      default: deliver(instance.id, to, message, delay)
    }
  }

  const useLog = (instance: Instance, effect: LogEffect): void => {
    const { incarnation } = instance
    const fault = step(stepOfLog(effect), instance.id)
    log.use(effect, fault, input => inside(instance, incarnation, () => feed(instance, input)))
  }

  const perform = (instance: Instance, effect: ClaimsEffect): void => {
    switch (effect.kind) {
      case 'peer.send': return sendMessage(instance, effect.to, effect.message)
      case 'log.append':
      case 'log.read': return useLog(instance, effect)
      case 'claims.granted': return receiveGrant(instance, effect.request)
      case 'claims.refused': return finish(instance, effect.request, effect.refusal)
    }
  }

  const receiveGrant = (instance: Instance, request: number): void => {
    const fault = step('grant', instance.id)
    const { incarnation } = instance
    const act = (after: number): void => time.after(after, () => inside(instance, incarnation, () => dispatch(instance, request)))
    if (fault === 'gap' || fault === 'crash') return
    act(fault === 'late' ? lateBy : fault === 'slow' ? slowBy : 1)
    if (fault === 'duplicate') act(50)
  }

  const dispatch = (instance: Instance, number: number): void => {
    if (!instance.claims.mayDispatch(number, time.now())) return
    const request = accepted.get(number)
    if (request === undefined) return
    const { incarnation } = instance
    const fault = step('dispatch', instance.id)
    if (fault === 'crash') return
    if (fault === 'cutBefore') {
      feed(instance, { kind: 'claims.unsent', request: number })
      return dispatch(instance, number)
    }
    const delay = fault === 'late' ? lateBy : fault === 'slow' ? slowBy : 3
    time.after(delay, () => serve(instance, incarnation, number, request, fault === 'cutAfter' || fault === 'gap'))
    time.at(request.deadline + answerPatience, () => inside(instance, incarnation, () => settle(instance, number, { kind: 'unknown' })))
    if (fault === 'cutAfter') time.after(delay + 1, () => inside(instance, incarnation, () => settle(instance, number, { kind: 'unknown' })))
  }

  const serve = (instance: Instance, incarnation: number, number: number, { call, attempt }: Request, silent: boolean): void => {
    const body = `${call.key}/${call.fingerprint}/${runs.length}`
    runs.push({ key: call.key, attempt, at: time.now(), body })
    if (silent) return
    time.after(40 + random.below(80), () => {
      const fault = step('answer', instance.id)
      if (fault === 'gap' || fault === 'crash' || fault === 'cutBefore') return
      const outcome: Outcome = { kind: 'ran', answer: { status: 200, headers: {}, body: new TextEncoder().encode(body) } }
      const arrive = (after: number): void => time.after(after, () => inside(instance, incarnation, () => settle(instance, number, outcome)))
      arrive(fault === 'late' ? lateBy : fault === 'slow' ? slowBy : 3)
      if (fault === 'duplicate') arrive(20)
    })
  }

  const settle = (instance: Instance, number: number, outcome: Outcome): void => {
    const request = instance.requests.get(number)
    if (request === undefined) return
    instance.requests.delete(number)
    feed(instance, { kind: 'claims.settle', request: number, outcome })
    if (outcome.kind === 'ran') tell(request, { kind: 'answered', body: new TextDecoder().decode(outcome.answer.body) })
    else tell(request, { kind: 'outcomeUnknown' })
  }

  const finish = (instance: Instance, number: number, refusal: Refusal): void => {
    const request = instance.requests.get(number)
    if (request === undefined) return
    instance.requests.delete(number)
    tell(request, refusal)
    const again = refusal.kind === 'inProgress' || refusal.kind === 'notRun' ? refusal.retryAfter : undefined
    if (request.callerPresent && again !== undefined) repeat(request.call, request.tries, again)
  }

  const tell = ({ call, attempt }: Request, answer: Told['answer']): void => {
    told.push({ key: call.key, attempt, at: time.now(), answer })
    if (answer.kind !== 'inProgress' && answer.kind !== 'notRun') openCalls.delete(call.key)
  }

  const repeat = (call: Call, tries: number, after: number): void => {
    if (tries < callerTries) time.after(after, () => submit({ ...call, leavesAfter: undefined }, instanceOf(instanceIds[random.below(instanceIds.length)]), tries + 1))
  }

  const submit = (call: Call, instance: Instance, tries: number, faultless = false): void => {
    if (!instance.up) return repeat(call, tries, 300)
    openCalls.set(call.key, call)
    const fault = faultless ? undefined : step('begin', instance.id)
    if (!instance.up || fault === 'cutBefore') return repeat(call, tries, 300)
    if (fault === 'duplicate') submit(call, instance, callerTries, true)
    if (fault === 'crossed') return submit(call, otherThan(instance.id), tries, true)
    if (fault === 'late' || fault === 'slow') return time.after(fault === 'late' ? lateBy : slowBy, () => submit(call, instance, tries, true))
    accept(call, instance, tries, fault === 'cutAfter' ? 1 : call.leavesAfter)
  }

  const accept = (call: Call, instance: Instance, tries: number, leavesAfter?: number): void => {
    const number = serial++
    const { incarnation } = instance
    inside(instance, incarnation, () => {
      const deadline = time.now() + deadlineAfter
      const request: Request = { call, attempt: `${instance.id}/${incarnation}/${number}`, deadline, tries, callerPresent: true }
      instance.requests.set(number, request)
      accepted.set(number, request)
      feed(instance, { kind: 'claims.begin', request: number, workspace: 'w', key: call.key, fingerprint: call.fingerprint, deadline })
    })
    time.after(leavesAfter ?? callerPatience, () => {
      const request = instance.requests.get(number)
      if (request === undefined || instance.incarnation !== incarnation) return
      request.callerPresent = false
      inside(instance, incarnation, () => feed(instance, { kind: 'claims.abandon', request: number }))
      repeat(call, tries, 600)
    })
  }

  const tick = (instance: Instance): void => {
    inside(instance, instance.incarnation, () => feed(instance, { kind: 'tick' }))
    time.after(tickInterval, () => tick(instance))
  }

  showMembers(0)
  instanceIds.forEach((id, index) => time.after(10 * index, () => tick(instanceOf(id))))

  return {
    call: call => submit(call, instanceOf(call.at), 0),
    step,
    at: (delay, action) => time.at(start + delay, action),
    run: until => time.runUntil(start + until),
    runs,
    told,
    unreached: () => waiting.map(injection => injection.step),
    lastFault: () => lastFault
  }
}
