/**
 * Scenario of the orders protocol under faults: three instances, four engines of
 * which two ignore fencing, and two rollouts of new weight versions. The checks
 * use the records of the engines, the weight store and the log.
 */
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { Hash } from '../../src/hash.js'
import { createOrders } from '../../src/orders/ordersMachine.js'
import type { Orders } from '../../src/orders/ordersMachine.js'
import type { OrdersEffect, OrdersInput } from '../../src/orders/ordersTypes.js'
import type { LogEffect } from '../../src/ports/logPort.js'
import type { Member } from '../../src/ports/membershipPort.js'
import { createRandom } from '../../src/random.js'
import { createFakeOrderWorker } from '../fakes/fakeOrderWorker.js'
import type { FakeOrderWorker, FakeWeightStore } from '../fakes/fakeOrderWorker.js'
import { createFakeLog } from '../fakes/fakeLog.js'
import { instanceMember } from '../fakes/fakeEndpoints.js'
import { createVirtualTime } from '../fakes/virtualTime.js'
import type { Fault, Injection, Plan, Scenario, Violation } from './matrixTypes.js'
import { checkOrders, type SentOrder, type OrderEffect } from './ordersChecks.js'
import { applicability, desiredAt, endAt, initialModels, logSteps, rolloutAt, secondRolloutAt, steps, storeLoadLimit, type OrdersStep } from './ordersFixture.js'

/** One of the simulated instances. */
interface SimulatedInstance {
  readonly member: Member
  readonly machine: Orders
  /** End of the current freeze, in ms; no input is delivered before. */
  frozenUntil: number
  /** Total duration of freezes that the variant `actsAfterPause` hides from the clock of the machine, in ms. */
  hiddenPause: number
}

const instanceCount = 3
/** Interval between ticks, in ms. */
const tickStep = 500
/** Interval between reports of the engines, in ms. */
const reportInterval = 500
/** Durations and delays of the faults, in ms. */
const freezeDuration = 4_000
const lapseDuration = 45_000
const lateDelay = 12_000
const slowDelay = 4_000
const outageDuration = 20_000
const restartDelay = 5_000

/** Simulates one case in virtual time. */
class OrdersRun {
  private readonly time = createVirtualTime(0)
  private readonly log = createFakeLog()
  private readonly store: FakeWeightStore = { running: 0, peak: 0 }
  private readonly instances = new Map<string, SimulatedInstance>()
  private readonly engines: readonly FakeOrderWorker[]
  private readonly sentOrders: SentOrder[] = []
  private readonly lateOrders = new Set<OrderEffect>()
  private readonly violations: Violation[] = []
  private readonly waiting: Injection[]
  private readonly skippedOccurrences: number
  private readonly random
  private registryEndpoints: readonly Endpoint[] = []
  private hiddenPeers: ReadonlyMap<string, ReadonlySet<string>> = new Map()
  private outageUntil = 0
  private reportsFrom = 0
  private startCount = 1
  private engineRestarted = false
  private isListOutdated = true

  constructor (private readonly plan: Plan, private readonly hash: Hash) {
    this.waiting = [...plan.injections]
    this.random = createRandom(plan.seed)
    this.skippedOccurrences = this.random.below(3)
    this.engines = ['w0', 'w1', 'w2', 'w3'].map((id, index) => createFakeOrderWorker({
      id,
      fenced: index % 2 === 0,
      models: initialModels(id),
      time: this.time,
      store: this.store,
      changed: () => {
        this.isListOutdated = true
        this.checkModelAvailability()
      }
    }))
  }

  run (): readonly Violation[] {
    this.report()
    for (let index = 0; index < instanceCount; index++) this.start(index)
    this.broadcastMembers()
    this.instances.forEach(instance => this.tick(instance))
    for (const at of [rolloutAt, secondRolloutAt]) {
      this.time.at(at, () => this.broadcast({ kind: 'orders.desired', models: desiredAt(at) }))
    }
    this.time.runUntil(endAt)
    return [
      ...this.violations,
      ...checkOrders({ engines: this.engines, claims: this.log.records('orders'), sentOrders: this.sentOrders, engineRestarted: this.engineRestarted, peakLoads: this.store.peak, held: this.lateOrders.size })
    ]
  }

  private start (index: number): void {
    const member = { ...instanceMember(index), incarnation: `n${index}-${this.startCount}` }
    const maxConcurrentLoads = this.plan.variant === 'overloadsStore' ? 2 * storeLoadLimit : storeLoadLimit
    const machine = createOrders({ self: member, hash: this.hash, random: createRandom(this.plan.seed + index + this.startCount), endpoints: () => this.registryEndpoints, maxConcurrentLoads })
    const instance: SimulatedInstance = { member, machine, frozenUntil: 0, hiddenPause: 0 }
    this.instances.set(member.id, instance)
    this.broadcastMembers()
    this.deliver(instance, { kind: 'orders.desired', models: desiredAt(this.time.now()) })
  }

  private restart (id: string, delay: number): void {
    this.instances.delete(id)
    this.broadcastMembers()
    this.time.after(delay, () => {
      this.startCount++
      if (this.instances.has(id)) return
      this.start(Number(id.slice(1)))
      const instance = this.instances.get(id)
      if (instance !== undefined) this.tick(instance)
    })
  }

  private tick (instance: SimulatedInstance): void {
    if (this.instances.get(instance.member.id) !== instance) return
    if (this.time.now() >= instance.frozenUntil) this.deliver(instance, { kind: 'tick' })
    this.time.after(tickStep, () => this.tick(instance))
  }

  private broadcastMembers (): void {
    for (const instance of this.instances.values()) {
      const hiddenIds = this.hiddenPeers.get(instance.member.id)
      const members = [...this.instances.values()].map(({ member }) => member).filter(({ id }) => hiddenIds?.has(id) !== true)
      this.deliver(instance, { kind: 'membership.changed', members })
    }
  }

  private broadcast (input: OrdersInput): void {
    for (const instance of this.instances.values()) this.deliver(instance, input)
  }

  /** A frozen instance receives its inputs at the end of the freeze; ticks are skipped. */
  private deliver (instance: SimulatedInstance, input: OrdersInput): void {
    if (this.instances.get(instance.member.id) !== instance) return
    if (this.time.now() < instance.frozenUntil) {
      if (input.kind !== 'tick') this.time.at(instance.frozenUntil, () => this.deliver(instance, input))
      return
    }
    for (const effect of instance.machine.handle(input, this.time.now() - instance.hiddenPause)) this.handleEffect(instance, effect)
  }

  private stepOf (instance: SimulatedInstance, effect: OrdersEffect): OrdersStep | undefined {
    switch (effect.kind) {
      case 'log.append': return 'claimAppend'
      case 'log.read': {
        const phase = instance.machine.phase().kind
        if (phase === 'holding') return 'verifyRead'
        return phase === 'claiming' ? 'readBack' : 'claimRead'
      }
      case 'endpoint.order':
        if (effect.order.kind === 'load') return 'loadOrder'
        return effect.order.kind === 'unload' ? 'unloadOrder' : undefined
      case 'peer.send': return undefined
    }
  }

  private takeFault (step: string | undefined): Fault | undefined {
    const index = this.waiting.findIndex(injection => injection.step === step)
    if (index < 0) return undefined
    const skipCount = logSteps.includes(this.waiting[index].step) ? 0 : this.skippedOccurrences
    this.stepOccurrences.set(this.waiting[index].step, (this.stepOccurrences.get(this.waiting[index].step) ?? 0) + 1)
    if ((this.stepOccurrences.get(this.waiting[index].step) ?? 0) <= skipCount) return undefined
    return this.waiting.splice(index, 1)[0].fault
  }

  private readonly stepOccurrences = new Map<string, number>()

  private handleEffect (instance: SimulatedInstance, effect: OrdersEffect): void {
    if (effect.kind === 'endpoint.order') this.sentOrders.push({ at: this.time.now(), from: instance.member.id, effect })
    const fault = this.takeFault(this.stepOf(instance, effect))
    this.applyInstanceFault(instance, fault)
    if (fault === 'crash' || fault === 'herdRestart' || fault === 'cutBefore') {
      if (fault === 'cutBefore') this.failEffect(instance, effect)
      return
    }
    if (fault === 'restartEmpty' && effect.kind === 'endpoint.order') this.restartEngine(effect.endpoint)
    const delay = this.delayOf(instance, fault)
    if (delay > 0 && effect.kind === 'endpoint.order') this.lateOrders.add(effect)
    const perform = (): void => this.perform(instance, effect, fault)
    if (delay > 0) this.time.after(delay, perform)
    else perform()
    if (fault === 'duplicate' && effect.kind === 'endpoint.order') this.time.after(20, () => this.perform(instance, effect, 'cutAfter'))
  }

  private delayOf (instance: SimulatedInstance, fault: Fault | undefined): number {
    if (fault === 'late') return lateDelay
    if (fault === 'slow') return slowDelay
    return Math.max(0, instance.frozenUntil - this.time.now())
  }

  /** Applies the faults that affect a whole instance rather than one effect. */
  private applyInstanceFault (instance: SimulatedInstance, fault: Fault | undefined): void {
    const now = this.time.now()
    const { id } = instance.member
    if (fault === 'crash') this.restart(id, restartDelay)
    if (fault === 'herdRestart') [...this.instances.keys()].forEach(each => this.restart(each, 100 + this.random.below(2_000)))
    if (fault === 'freeze') this.freeze(instance, freezeDuration)
    if (fault === 'outage') this.outageUntil = now + outageDuration
    if (fault === 'lapsedLease') {
      this.freeze(instance, lapseDuration)
      this.isolate([id], lapseDuration)
    }
    if (fault === 'racingPublishers') this.isolate([...this.instances.keys()], 30_000)
  }

  private freeze (instance: SimulatedInstance, duration: number): void {
    instance.frozenUntil = this.time.now() + duration
    if (this.plan.variant === 'actsAfterPause') instance.hiddenPause += duration
  }

  /** For `duration` ms, each of these instances is seen as alive only by itself. */
  private isolate (ids: readonly string[], duration: number): void {
    const all = [...this.instances.keys()]
    this.hiddenPeers = new Map(all.map(viewer => [viewer, new Set(ids.filter(id => id !== viewer))]))
    this.broadcastMembers()
    this.time.after(duration, () => {
      this.hiddenPeers = new Map()
      this.broadcastMembers()
    })
  }

  private restartEngine (id: string): void {
    this.engineRestarted = true
    this.engines.find(engine => engine.id === id)?.restart()
  }

  private failEffect (instance: SimulatedInstance, effect: OrdersEffect): void {
    if (effect.kind === 'endpoint.order') this.time.after(2, () => this.answer(instance, effect, 'failed'))
    else if (effect.kind !== 'peer.send') this.time.after(2, () => this.deliver(instance, this.log.perform(effect, this.time.now(), 'cutBefore')))
  }

  private perform (instance: SimulatedInstance, effect: OrdersEffect, fault: Fault | undefined): void {
    switch (effect.kind) {
      case 'peer.send': {
        const peer = this.instances.get(effect.to)
        if (peer !== undefined) this.time.after(2, () => this.deliver(peer, { kind: 'peer.message', from: instance.member.id, message: effect.message }))
        return
      }
      case 'endpoint.order': return this.order(instance, effect, fault)
      default: return this.performLog(instance, effect, fault)
    }
  }

  private performLog (instance: SimulatedInstance, effect: LogEffect, fault: Fault | undefined): void {
    const isLogDown = this.time.now() < this.outageUntil
    const lost = fault === 'lostAck' || fault === 'cutAfter'
    const logFault = isLogDown ? 'outage' : lost ? 'lostAck' : fault === 'duplicate' ? 'duplicate' : 'none'
    const input = this.log.perform(effect, this.time.now(), logFault)
    this.time.after(fault === 'slow' ? slowDelay : 5, () => this.deliver(instance, input))
  }

  private order (instance: SimulatedInstance, effect: OrderEffect, fault: Fault | undefined): void {
    if (this.plan.variant === 'losesOrders' && effect.endpoint === 'w3') return this.answer(instance, effect, 'done')
    const engine = this.engines.find(({ id }) => id === effect.endpoint)
    const fence = this.plan.variant === 'withoutFence' ? 0 : effect.fence
    const from = instance.member.id
    const { order } = effect
    if (this.plan.variant === 'unloadsFirst' && order.kind === 'load') {
      for (const model of engine?.models() ?? []) {
        if (model.model === order.model.model) engine?.order({ from, fence, order: { kind: 'unload', model } }, () => {})
      }
    }
    engine?.order({ from, fence, order }, result => {
      if (fault === 'cutAfter' || fault === 'lostAck') return
      this.time.after(2, () => this.answer(instance, effect, result))
    })
  }

  private answer (instance: SimulatedInstance, effect: OrderEffect, result: 'done' | 'staleFence' | 'failed'): void {
    const fault = this.takeFault('orderAnswer')
    this.applyInstanceFault(instance, fault)
    if (fault === 'cutAfter') return
    if (fault === 'restartEmpty') this.restartEngine(effect.endpoint)
    const { owner, token, endpoint } = effect
    const deliver = (): void => this.deliver(instance, { kind: 'endpoint.ordered', owner, token, endpoint, result })
    this.time.after(fault === 'late' ? lateDelay : fault === 'slow' ? slowDelay : 0, deliver)
    if (fault === 'duplicate') this.time.after(5, deliver)
  }

  /** Updates the endpoint registry from the state of the engines. */
  private report (): void {
    const holder = [...this.instances.values()].find(({ machine }) => machine.phase().kind === 'holding')
    const fault = this.time.now() < rolloutAt ? undefined : this.takeFault('report')
    if (holder !== undefined) this.applyInstanceFault(holder, fault)
    if (fault === 'restartEmpty') this.restartEngine('w1')
    if (fault === 'gap' || fault === 'late') this.reportsFrom = this.time.now() + lateDelay
    if (this.isListOutdated && this.time.now() >= this.reportsFrom) {
      this.isListOutdated = false
      this.registryEndpoints = this.engines.map((engine, index) => this.endpointOf(engine, index))
    }
    this.time.after(reportInterval, () => this.report())
  }

  private endpointOf (engine: FakeOrderWorker, index: number): Endpoint {
    return {
      id: engine.id,
      kind: 'worker',
      address: { host: '127.0.0.1', port: 9000 + index },
      dataCentre: 'dc0',
      incarnation: engine.incarnation(),
      state: 'live',
      fenced: engine.fenced,
      models: [...engine.models()],
      slots: 8,
      since: 0
    }
  }

  /** Checks that some engine holds each model; not after an engine restarted, since that loses its models whatever the router does. */
  private checkModelAvailability (): void {
    if (this.engineRestarted || this.engines === undefined) return
    for (const model of ['m1', 'm2']) {
      const held = this.engines.some(engine => engine.models().some(loaded => loaded.model === model))
      if (!held) this.violations.push({ promise: 'noColdStart', detail: `no worker holds ${model} at ${this.time.now()}` })
    }
  }
}

/**
 * Creates the scenario of the orders protocol.
 *
 * @param hash - hash functions, the same for every instance
 * @returns the scenario
 */
export const ordersScenario = (hash: Hash): Scenario => ({
  name: 'orders',
  steps,
  promises: ['configForward', 'noColdStart'],
  variants: {
    /** A pause is hidden from the clock of an instance, so that it acts on a lapsed lease. */
    actsAfterPause: 'configForward',
    /** Every order carries the fencing token 0. */
    withoutFence: 'configForward',
    /** Orders to `w3` are reported as done without reaching it. */
    losesOrders: 'configForward',
    /** Twice as many concurrent loads are allowed as the weight store supports. */
    overloadsStore: 'noColdStart',
    /** The loaded versions of a model are unloaded before a new one is loaded. */
    unloadsFirst: 'noColdStart'
  },
  applicability,
  run: plan => new OrdersRun(plan, hash).run()
})
