/**
 * The endpoint registry under faults: three instances and four workers. One
 * worker leaves while the list says live, one restarts with an empty cache, an
 * operator drains one, and an instance restarts while the platform is down. The
 * checkers compare what the instances would dispatch to with the workers' truth.
 */
import type { EndpointsEffect, EndpointsInput } from '../../src/endpoints/endpointsContext.js'
import { createEndpoints } from '../../src/endpoints/endpointsMachine.js'
import type { Endpoints } from '../../src/endpoints/endpointsMachine.js'
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { Hash } from '../../src/hash.js'
import { createRandom } from '../../src/random.js'
import { instanceMember, firstModel, workerDescriptor, probeAnswer, workerMember } from '../fakes/fakeEndpoints.js'
import type { FakeWorker, ProbeAnswer } from '../fakes/fakeEndpoints.js'
import { createFakeNetwork } from '../fakes/fakeNetwork.js'
import type { Delivery, Passage } from '../fakes/fakeNetwork.js'
import { createVirtualTime } from '../fakes/virtualTime.js'
import type { Applicability, Fault, Injection, Plan, Scenario, Violation } from './matrixTypes.js'

const messageSteps = ['follow', 'loads', 'facts', 'digest', 'ask'] as const
const steps = [...messageSteps, 'probe', 'report', 'list', 'evidence', 'drain', 'leaving', 'restart'] as const

/** A step of the registry's protocol. */
export type EndpointsStep = typeof steps[number]

interface Instance {
  readonly id: string
  readonly machine: Endpoints
  frozenUntil: number
  /** Incarnations relied on, by worker, in the order of their first use. */
  readonly relied: Map<string, string[]>
}

const instanceCount = 3
const workerCount = 4
const tickStep = 200
const leaveAt = 3_000
const restartAt = 5_000
const drainAt = 7_000
const instanceRestartAt = 9_000
const endAt = 22_000
const platformDownAt = 2_500
/** Time by which nobody sends new work to a leaving worker, in ms. */
const leavingBound = 4_000
/** The same while a fault that takes time is under way, counted from its end, in ms. */
const healTime = 5_000
const freezeTime = 4_000
const lapseTime = 8_000
const crossedDelay = 2_500

const notApplicable = (reason: string): Applicability => ({ applies: false, reason })
const isMessageStep = (step: string): boolean => messageSteps.some(name => name === step)

const applicability = (step: string, fault: Fault): Applicability => {
  if (fault === 'racingPublishers') return notApplicable('nobody publishes here')
  if (fault === 'crossed' && step !== 'report') return notApplicable('only answers of probes can come for another probe')
  const answerless: readonly Fault[] = ['cutAfter', 'lostAck']
  if (answerless.includes(fault) && step !== 'probe') return notApplicable('nothing answers this step')
  const transport: readonly Fault[] = ['cutBefore', 'late', 'duplicate', 'gap', 'slow']
  const isSent = isMessageStep(step) || step === 'probe' || step === 'report' || step === 'list'
  if (transport.includes(fault) && !isSent) return notApplicable('nothing is sent in this step')
  return { applies: true }
}

/** Runs one case. */
class EndpointsRun {
  private readonly time = createVirtualTime(1_000_000)
  private readonly begun = this.time.now()
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
  private lives = 0
  private skips: number

  constructor (private readonly plan: Plan, private readonly hash: Hash) {
    this.random = createRandom(plan.seed)
    this.network = createFakeNetwork(this.time, this.random)
    this.network.intercept(passage => this.pass(passage))
    this.waiting = [...plan.injections]
    this.skips = this.random.below(6)
    this.workers = Array.from({ length: workerCount }, (_, index) => ({
      id: `w${index}`, incarnation: `w${index}-1`, leaving: false, up: true, running: 0, models: [firstModel], probes: 0
    }))
  }

  run (): readonly Violation[] {
    for (let index = 0; index < instanceCount; index++) this.begin(index)
    this.at(leaveAt, () => this.leaveWorker())
    this.at(restartAt, () => this.restartWorker('w2', this.takeFault('restart')))
    this.at(drainAt, () => this.drainWorker())
    this.at(instanceRestartAt, () => this.restartInstance('n1', 0))
    this.list()
    this.dispatch()
    this.time.runUntil(this.begun + endAt)
    this.checkEnd()
    return this.violations
  }

  private at (offset: number, action: () => void): void {
    this.time.at(this.begun + offset, action)
  }

  private violate (promise: Violation['promise'], detail: string): void {
    this.violations.push({ promise, detail: `${detail} at ${Math.round(this.time.now() - this.begun)}` })
  }

  private begin (index: number): void {
    this.lives++
    const { id } = instanceMember(index)
    const known = this.plan.variant === 'waitsForPlatform' ? [] : Array.from({ length: workerCount }, (_, worker) => workerDescriptor(worker))
    const machine = createEndpoints({ self: id, configured: known, hash: this.hash, random: createRandom(this.plan.seed + this.lives) })
    const instance: Instance = { id, machine, frozenUntil: 0, relied: new Map() }
    this.instances.set(id, instance)
    this.network.join(id, (from, message) => this.give(instance, { kind: 'peer.message', from, message }))
    const members = Array.from({ length: instanceCount }, (_, other) => instanceMember(other))
    this.give(instance, { kind: 'membership.changed', members })
    if (machine.list().length === 0) this.violate('noColdStart', `${id} starts with no endpoint`)
    this.tick(instance)
  }

  private isRunning (instance: Instance): boolean {
    return this.instances.get(instance.id) === instance
  }

  private tick (instance: Instance): void {
    if (!this.isRunning(instance)) return
    this.give(instance, { kind: 'tick' })
    this.time.after(tickStep, () => this.tick(instance))
  }

  /** A frozen instance gets its inputs when it wakes. */
  private give (instance: Instance, input: EndpointsInput): void {
    if (!this.isRunning(instance)) return
    if (this.time.now() < instance.frozenUntil) {
      if (input.kind !== 'tick') this.time.at(instance.frozenUntil, () => this.give(instance, input))
      return
    }
    for (const effect of instance.machine.handle(this.disguised(input), this.time.now())) this.perform(instance, effect)
  }

  /** The broken variant sees every report as that of an incarnation of its own, so that none is ever superseded. */
  private disguised (input: EndpointsInput): EndpointsInput {
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
    if ((step === 'probe' || step === 'report') && fault !== 'crossed' && this.skips-- > 0) return undefined
    return this.waiting.splice(index, 1)[0].fault
  }

  /** Faults that befall an instance or a worker, not the one message. */
  private strike (instance: Instance, worker: FakeWorker, fault: Fault | undefined): void {
    if (fault === undefined) return
    const now = this.time.now()
    const durations: Partial<Record<Fault, number>> = { freeze: freezeTime, lapsedLease: lapseTime, slow: 8_000, crash: 2_000, crossed: crossedDelay, late: 1_500, gap: 5_000 }
    this.faultEnds.push(now + (durations[fault] ?? 1_000))
    if (fault === 'crash') this.restartInstance(instance.id, 1_000)
    if (fault === 'herdRestart') [...this.instances.keys()].forEach(id => this.restartInstance(id, 100 + this.random.below(500)))
    if (fault === 'freeze') instance.frozenUntil = now + freezeTime
    if (fault === 'lapsedLease') instance.frozenUntil = now + lapseTime
    if (fault === 'slow') this.slowUntil = now + 8_000
    if (fault === 'restartEmpty') this.restartWorker(worker.id, undefined)
  }

  private anyInstance (): Instance {
    const all = [...this.instances.values()]
    return all[this.random.below(all.length)]
  }

  private restartInstance (id: string, delay: number): void {
    if (!this.instances.delete(id)) return
    this.network.leave(id)
    this.time.after(delay, () => {
      if (!this.instances.has(id)) this.begin(Number(id.slice(1)))
    })
  }

  private worker (id: string): FakeWorker {
    return this.workers[Number(id.slice(1))]
  }

  private leaveWorker (): void {
    const worker = this.worker('w1')
    if (this.instances.size > 0) this.strike(this.anyInstance(), worker, this.takeFault('leaving'))
    worker.leaving = true
    this.leavingSince.set(worker.incarnation, this.time.now())
  }

  private restartWorker (id: string, fault: Fault | undefined): void {
    const worker = this.worker(id)
    this.superseded.add(worker.incarnation)
    worker.incarnation = `${id}-${Number(worker.incarnation.split('-')[1]) + 1}`
    worker.leaving = false
    if (fault !== undefined && this.instances.size > 0) this.strike(this.anyInstance(), worker, fault)
  }

  private drainWorker (): void {
    const worker = this.worker('w3')
    if (this.instances.size === 0) return
    const instance = this.anyInstance()
    this.strike(instance, worker, this.takeFault('drain'))
    if (!this.isRunning(instance) || this.time.now() < instance.frozenUntil) return
    this.give(instance, { kind: 'endpoints.drain', endpoint: worker.id })
    const known = instance.machine.get(worker.id)?.incarnation ?? ''
    if (known === worker.incarnation || known === '') this.leavingSince.set(worker.incarnation, this.time.now())
  }

  private probe (instance: Instance, id: string): void {
    const worker = this.worker(id)
    const fault = this.takeFault('probe')
    this.strike(instance, worker, fault)
    if (fault === 'crash' || fault === 'herdRestart') return
    const unreachable: ProbeAnswer = { kind: 'endpoint.unreachable', endpoint: id }
    const isLost = fault === 'cutBefore' || fault === 'cutAfter' || fault === 'lostAck' || fault === 'gap' || fault === 'outage'
    const delay = fault === 'late' || fault === 'slow' || this.time.now() < this.slowUntil ? 1_200 : 3
    this.time.after(delay, () => this.answer(instance, isLost ? unreachable : probeAnswer(worker), worker))
  }

  /** A crossed report is one from before a restart that arrives after it. */
  private takeReportFault (worker: FakeWorker): Fault | undefined {
    const isCrossed = this.waiting.some(({ step, fault }) => step === 'report' && fault === 'crossed')
    const isBeforeRestart = worker.id === 'w2' && this.time.now() >= this.begun + restartAt - 1_000
    return isCrossed && !isBeforeRestart ? undefined : this.takeFault('report')
  }

  private answer (instance: Instance, answer: ProbeAnswer, worker: FakeWorker): void {
    const fault = this.takeReportFault(worker)
    this.strike(instance, worker, fault)
    const give = (delay: number): void => this.time.after(delay, () => this.give(instance, answer))
    if (fault === 'cutBefore' || fault === 'gap') return
    if (fault === 'late') return give(1_500)
    if (fault === 'crossed') {
      give(crossedDelay)
      give(crossedDelay + 200)
    }
    if (fault === 'duplicate') give(10)
    give(0)
  }

  /** The platform's list never shows leaving nor a new incarnation; it goes away later. */
  private list (): void {
    const members = this.workers.map(worker => workerMember({ ...worker, incarnation: `${worker.id}-1` }))
    for (const instance of this.instances.values()) {
      const fault = this.takeFault('list')
      this.strike(instance, this.workers[0], fault)
      if (fault === 'cutBefore' || fault === 'gap') continue
      const delay = fault === 'late' || fault === 'slow' ? 8_000 : 5
      const input: EndpointsInput = fault === 'outage' ? { kind: 'membership.failed' } : { kind: 'membership.list', members }
      this.time.after(delay, () => this.give(instance, input))
      if (fault === 'duplicate') this.time.after(6_000, () => this.give(instance, input))
    }
    if (this.time.now() < this.begun + platformDownAt) this.time.after(1_000, () => this.list())
  }

  private pass (passage: Passage): Delivery {
    const step = passage.message.kind.slice('endpoints.'.length)
    const fault = this.takeFault(step)
    const sender = this.instances.get(passage.from)
    if (sender !== undefined) this.strike(sender, this.workers[0], fault)
    if (fault === 'gap') this.dropsLeft.set(step, 5)
    const drops = this.dropsLeft.get(step) ?? 0
    if (drops > 0) this.dropsLeft.set(step, drops - 1)
    if (drops > 0 || fault === 'cutBefore' || fault === 'crash' || fault === 'herdRestart' || fault === 'outage') return 'drop'
    if (fault === 'duplicate') return 'duplicate'
    return fault === 'late' || this.time.now() < this.slowUntil ? 'late' : 'deliver'
  }

  private choices (instance: Instance): readonly Endpoint[] {
    const list = instance.machine.list().filter(({ state }) => state === 'live' || (this.plan.variant === 'trustsList' && state === 'leaving'))
    if (this.plan.variant !== 'acceptsSuperseded') return list
    return list.map(endpoint => ({ ...endpoint, incarnation: endpoint.incarnation.split('#')[0] }))
  }

  /** Every instance sends a request to one endpoint that it takes for live. */
  private dispatch (): void {
    const now = this.time.now()
    for (const instance of this.instances.values()) {
      if (now < instance.frozenUntil) continue
      const choices = this.choices(instance)
      const isAnyUp = this.workers.some(({ leaving, incarnation }) => !leaving && !this.leavingSince.has(incarnation))
      if (choices.length === 0 && isAnyUp) this.violate('noColdStart', `${instance.id} has no live endpoint`)
      choices.forEach(endpoint => this.checkChoice(instance, endpoint))
      if (choices.length > 0) this.serve(instance, choices[this.random.below(choices.length)])
    }
    this.time.after(500, () => this.dispatch())
  }

  private serve (instance: Instance, endpoint: Endpoint): void {
    const worker = this.worker(endpoint.id)
    const fault = this.takeFault('evidence')
    this.strike(instance, worker, fault)
    const outcome = fault === 'outage' ? 'cut' : 'answered'
    const { incarnation } = worker
    this.time.after(50, () => this.give(instance, { kind: 'endpoints.evidence', endpoint: worker.id, outcome, incarnation }))
  }

  private isCalm (since: number, bound: number): boolean {
    const last = Math.max(since + bound, ...this.faultEnds.map(end => end + healTime))
    return this.time.now() > last
  }

  private checkChoice (instance: Instance, endpoint: Endpoint): void {
    const { incarnation } = endpoint
    const relied = instance.relied.get(endpoint.id) ?? []
    instance.relied.set(endpoint.id, relied)
    const place = relied.indexOf(incarnation)
    if (place < 0) relied.push(incarnation)
    else if (place < relied.length - 1 && this.superseded.has(incarnation)) this.violate('cacheTruth', `${instance.id} relies on ${incarnation} again`)
    const worker = this.worker(endpoint.id)
    const since = this.leavingSince.get(worker.incarnation)
    if (since !== undefined && this.isCalm(since, leavingBound)) {
      this.violate('leavingNoNewWork', `${instance.id} would dispatch to ${endpoint.id}`)
    }
  }

  private checkEnd (): void {
    if (!this.isCalm(this.begun, 0)) return
    for (const instance of this.instances.values()) {
      const choices = this.choices(instance)
      for (const worker of this.workers) {
        if (this.leavingSince.has(worker.incarnation)) continue
        const known = choices.find(({ id }) => id === worker.id)
        if (known === undefined) this.violate('noColdStart', `${instance.id} does not serve ${worker.id}`)
        else if (known.incarnation !== worker.incarnation) this.violate('cacheTruth', `${instance.id} takes ${worker.incarnation} for ${known.incarnation}`)
      }
    }
  }
}

/**
 * Creates the scenario of the endpoint registry.
 *
 * @param hash - equal on every instance
 */
export const endpointsScenario = (hash: Hash): Scenario => ({
  name: 'endpoints',
  steps,
  promises: ['leavingNoNewWork', 'cacheTruth', 'noColdStart'],
  variants: {
    trustsList: 'leavingNoNewWork',
    acceptsSuperseded: 'cacheTruth',
    waitsForPlatform: 'noColdStart'
  },
  applicability,
  run: plan => new EndpointsRun(plan, hash).run()
})
