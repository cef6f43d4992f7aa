/**
 * Scenario of membership and graceful shutdown for the fault matrix: four
 * instances, a platform list that lags and becomes unavailable, one instance
 * that drains, one that restarts while the platform is down, and callers that
 * use the addresses they are given.
 */
import { addressList, maxTimeToLive } from '../../src/addresses/addresses.js'
import { createDrain } from '../../src/addresses/drain.js'
import type { Drain, DrainInput } from '../../src/addresses/drain.js'
import { createRendezvousHash } from '../../src/addresses/rendezvous.js'
import type { Hash } from '../../src/hash.js'
import { createMembership } from '../../src/membership/membershipMachine.js'
import type { Membership, MembershipFeatureEffect, MembershipFeatureInput } from '../../src/membership/membershipTypes.js'
import type { Member } from '../../src/ports/membershipPort.js'
import type { PeerMessage } from '../../src/ports/peerPort.js'
import { createRandom } from '../../src/random.js'
import { instanceMember } from '../fakes/fakeEndpoints.js'
import { createFakeNetwork } from '../fakes/fakeNetwork.js'
import type { Delivery, MessageInTransit } from '../fakes/fakeNetwork.js'
import { createVirtualTime } from '../fakes/virtualTime.js'
import type { Applicability, Fault, Injection, Plan, Scenario, Violation } from './matrixTypes.js'

const messageSteps = ['ping', 'ack', 'pingVia', 'vouch', 'pull', 'state'] as const
const platformSteps = ['announce', 'fetch'] as const
const steps = [...messageSteps, ...platformSteps, 'leave', 'closeListener', 'exit'] as const

/** A step of the membership protocol or of the drain at which a fault can be injected. */
export type MembershipStep = typeof steps[number]

interface Instance {
  readonly member: Member
  readonly machine: Membership
  readonly drain: Drain
  /** Start times of the running requests, in ms. */
  readonly requests: Set<number>
  /** The instance handles no input before this time, in ms. */
  frozenUntil: number
  /** Time at which its drain started, in ms; undefined before. */
  leavingSince?: number
  acceptsRequests: boolean
}

const instanceCount = 4
/** Time between ticks of an instance, in ms. */
const tickPeriod = 400
/** Time by which the platform's list lags, in ms. */
const listLag = 3_000
/** Time at which one link is cut, in ms since the start of the run, as are the other times named `At`. */
const cutLinkAt = 3_000
const platformDownAt = 6_000
const leaveAt = 8_000
const restartAt = 9_000
const platformUpAt = 30_000
const endAt = 45_000
/** Duration of a request, in ms. */
const requestDuration = 6_000
/** Time after the start of a drain by which every instance must have stopped listing the leaving one, in ms. */
const leavingDeadline = 5_000
/** Time after the last fault by which the views have converged, also while the platform is unavailable, in ms. */
const convergenceTime = 12_000
/** Time for which an instance is frozen by the fault `freeze`, in ms. */
const freezeTime = 5_000
/** Time for which an instance is frozen by the fault `lapsedLease`, in ms. */
const lapsedLeaseTime = 15_000
const workspace = 'workspace-1'

const notApplicable = (reason: string): Applicability => ({ applies: false, reason })

const isMessageStep = (step: string): boolean => messageSteps.some(name => name === step)
const isPlatformStep = (step: string): boolean => platformSteps.some(name => name === step)

const applicability = (step: string, fault: Fault): Applicability => {
  if (fault === 'racingPublishers') return notApplicable('this scenario has no publishers')
  if (fault === 'crossed') return notApplicable('answers carry the sequence number of their probe')
  if (fault === 'restartEmpty') return notApplicable('instances store no membership state, so every restart starts empty, as under the fault "crash"')
  const oneWay: readonly Fault[] = ['cutAfter', 'lostAck']
  if (oneWay.includes(fault) && !isPlatformStep(step)) return notApplicable('the message has no answer of its own that could be lost')
  const transport: readonly Fault[] = ['cutBefore', 'late', 'duplicate', 'gap', 'slow']
  if (transport.includes(fault) && !isMessageStep(step) && !isPlatformStep(step)) return notApplicable('nothing is sent in this step')
  if (fault === 'duplicate' && isPlatformStep(step)) return notApplicable('fetching or announcing twice has the same effect as the next periodic one')
  return { applies: true }
}

/** The run of one case, with one plan, in virtual time. */
class MembershipRun {
  private readonly time = createVirtualTime(1_000_000)
  private readonly startTime = this.time.now()
  private readonly random
  private readonly network
  private readonly placement
  private readonly instances = new Map<string, Instance>()
  /** Entries of the platform's membership list. */
  private readonly rows = new Map<string, Member>()
  private readonly violations: Violation[] = []
  private readonly waiting: Injection[]
  private readonly faultEnds: number[] = []
  private dropsLeft = new Map<string, number>()
  private slowUntil = 0
  private platformDownUntil = 0
  private incarnationCount = 0
  /** Messages of a faulted step that still pass before the fault is injected; random, so that seeds fault different ones. */
  private messagesToSkip: number

  constructor (private readonly plan: Plan, private readonly hash: Hash) {
    this.random = createRandom(plan.seed)
    this.network = createFakeNetwork(this.time, this.random)
    this.placement = createRendezvousHash(hash)
    this.waiting = [...plan.injections]
    this.messagesToSkip = this.random.below(4)
    this.network.intercept(sent => this.decideDelivery(sent))
  }

  run (): readonly Violation[] {
    for (let index = 0; index < instanceCount; index++) this.startInstance(index)
    this.at(leaveAt, () => this.leave('n1'))
    this.at(restartAt, () => this.restart('n3', 0))
    this.call()
    this.check()
    this.time.runUntil(this.startTime + endAt)
    this.checkViews()
    return this.violations
  }

  private at (offset: number, action: () => void): void {
    this.time.at(this.startTime + offset, action)
  }

  private elapsed (): number {
    return this.time.now() - this.startTime
  }

  private recordViolation (promise: Violation['promise'], detail: string): void {
    this.violations.push({ promise, detail: `${detail} at ${Math.round(this.elapsed())}` })
  }

  private startInstance (index: number): void {
    this.incarnationCount++
    const member = { ...instanceMember(index), incarnation: `n${index}-${this.incarnationCount}` }
    const all = Array.from({ length: instanceCount }, (_, other) => instanceMember(other))
    const seeds = this.plan.variant === 'waitsForPlatform' ? [] : all
    const now = this.time.now()
    const machine = createMembership({ self: member, seeds, random: createRandom(this.plan.seed + this.incarnationCount), hash: this.hash, startedAt: now })
    const drain = createDrain({ timeToLive: maxTimeToLive, membershipLag: leavingDeadline })
    const instance: Instance = { member, machine, drain, requests: new Set(), frozenUntil: 0, acceptsRequests: true }
    this.instances.set(member.id, instance)
    this.network.join(member.id, (from, message) => this.deliver(instance, { kind: 'peer.message', from, message }))
    this.deliver(instance, { kind: 'tick' })
    if (this.addressIds(instance).length < instanceCount - 1) this.recordViolation('noColdStart', `${member.id} starts with ${this.addressIds(instance).length} addresses`)
    this.tick(instance)
  }

  private tick (instance: Instance): void {
    if (!this.isRunning(instance)) return
    if (this.time.now() >= instance.frozenUntil) {
      this.deliver(instance, { kind: 'tick' })
      this.drain(instance, { kind: 'tick' })
    }
    this.time.after(tickPeriod, () => this.tick(instance))
  }

  private isRunning (instance: Instance): boolean {
    return this.instances.get(instance.member.id) === instance
  }

  private stop (id: string): void {
    this.instances.delete(id)
    this.network.leave(id)
    for (const other of this.instances.values()) {
      this.time.after(1, () => this.deliver(other, { kind: 'peer.lost', from: id }))
    }
  }

  private restart (id: string, delay: number): void {
    if (!this.instances.has(id)) return
    this.stop(id)
    this.time.after(delay, () => {
      if (!this.instances.has(id)) this.startInstance(Number(id.slice(1)))
    })
  }

  /** Passes an input to an instance; a frozen instance gets its inputs, except ticks, when the freeze ends. */
  private deliver (instance: Instance, input: MembershipFeatureInput): void {
    if (!this.isRunning(instance)) return
    if (this.time.now() < instance.frozenUntil) {
      if (input.kind !== 'tick') this.time.at(instance.frozenUntil, () => this.deliver(instance, input))
      return
    }
    this.perform(instance, instance.machine.handle(input, this.time.now()))
  }

  private perform (instance: Instance, effects: readonly MembershipFeatureEffect[]): void {
    const { id } = instance.member
    for (const effect of effects) {
      switch (effect.kind) {
        case 'peer.send':
          this.network.send({ from: id, to: effect.to, message: effect.message })
          break
        case 'membership.announce':
          this.platform(instance, 'announce', () => this.rows.set(id, effect.member))
          break
        case 'membership.fetch':
          this.platform(instance, 'fetch', () => {})
          break
        case 'membership.superseded':
          this.stop(id)
          break
        case 'membership.changed':
      }
    }
  }

  private isPlatformDown (): boolean {
    const elapsed = this.elapsed()
    return this.time.now() < this.platformDownUntil || (elapsed >= platformDownAt && elapsed < platformUpAt)
  }

  /** Runs an announcement or a fetch against the fake platform. Its list lags by `listLag` and never shows the state `leaving`. */
  private platform (instance: Instance, step: 'announce' | 'fetch', effect: () => void): void {
    const fault = this.takeFault(step)
    this.applyFault(instance, fault)
    const lost = fault === 'cutBefore' || fault === 'crash' || fault === 'herdRestart' || fault === 'gap'
    if (this.isPlatformDown() || lost) {
      this.time.after(5, () => this.deliver(instance, { kind: 'membership.failed' }))
      return
    }
    const delay = fault === 'late' || fault === 'slow' ? 6_000 : 5
    this.time.after(listLag + delay, effect)
    if (step === 'announce' || fault === 'lostAck' || fault === 'cutAfter') return
    const members = [...this.rows.values()].map((row): Member => ({ ...row, state: 'live' }))
    this.time.after(delay, () => this.deliver(instance, { kind: 'membership.list', members }))
  }

  private leave (id: string): void {
    const instance = this.instances.get(id)
    if (instance === undefined) return
    const fault = this.takeFault('leave')
    this.applyFault(instance, fault)
    if (!this.isRunning(instance)) return
    if (this.time.now() < instance.frozenUntil) {
      this.time.at(instance.frozenUntil, () => this.isRunning(instance) && this.drain(instance, { kind: 'drain.start' }))
      return
    }
    this.drain(instance, { kind: 'drain.start' })
  }

  private drain (instance: Instance, input: DrainInput): void {
    for (const effect of instance.drain.handle(input, this.time.now())) {
      switch (effect.kind) {
        case 'drain.announce':
          instance.leavingSince = this.time.now()
          this.perform(instance, instance.machine.leave(this.time.now()))
          break
        case 'drain.closeListener':
          instance.acceptsRequests = false
          this.applyFault(instance, this.takeFault('closeListener'))
          break
        case 'drain.exit':
          if (instance.requests.size > 0) this.recordViolation('gracefulShutdown', `${instance.member.id} exits with ${instance.requests.size} running requests`)
          this.applyFault(instance, this.takeFault('exit'))
          if (this.isRunning(instance)) this.stop(instance.member.id)
      }
    }
  }

  private takeFault (step: string): Fault | undefined {
    const index = this.waiting.findIndex(injection => injection.step === step)
    if (index < 0) return undefined
    if (isMessageStep(step) && this.messagesToSkip-- > 0) return undefined
    return this.waiting.splice(index, 1)[0].fault
  }

  private applyFault (instance: Instance, fault: Fault | undefined): void {
    if (fault === undefined) return
    const now = this.time.now()
    const { id } = instance.member
    const durations = { freeze: freezeTime, lapsedLease: lapsedLeaseTime, outage: 0, slow: 10_000 } as const
    this.faultEnds.push(now + (fault in durations ? durations[fault as keyof typeof durations] : 3_000))
    if (fault === 'crash') this.restart(id, 3_000)
    if (fault === 'herdRestart') [...this.instances.keys()].forEach(each => this.restart(each, 100 + this.random.below(1_000)))
    if (fault === 'freeze') instance.frozenUntil = now + freezeTime
    if (fault === 'lapsedLease') instance.frozenUntil = now + lapsedLeaseTime
    if (fault === 'outage') this.platformDownUntil = now + 20_000
    if (fault === 'slow') this.slowUntil = now + 10_000
  }

  private stepOf (message: PeerMessage): string {
    return message.kind.slice('membership.'.length)
  }

  /** Whether a message is lost because one link is cut, for 6 s, so that indirect probes are needed. */
  private isLinkCut ({ from, to }: MessageInTransit): boolean {
    const elapsed = this.elapsed()
    return elapsed > cutLinkAt && elapsed < cutLinkAt + 6_000 && [from, to].sort().join() === 'n0,n2'
  }

  private decideDelivery (sent: MessageInTransit): Delivery {
    if (this.isLinkCut(sent)) return 'drop'
    const step = this.stepOf(sent.message)
    const fault = this.takeFault(step)
    const sender = this.instances.get(sent.from)
    if (sender !== undefined) this.applyFault(sender, fault)
    if (fault === 'gap') this.dropsLeft.set(step, 5)
    const drops = this.dropsLeft.get(step) ?? 0
    if (drops > 0) {
      this.dropsLeft.set(step, drops - 1)
      return 'drop'
    }
    if (fault === 'cutBefore' || fault === 'crash' || fault === 'herdRestart') return 'drop'
    if (fault === 'duplicate') return 'duplicate'
    return fault === 'late' || this.time.now() < this.slowUntil ? 'late' : 'deliver'
  }

  private membersOf (instance: Instance): readonly Member[] {
    const alive = instance.machine.alive()
    if (this.plan.variant !== 'trustsList') return alive
    const listed = [...this.rows.values()].filter(({ id }) => !alive.some(member => member.id === id))
    return [...alive, ...listed.map((row): Member => ({ ...row, state: 'live' }))]
  }

  private addressIds (instance: Instance, caller = 'c'): readonly string[] {
    const { addresses } = addressList(this.placement, { workspace, caller, members: this.membersOf(instance), width: instanceCount })
    return addresses.map(({ id }) => id)
  }

  /** A caller asks any instance for addresses and starts a request at the first one that accepts it, once per second. */
  private call (): void {
    const running = [...this.instances.values()].filter(({ frozenUntil }) => this.time.now() >= frozenUntil)
    if (running.length > 0) {
      const addressSource = running[this.random.below(running.length)]
      const target = this.addressIds(addressSource, `c${this.random.below(10)}`).map(id => this.instances.get(id)).find(instance => instance?.acceptsRequests)
      if (target !== undefined) this.request(target)
    }
    this.time.after(1_000, () => this.call())
  }

  private request (instance: Instance): void {
    const key = this.time.now()
    const reportRunning = (): void => {
      const running = this.plan.variant === 'forgetsRequests' ? 0 : instance.requests.size
      if (this.isRunning(instance)) this.drain(instance, { kind: 'drain.running', running })
    }
    instance.requests.add(key)
    reportRunning()
    const durationFactor = instance.member.id === 'n1' ? 4 : 1
    this.time.after(durationFactor * requestDuration, () => {
      instance.requests.delete(key)
      reportRunning()
    })
  }

  /** Whether every fault ended more than `duration` ms ago. */
  private isFaultFree (duration: number): boolean {
    return this.faultEnds.every(end => this.time.now() > end + duration)
  }

  private check (): void {
    const now = this.time.now()
    const leaving = [...this.instances.values()].filter(({ leavingSince }) => leavingSince !== undefined && now - leavingSince > leavingDeadline)
    const observers = [...this.instances.values()].filter(({ frozenUntil }) => now >= frozenUntil)
    for (const observer of observers) {
      const answer = this.addressIds(observer)
      const needsSelf = observer.leavingSince === undefined
      if (answer.length === 0 && needsSelf) this.recordViolation('noColdStart', `${observer.member.id} lists no address`)
      if (!this.isFaultFree(leavingDeadline)) continue
      for (const { member } of leaving) {
        if (answer.includes(member.id)) this.recordViolation('leavingNoNewWork', `${observer.member.id} still lists ${member.id}`)
      }
    }
    this.time.after(2_000, () => this.check())
  }

  private checkViews (): void {
    if (!this.isFaultFree(convergenceTime)) return
    const expected = [...this.instances.values()].filter(({ leavingSince }) => leavingSince === undefined).map(({ member }) => member.id).sort()
    for (const observer of this.instances.values()) {
      const seen = [...this.addressIds(observer)].sort()
      if (seen.join() !== expected.join()) this.recordViolation('noColdStart', `${observer.member.id} knows ${seen.join()} of ${expected.join()}`)
    }
  }
}

/**
 * Creates the scenario of membership and graceful shutdown.
 *
 * @param hash - the hash function, equal on every instance
 * @returns the scenario, for the fault matrix
 */
export const membershipScenario = (hash: Hash): Scenario => ({
  name: 'membership',
  steps,
  promises: ['leavingNoNewWork', 'gracefulShutdown', 'noColdStart'],
  variants: {
    /** Members that only the platform's list contains are treated as live. */
    trustsList: 'leavingNoNewWork',
    /** The drain is given 0 as the number of running requests. */
    forgetsRequests: 'gracefulShutdown',
    /** Instances have no seeds, so that they need the membership list to start. */
    waitsForPlatform: 'noColdStart'
  },
  applicability,
  run: plan => new MembershipRun(plan, hash).run()
})
