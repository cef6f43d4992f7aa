/**
 * Fault matrix scenario of the endpoint registry with three instances and four
 * workers. One worker leaves while the membership list still says live, one restarts
 * with an empty cache, an operator drains one, and an instance restarts while the
 * platform is unavailable. The checks compare the endpoints that each instance would
 * dispatch to with the actual state of the workers.
 */
import type { EndpointsEffect, EndpointsInput } from '../../src/endpoints/endpointsContext.js'
import { createEndpoints } from '../../src/endpoints/endpointsMachine.js'
import type { Endpoints } from '../../src/endpoints/endpointsMachine.js'
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { Hash } from '../../src/hash.js'
import { createRandom } from '../../src/random.js'
import { firstModel, instanceMember, probeAnswer, workerDescriptor, workerMember } from '../fakes/fakeEndpoints.js'
import type { FakeWorker, ProbeAnswer } from '../fakes/fakeEndpoints.js'
import { createFakeNetwork } from '../fakes/fakeNetwork.js'
import type { Delivery, MessageInTransit } from '../fakes/fakeNetwork.js'
import { createVirtualTime } from '../fakes/virtualTime.js'
import type { Applicability, Fault, Injection, Plan, Scenario, Violation } from './matrixTypes.js'

const messageSteps = ['follow', 'loads', 'facts', 'digest', 'ask'] as const
const steps = [...messageSteps, 'probe', 'report', 'list', 'evidence', 'drain', 'leaving', 'restart'] as const

/** A step of the registry's protocol at which faults are injected. */
export type EndpointsStep = typeof steps[number]

interface Instance {
  readonly id: string
  readonly machine: Endpoints
  frozenUntil: number
  /** Incarnations that the instance would dispatch to, per worker, in order of first use. */
  readonly usedIncarnations: Map<string, string[]>
}

const instanceCount = 3
const workerCount = 4
/** Interval between ticks of an instance, in ms. */
const tickInterval = 200

/** Times of the scenario's events, in ms after its start. */
const leaveAt = 3_000
const restartAt = 5_000
const drainAt = 7_000
const instanceRestartAt = 9_000
const endAt = 22_000
const platformDownAt = 2_500

/** Time after a worker starts to leave by which no instance may send it new work, in ms. */
const leavingDeadline = 4_000
/** Time after the end of a lasting fault until the guarantees must hold again, in ms. */
const recoveryTime = 5_000
/** Durations of injected faults and delays, in ms. */
const freezeTime = 4_000
const leaseLapseTime = 8_000
const crossedDelay = 2_500

const notApplicable = (reason: string): Applicability => ({ applies: false, reason })
const isMessageStep = (step: string): boolean => messageSteps.some(name => name === step)

const applicability = (step: string, fault: Fault): Applicability => {
  if (fault === 'racingPublishers') return notApplicable('this scenario has no publishers')
  if (fault === 'crossed' && step !== 'report') return notApplicable('only probe responses can be delivered for another probe')
  const answerFaults: readonly Fault[] = ['cutAfter', 'lostAck']
  if (answerFaults.includes(fault) && step !== 'probe') return notApplicable('this step has no response')
  const transportFaults: readonly Fault[] = ['cutBefore', 'late', 'duplicate', 'gap', 'slow']
  const isSent = isMessageStep(step) || step === 'probe' || step === 'report' || step === 'list'
  if (transportFaults.includes(fault) && !isSent) return notApplicable('this step sends no message')
  return { applies: true }
}

/** One run of the scenario with a set of injected faults. */
class EndpointsRun {
  private readonly time = createVirtualTime(1_000_000)
  private readonly startTime = this.time.now()
  private readonly random
  private readonly network
  private readonly instances = new Map<string, Instance>()
  private readonly workers: readonly FakeWorker[]
  private readonly superseded = new Set<string>()
  private readonly leavingSince = new Map<string, number>()
  private readonly violations: Violation[] = []
  private readonly waiting: Injection[]
  private readonly faultEnds: number[] = []
  private readonly dropsLeft = new Map<string, number>()
  private slowUntil = 0
  private startCount = 0
  /** Probes and reports still to pass before a fault is injected; random, so that seeds hit different ones. */
  private skipsLeft: number

  constructor (private readonly plan: Plan, private readonly hash: Hash) {
    this.random = createRandom(plan.seed)
    this.network = createFakeNetwork(this.time, this.random)
    this.network.intercept(sent => this.interceptMessage(sent))
    this.waiting = [...plan.injections]
    this.skipsLeft = this.random.below(6)
    this.workers = Array.from({ length: workerCount }, (_, index) => ({
      id: `w${index}`, incarnation: `w${index}-1`, leaving: false, up: true, running: 0, models: [firstModel], probes: 0
    }))
  }

  run (): readonly Violation[] {
    for (let index = 0; index < instanceCount; index++) this.startInstance(index)
    this.at(leaveAt, () => this.leaveWorker())
    this.at(restartAt, () => this.restartWorker('w2', this.takeFault('restart')))
    this.at(drainAt, () => this.drainWorker())
    this.at(instanceRestartAt, () => this.restartInstance('n1', 0))
    this.sendMemberList()
    this.dispatch()
    this.time.runUntil(this.startTime + endAt)
    this.checkEnd()
    return this.violations
  }

  private at (offset: number, action: () => void): void {
    this.time.at(this.startTime + offset, action)
  }

  private addViolation (promise: Violation['promise'], detail: string): void {
    this.violations.push({ promise, detail: `${detail} at ${Math.round(this.time.now() - this.startTime)}` })
  }

  private startInstance (index: number): void {
    this.startCount++
    const { id } = instanceMember(index)
    const configured = this.plan.variant === 'waitsForPlatform' ? [] : Array.from({ length: workerCount }, (_, worker) => workerDescriptor(worker))
    const machine = createEndpoints({ self: id, configured, hash: this.hash, random: createRandom(this.plan.seed + this.startCount) })
    const instance: Instance = { id, machine, frozenUntil: 0, usedIncarnations: new Map() }
    this.instances.set(id, instance)
    this.network.join(id, (from, message) => this.deliver(instance, { kind: 'peer.message', from, message }))
    const members = Array.from({ length: instanceCount }, (_, other) => instanceMember(other))
    this.deliver(instance, { kind: 'membership.changed', members })
    if (machine.list().length === 0) this.addViolation('noColdStart', `${id} starts without endpoints`)
    this.tick(instance)
  }

  private isRunning (instance: Instance): boolean {
    return this.instances.get(instance.id) === instance
  }

  private tick (instance: Instance): void {
    if (!this.isRunning(instance)) return
    this.deliver(instance, { kind: 'tick' })
    this.time.after(tickInterval, () => this.tick(instance))
  }

  /** Passes an input to an instance; while the instance is frozen, inputs other than ticks are delayed to the end of the freeze. */
  private deliver (instance: Instance, input: EndpointsInput): void {
    if (!this.isRunning(instance)) return
    if (this.time.now() < instance.frozenUntil) {
      if (input.kind !== 'tick') this.time.at(instance.frozenUntil, () => this.deliver(instance, input))
      return
    }
    for (const effect of instance.machine.handle(this.withChangingIncarnation(input), this.time.now())) this.perform(instance, effect)
  }

  /** In the broken variant `acceptsSuperseded`, gives reports a different incarnation every second, so that no incarnation is ever superseded. */
  private withChangingIncarnation (input: EndpointsInput): EndpointsInput {
    if (this.plan.variant !== 'acceptsSuperseded' || input.kind !== 'endpoint.report') return input
    return { ...input, incarnation: `${input.incarnation}#${Math.floor(this.time.now() / 1_000)}` }
  }

  private perform (instance: Instance, effect: EndpointsEffect): void {
    switch (effect.kind) {
      case 'peer.send': return this.network.send({ from: instance.id, to: effect.to, message: effect.message })
      case 'endpoint.probe': return this.probe(instance, effect.endpoint)
      case 'endpoints.changed':
    }
  }

  private takeFault (step: string): Fault | undefined {
    const index = this.waiting.findIndex(injection => injection.step === step)
    if (index < 0) return undefined
    const { fault } = this.waiting[index]
    if ((step === 'probe' || step === 'report') && fault !== 'crossed' && this.skipsLeft-- > 0) return undefined
    return this.waiting.splice(index, 1)[0].fault
  }

  /** Applies the effect of a fault on an instance, on a worker or on the network's speed, as opposed to a single message. */
  private applyFault (instance: Instance, worker: FakeWorker, fault: Fault | undefined): void {
    if (fault === undefined) return
    const now = this.time.now()
    const durations: Partial<Record<Fault, number>> = { freeze: freezeTime, lapsedLease: leaseLapseTime, slow: 8_000, crash: 2_000, crossed: crossedDelay, late: 1_500, gap: 5_000 }
    this.faultEnds.push(now + (durations[fault] ?? 1_000))
    if (fault === 'crash') this.restartInstance(instance.id, 1_000)
    if (fault === 'herdRestart') [...this.instances.keys()].forEach(id => this.restartInstance(id, 100 + this.random.below(500)))
    if (fault === 'freeze') instance.frozenUntil = now + freezeTime
    if (fault === 'lapsedLease') instance.frozenUntil = now + leaseLapseTime
    if (fault === 'slow') this.slowUntil = now + 8_000
    if (fault === 'restartEmpty') this.restartWorker(worker.id, undefined)
  }

  private randomInstance (): Instance {
    const all = [...this.instances.values()]
    return all[this.random.below(all.length)]
  }

  private restartInstance (id: string, delay: number): void {
    if (!this.instances.delete(id)) return
    this.network.leave(id)
    this.time.after(delay, () => {
      if (!this.instances.has(id)) this.startInstance(Number(id.slice(1)))
    })
  }

  private worker (id: string): FakeWorker {
    return this.workers[Number(id.slice(1))]
  }

  private leaveWorker (): void {
    const worker = this.worker('w1')
    if (this.instances.size > 0) this.applyFault(this.randomInstance(), worker, this.takeFault('leaving'))
    worker.leaving = true
    this.leavingSince.set(worker.incarnation, this.time.now())
  }

  private restartWorker (id: string, fault: Fault | undefined): void {
    const worker = this.worker(id)
    this.superseded.add(worker.incarnation)
    worker.incarnation = `${id}-${Number(worker.incarnation.split('-')[1]) + 1}`
    worker.leaving = false
    if (fault !== undefined && this.instances.size > 0) this.applyFault(this.randomInstance(), worker, fault)
  }

  private drainWorker (): void {
    const worker = this.worker('w3')
    if (this.instances.size === 0) return
    const instance = this.randomInstance()
    this.applyFault(instance, worker, this.takeFault('drain'))
    if (!this.isRunning(instance) || this.time.now() < instance.frozenUntil) return
    this.deliver(instance, { kind: 'endpoints.drain', endpoint: worker.id })
    const known = instance.machine.get(worker.id)?.incarnation ?? ''
    if (known === worker.incarnation || known === '') this.leavingSince.set(worker.incarnation, this.time.now())
  }

  private probe (instance: Instance, id: string): void {
    const worker = this.worker(id)
    const fault = this.takeFault('probe')
    this.applyFault(instance, worker, fault)
    if (fault === 'crash' || fault === 'herdRestart') return
    const unreachable: ProbeAnswer = { kind: 'endpoint.unreachable', endpoint: id }
    const isLost = fault === 'cutBefore' || fault === 'cutAfter' || fault === 'lostAck' || fault === 'gap' || fault === 'outage'
    const delay = fault === 'late' || fault === 'slow' || this.time.now() < this.slowUntil ? 1_200 : 3
    this.time.after(delay, () => this.answer(instance, isLost ? unreachable : probeAnswer(worker), worker))
  }

  /** Takes the fault of a probe response. `crossed` is held for a report of w2 from shortly before its restart, so that the report arrives after the restart. */
  private takeReportFault (worker: FakeWorker): Fault | undefined {
    const expectsCrossed = this.waiting.some(({ step, fault }) => step === 'report' && fault === 'crossed')
    const isBeforeRestart = worker.id === 'w2' && this.time.now() >= this.startTime + restartAt - 1_000
    return expectsCrossed && !isBeforeRestart ? undefined : this.takeFault('report')
  }

  private answer (instance: Instance, answer: ProbeAnswer, worker: FakeWorker): void {
    const fault = this.takeReportFault(worker)
    this.applyFault(instance, worker, fault)
    const deliver = (delay: number): void => this.time.after(delay, () => this.deliver(instance, answer))
    if (fault === 'cutBefore' || fault === 'gap') return
    if (fault === 'late') return deliver(1_500)
    if (fault === 'crossed') {
      deliver(crossedDelay)
      deliver(crossedDelay + 200)
    }
    if (fault === 'duplicate') deliver(10)
    deliver(0)
  }

  /** Sends the membership list, which never shows a leaving state or a new incarnation, each second until the platform becomes unavailable. */
  private sendMemberList (): void {
    const members = this.workers.map(worker => workerMember({ ...worker, incarnation: `${worker.id}-1` }))
    for (const instance of this.instances.values()) {
      const fault = this.takeFault('list')
      this.applyFault(instance, this.workers[0], fault)
      if (fault === 'cutBefore' || fault === 'gap') continue
      const delay = fault === 'late' || fault === 'slow' ? 8_000 : 5
      const input: EndpointsInput = fault === 'outage' ? { kind: 'membership.failed' } : { kind: 'membership.list', members }
      this.time.after(delay, () => this.deliver(instance, input))
      if (fault === 'duplicate') this.time.after(6_000, () => this.deliver(instance, input))
    }
    if (this.time.now() < this.startTime + platformDownAt) this.time.after(1_000, () => this.sendMemberList())
  }

  private interceptMessage (sent: MessageInTransit): Delivery {
    const step = sent.message.kind.slice('endpoints.'.length)
    const fault = this.takeFault(step)
    const sender = this.instances.get(sent.from)
    if (sender !== undefined) this.applyFault(sender, this.workers[0], fault)
    if (fault === 'gap') this.dropsLeft.set(step, 5)
    const drops = this.dropsLeft.get(step) ?? 0
    if (drops > 0) this.dropsLeft.set(step, drops - 1)
    if (drops > 0 || fault === 'cutBefore' || fault === 'crash' || fault === 'herdRestart' || fault === 'outage') return 'drop'
    if (fault === 'duplicate') return 'duplicate'
    return fault === 'late' || this.time.now() < this.slowUntil ? 'late' : 'deliver'
  }

  /** Returns the endpoints to which an instance would dispatch; the broken variant `trustsList` includes leaving ones. */
  private choices (instance: Instance): readonly Endpoint[] {
    const list = instance.machine.list().filter(({ state }) => state === 'live' || (this.plan.variant === 'trustsList' && state === 'leaving'))
    if (this.plan.variant !== 'acceptsSuperseded') return list
    return list.map(endpoint => ({ ...endpoint, incarnation: endpoint.incarnation.split('#')[0] }))
  }

  /** Sends a request from each instance to one endpoint that it considers live, and checks all such endpoints. */
  private dispatch (): void {
    const now = this.time.now()
    for (const instance of this.instances.values()) {
      if (now < instance.frozenUntil) continue
      const candidates = this.choices(instance)
      const isAnyAvailable = this.workers.some(({ leaving, incarnation }) => !leaving && !this.leavingSince.has(incarnation))
      if (candidates.length === 0 && isAnyAvailable) this.addViolation('noColdStart', `${instance.id} has no live endpoint`)
      candidates.forEach(endpoint => this.checkCandidate(instance, endpoint))
      if (candidates.length > 0) this.sendRequest(instance, candidates[this.random.below(candidates.length)])
    }
    this.time.after(500, () => this.dispatch())
  }

  private sendRequest (instance: Instance, endpoint: Endpoint): void {
    const worker = this.worker(endpoint.id)
    const fault = this.takeFault('evidence')
    this.applyFault(instance, worker, fault)
    const outcome = fault === 'outage' ? 'cut' : 'answered'
    const { incarnation } = worker
    this.time.after(50, () => this.deliver(instance, { kind: 'endpoints.evidence', endpoint: worker.id, outcome, incarnation }))
  }

  /** Whether `bound` ms have passed since `since`, and the recovery time since the end of every fault. */
  private hasSettled (since: number, bound: number): boolean {
    const last = Math.max(since + bound, ...this.faultEnds.map(end => end + recoveryTime))
    return this.time.now() > last
  }

  private checkCandidate (instance: Instance, endpoint: Endpoint): void {
    const { incarnation } = endpoint
    const used = instance.usedIncarnations.get(endpoint.id) ?? []
    instance.usedIncarnations.set(endpoint.id, used)
    const position = used.indexOf(incarnation)
    if (position < 0) used.push(incarnation)
    else if (position < used.length - 1 && this.superseded.has(incarnation)) this.addViolation('cacheTruth', `${instance.id} uses superseded incarnation ${incarnation} again`)
    const worker = this.worker(endpoint.id)
    const since = this.leavingSince.get(worker.incarnation)
    if (since !== undefined && this.hasSettled(since, leavingDeadline)) {
      this.addViolation('leavingNoNewWork', `${instance.id} would dispatch to leaving worker ${endpoint.id}`)
    }
  }

  private checkEnd (): void {
    if (!this.hasSettled(this.startTime, 0)) return
    for (const instance of this.instances.values()) {
      const candidates = this.choices(instance)
      for (const worker of this.workers) {
        if (this.leavingSince.has(worker.incarnation)) continue
        const known = candidates.find(({ id }) => id === worker.id)
        if (known === undefined) this.addViolation('noColdStart', `${instance.id} does not list ${worker.id} as live`)
        else if (known.incarnation !== worker.incarnation) this.addViolation('cacheTruth', `${instance.id} has incarnation ${known.incarnation} instead of ${worker.incarnation}`)
      }
    }
  }
}

/**
 * Creates the fault matrix scenario of the endpoint registry.
 *
 * @param hash - hash function; must be the same on every instance
 * @returns the scenario
 */
export const endpointsScenario = (hash: Hash): Scenario => ({
  name: 'endpoints',
  steps,
  promises: ['leavingNoNewWork', 'cacheTruth', 'noColdStart'],
  variants: {
    /** Leaving workers are treated as live. */
    trustsList: 'leavingNoNewWork',
    /** Reports of superseded incarnations are accepted. */
    acceptsSuperseded: 'cacheTruth',
    /** Instances have no workers in their settings, so that they need the membership list to start. */
    waitsForPlatform: 'noColdStart'
  },
  applicability,
  run: plan => new EndpointsRun(plan, hash).run()
})
