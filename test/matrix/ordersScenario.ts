/**
 * Orders under faults: three instances, four engines of which two ignore
 * fencing, and a rollout of a new weight version. The checkers read the
 * engines' own record, the store's and the log's.
 */
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { Hash } from '../../src/hash.js'
import { createOrders } from '../../src/orders/ordersMachine.js'
import type { Orders } from '../../src/orders/ordersMachine.js'
import type { OrdersEffect, OrdersInput } from '../../src/orders/ordersTypes.js'
import type { LogEffect } from '../../src/ports/logPort.js'
import type { Member } from '../../src/ports/membershipPort.js'
import { createRandom } from '../../src/random.js'
import { createFakeEngine } from '../fakes/fakeEngine.js'
import type { FakeEngine, FakeStore } from '../fakes/fakeEngine.js'
import { createFakeLog } from '../fakes/fakeLog.js'
import { instanceMember } from '../fakes/fakeEndpoints.js'
import { createVirtualTime } from '../fakes/virtualTime.js'
import type { Fault, Injection, Plan, Scenario, Violation } from './matrixTypes.js'
import { checkOrders, type SentOrder, type OrderEffect } from './ordersChecks.js'
import { applicability, desiredAt, endAt, initialModels, logSteps, rolloutAt, secondRolloutAt, steps, storeLoadLimit, type OrdersStep } from './ordersFixture.js'

interface Node {
  readonly member: Member
  readonly machine: Orders
  frozenUntil: number
  /** Time that the broken variant hides from the machine. */
  hidden: number
}

const instanceCount = 3
const tickStep = 500
const reportInterval = 500
const freezeTime = 4_000
const lapseTime = 45_000
const lateTime = 12_000
const slowTime = 4_000
const outageTime = 20_000
const restartTime = 5_000

/** Runs one case. */
class OrdersRun {
  private readonly time = createVirtualTime(0)
  private readonly log = createFakeLog()
  private readonly store: FakeStore = { running: 0, peak: 0 }
  private readonly nodes = new Map<string, Node>()
  private readonly engines: readonly FakeEngine[]
  private readonly emissions: SentOrder[] = []
  private readonly lateOrders = new Set<OrderEffect>()
  private readonly violations: Violation[] = []
  private readonly waiting: Injection[]
  private readonly skips: number
  private readonly random
  private list: readonly Endpoint[] = []
  private views: ReadonlyMap<string, ReadonlySet<string>> = new Map()
  private outageUntil = 0
  private reportsFrom = 0
  private lives = 1
  private engineRestarted = false
  private isListOutdated = true

  constructor (private readonly plan: Plan, private readonly hash: Hash) {
    this.waiting = [...plan.injections]
    this.random = createRandom(plan.seed)
    this.skips = this.random.below(3)
    this.engines = ['w0', 'w1', 'w2', 'w3'].map((id, index) => createFakeEngine({
      id,
      fenced: index % 2 === 0,
      models: initialModels(id),
      time: this.time,
      store: this.store,
      changed: () => {
        this.isListOutdated = true
        this.checkWarm()
      }
    }))
  }

  run (): readonly Violation[] {
    this.report()
    for (let index = 0; index < instanceCount; index++) this.start(index)
    this.tellMembers()
    this.nodes.forEach(node => this.tick(node))
    for (const at of [rolloutAt, secondRolloutAt]) {
      this.time.at(at, () => this.broadcast({ kind: 'orders.desired', models: desiredAt(at) }))
    }
    this.time.runUntil(endAt)
    return [
      ...this.violations,
      ...checkOrders({ engines: this.engines, claims: this.log.records('orders'), sentOrders: this.emissions, engineRestarted: this.engineRestarted, peakLoads: this.store.peak, held: this.lateOrders.size })
    ]
  }

  private start (index: number): void {
    const member = { ...instanceMember(index), incarnation: `n${index}-${this.lives}` }
    const loadsAtOnce = this.plan.variant === 'overloadsStore' ? 2 * storeLoadLimit : storeLoadLimit
    const machine = createOrders({ self: member, hash: this.hash, random: createRandom(this.plan.seed + index + this.lives), endpoints: () => this.list, maxConcurrentLoads: loadsAtOnce })
    const node: Node = { member, machine, frozenUntil: 0, hidden: 0 }
    this.nodes.set(member.id, node)
    this.tellMembers()
    this.give(node, { kind: 'orders.desired', models: desiredAt(this.time.now()) })
  }

  private restart (id: string, delay: number): void {
    this.nodes.delete(id)
    this.tellMembers()
    this.time.after(delay, () => {
      this.lives++
      if (this.nodes.has(id)) return
      this.start(Number(id.slice(1)))
      const node = this.nodes.get(id)
      if (node !== undefined) this.tick(node)
    })
  }

  private tick (node: Node): void {
    if (this.nodes.get(node.member.id) !== node) return
    if (this.time.now() >= node.frozenUntil) this.give(node, { kind: 'tick' })
    this.time.after(tickStep, () => this.tick(node))
  }

  private tellMembers (): void {
    for (const node of this.nodes.values()) {
      const hidden = this.views.get(node.member.id)
      const members = [...this.nodes.values()].map(({ member }) => member).filter(({ id }) => hidden?.has(id) !== true)
      this.give(node, { kind: 'membership.changed', members })
    }
  }

  private broadcast (input: OrdersInput): void {
    for (const node of this.nodes.values()) this.give(node, input)
  }

  /** A frozen instance gets its inputs when it wakes. */
  private give (node: Node, input: OrdersInput): void {
    if (this.nodes.get(node.member.id) !== node) return
    if (this.time.now() < node.frozenUntil) {
      if (input.kind !== 'tick') this.time.at(node.frozenUntil, () => this.give(node, input))
      return
    }
    for (const effect of node.machine.handle(input, this.time.now() - node.hidden)) this.meet(node, effect)
  }

  private stepOf (node: Node, effect: OrdersEffect): OrdersStep | undefined {
    switch (effect.kind) {
      case 'log.append': return 'claimAppend'
      case 'log.read': {
        const phase = node.machine.phase().kind
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
    const wait = logSteps.includes(this.waiting[index].step) ? 0 : this.skips
    this.seen.set(this.waiting[index].step, (this.seen.get(this.waiting[index].step) ?? 0) + 1)
    if ((this.seen.get(this.waiting[index].step) ?? 0) <= wait) return undefined
    return this.waiting.splice(index, 1)[0].fault
  }

  private readonly seen = new Map<string, number>()

  private meet (node: Node, effect: OrdersEffect): void {
    if (effect.kind === 'endpoint.order') this.emissions.push({ at: this.time.now(), from: node.member.id, effect })
    const fault = this.takeFault(this.stepOf(node, effect))
    this.strike(node, fault)
    if (fault === 'crash' || fault === 'herdRestart' || fault === 'cutBefore') {
      if (fault === 'cutBefore') this.fail(node, effect)
      return
    }
    if (fault === 'restartEmpty' && effect.kind === 'endpoint.order') this.restartEngine(effect.endpoint)
    const delay = this.delayOf(node, fault)
    if (delay > 0 && effect.kind === 'endpoint.order') this.lateOrders.add(effect)
    const perform = (): void => this.perform(node, effect, fault)
    if (delay > 0) this.time.after(delay, perform)
    else perform()
    if (fault === 'duplicate' && effect.kind === 'endpoint.order') this.time.after(20, () => this.perform(node, effect, 'cutAfter'))
  }

  private delayOf (node: Node, fault: Fault | undefined): number {
    if (fault === 'late') return lateTime
    if (fault === 'slow') return slowTime
    return Math.max(0, node.frozenUntil - this.time.now())
  }

  /** Faults that befall an instance, not the one effect. */
  private strike (node: Node, fault: Fault | undefined): void {
    const now = this.time.now()
    const { id } = node.member
    if (fault === 'crash') this.restart(id, restartTime)
    if (fault === 'herdRestart') [...this.nodes.keys()].forEach(each => this.restart(each, 100 + this.random.below(2_000)))
    if (fault === 'freeze') this.freeze(node, freezeTime)
    if (fault === 'outage') this.outageUntil = now + outageTime
    if (fault === 'lapsedLease') {
      this.freeze(node, lapseTime)
      this.hide([id], lapseTime)
    }
    if (fault === 'racingPublishers') this.hide([...this.nodes.keys()], 30_000)
  }

  private freeze (node: Node, duration: number): void {
    node.frozenUntil = this.time.now() + duration
    if (this.plan.variant === 'actsAfterPause') node.hidden += duration
  }

  /** Each of these instances is alive only to itself for a while. */
  private hide (ids: readonly string[], duration: number): void {
    const all = [...this.nodes.keys()]
    this.views = new Map(all.map(viewer => [viewer, new Set(ids.filter(id => id !== viewer))]))
    this.tellMembers()
    this.time.after(duration, () => {
      this.views = new Map()
      this.tellMembers()
    })
  }

  private restartEngine (id: string): void {
    this.engineRestarted = true
    this.engines.find(engine => engine.id === id)?.restart()
  }

  private fail (node: Node, effect: OrdersEffect): void {
    if (effect.kind === 'endpoint.order') this.time.after(2, () => this.answer(node, effect, 'failed'))
    else if (effect.kind !== 'peer.send') this.time.after(2, () => this.give(node, this.log.perform(effect, this.time.now(), 'cutBefore')))
  }

  private perform (node: Node, effect: OrdersEffect, fault: Fault | undefined): void {
    switch (effect.kind) {
      case 'peer.send': {
        const peer = this.nodes.get(effect.to)
        if (peer !== undefined) this.time.after(2, () => this.give(peer, { kind: 'peer.message', from: node.member.id, message: effect.message }))
        return
      }
      case 'endpoint.order': return this.order(node, effect, fault)
      default: return this.performLog(node, effect, fault)
    }
  }

  private performLog (node: Node, effect: LogEffect, fault: Fault | undefined): void {
    const isOut = this.time.now() < this.outageUntil
    const lost = fault === 'lostAck' || fault === 'cutAfter'
    const logFault = isOut ? 'outage' : lost ? 'lostAck' : fault === 'duplicate' ? 'duplicate' : 'none'
    const input = this.log.perform(effect, this.time.now(), logFault)
    this.time.after(fault === 'slow' ? slowTime : 5, () => this.give(node, input))
  }

  private order (node: Node, effect: OrderEffect, fault: Fault | undefined): void {
    if (this.plan.variant === 'losesOrders' && effect.endpoint === 'w3') return this.answer(node, effect, 'done')
    const engine = this.engines.find(({ id }) => id === effect.endpoint)
    const fence = this.plan.variant === 'withoutFence' ? 0 : effect.fence
    const from = node.member.id
    const { order } = effect
    if (this.plan.variant === 'unloadsFirst' && order.kind === 'load') {
      for (const model of engine?.models() ?? []) {
        if (model.model === order.model.model) engine?.order({ from, fence, order: { kind: 'unload', model } }, () => {})
      }
    }
    engine?.order({ from, fence, order }, result => {
      if (fault === 'cutAfter' || fault === 'lostAck') return
      this.time.after(2, () => this.answer(node, effect, result))
    })
  }

  private answer (node: Node, effect: OrderEffect, result: 'done' | 'staleFence' | 'failed'): void {
    const fault = this.takeFault('orderAnswer')
    this.strike(node, fault)
    if (fault === 'cutAfter') return
    if (fault === 'restartEmpty') this.restartEngine(effect.endpoint)
    const { owner, token, endpoint } = effect
    const give = (): void => this.give(node, { kind: 'endpoint.ordered', owner, token, endpoint, result })
    this.time.after(fault === 'late' ? lateTime : fault === 'slow' ? slowTime : 0, give)
    if (fault === 'duplicate') this.time.after(5, give)
  }

  /** Renews what the registry knows of the engines. */
  private report (): void {
    const holder = [...this.nodes.values()].find(({ machine }) => machine.phase().kind === 'holding')
    const fault = this.time.now() < rolloutAt ? undefined : this.takeFault('report')
    if (holder !== undefined) this.strike(holder, fault)
    if (fault === 'restartEmpty') this.restartEngine('w1')
    if (fault === 'gap' || fault === 'late') this.reportsFrom = this.time.now() + lateTime
    if (this.isListOutdated && this.time.now() >= this.reportsFrom) {
      this.isListOutdated = false
      this.list = this.engines.map((engine, index) => this.endpointOf(engine, index))
    }
    this.time.after(reportInterval, () => this.report())
  }

  private endpointOf (engine: FakeEngine, index: number): Endpoint {
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

  /** A restarted engine holds nothing, which no router can prevent. */
  private checkWarm (): void {
    if (this.engineRestarted || this.engines === undefined) return
    for (const model of ['m1', 'm2']) {
      const held = this.engines.some(engine => engine.models().some(loaded => loaded.model === model))
      if (!held) this.violations.push({ promise: 'noColdStart', detail: `no worker holds ${model} at ${this.time.now()}` })
    }
  }
}

/**
 * Creates the scenario of orders to workers.
 *
 * @param hash - equal on every instance
 */
export const ordersScenario = (hash: Hash): Scenario => ({
  name: 'orders',
  steps,
  promises: ['configForward', 'noColdStart'],
  variants: {
    actsAfterPause: 'configForward',
    withoutFence: 'configForward',
    losesOrders: 'configForward',
    overloadsStore: 'noColdStart',
    unloadsFirst: 'noColdStart'
  },
  applicability,
  run: plan => new OrdersRun(plan, hash).run()
})
