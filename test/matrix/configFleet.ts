/**
 * A few instances with the configuration feature alone, on virtual time, with
 * the fake log and links that can be told to fail.
 */
import { encode } from 'cbor-x'
import { createRandom } from '../../src/random.js'
import { createFakeLog } from '../fakes/fakeLog.js'
import { createVirtualTime } from '../fakes/virtualTime.js'
import { createConfigVariant } from './configVariants.js'
import type { Config, ConfigMachineEffect, ConfigMachineInput } from '../../src/config/configMachine.js'
import type { PublishResult } from '../../src/config/configTypes.js'
import type { Hash } from '../../src/hash.js'
import type { LogEffect, LogInput, LogRecord } from '../../src/ports/logPort.js'
import type { Random } from '../../src/random.js'
import type { FakeLog, LogFault } from '../fakes/fakeLog.js'
import type { VirtualTime } from '../fakes/virtualTime.js'

/** Ms one way between instances, and to the log and back. */
export const linkDelay = 2

/** How one message or operation fares. */
export type Passage =
  | { readonly kind: 'whole' }
  | { readonly kind: 'log', readonly fault: LogFault }
  /** The effect takes place at once, the answer or message comes `delay` ms later. */
  | { readonly kind: 'delayed', readonly delay: number }
  /** Failure is told at once, the effect takes place `delay` ms later. */
  | { readonly kind: 'effectLater', readonly delay: number }
  | { readonly kind: 'dropped' }
  /** The effect takes place, no answer ever comes. */
  | { readonly kind: 'silent' }
  | { readonly kind: 'twice' }
  /** The first record of the page is missing. */
  | { readonly kind: 'holed' }
  /** It reaches another instance as well. */
  | { readonly kind: 'crossed' }
  /** The receiver then hears that the connection broke. */
  | { readonly kind: 'cut' }

/** One instance. */
export interface FleetInstance {
  readonly id: string
  config: Config
  /** Counts starts; what was meant for an earlier process is lost. */
  incarnation: number
  running: boolean
  frozenUntil: number
  since: number
  faultUntil: number
  logAwayUntil: number
  linksAwayUntil: number
  logDelay: number
  highest: number
  highestSince: number
  sentBytes: number
  receivedBytes: number
  readonly held: ConfigMachineInput[]
}

/** What a fleet is made of, and whom it asks. */
export interface FleetOptions {
  readonly hash: Hash
  readonly size: number
  readonly seed: number
  readonly variant: string
  readonly retention: number
  /** Ms between ticks. */
  readonly tick: number
  /** Decides how each effect fares. */
  readonly passage: (instance: FleetInstance, effect: ConfigMachineEffect) => Passage
  readonly published: (request: number, result: PublishResult) => void
  /** Called after each input of an instance. */
  readonly watch: (instance: FleetInstance) => void
  readonly countBytes?: boolean
}

/** The fleet. */
export interface Fleet {
  readonly time: VirtualTime
  readonly log: FakeLog
  /** Everything ever appended, expired records included. */
  readonly appended: readonly LogRecord[]
  readonly instances: readonly FleetInstance[]
  readonly random: Random
  readonly give: (instance: FleetInstance, input: ConfigMachineInput) => void
  readonly restart: (instance: FleetInstance, delay: number) => void
  readonly freeze: (instance: FleetInstance, duration: number) => void
  readonly expire: () => void
}

type PeerSend = Extract<ConfigMachineEffect, { kind: 'peer.send' }>

/**
 * Creates a fleet whose instances all start at time 0.
 *
 * @param options - its size, faults and observers
 */
export const createFleet = (options: FleetOptions): Fleet => {
  const time = createVirtualTime()
  const log = createFakeLog()
  const random = createRandom(options.seed)
  const appended: LogRecord[] = []
  const ids = Array.from({ length: options.size }, (_, index) => `n${index}`)

  const createProcess = (id: string, incarnation: number): Config => createConfigVariant(options.variant, {
    self: id, hash: options.hash, random: createRandom(options.hash.h32(`${id}/${incarnation}`, options.seed) | 0), retention: options.retention
  })

  const instances = ids.map((id): FleetInstance => ({
    id,
    config: createProcess(id, 0),
    incarnation: 0,
    running: true,
    frozenUntil: -1,
    since: 0,
    faultUntil: -Infinity,
    logAwayUntil: -1,
    linksAwayUntil: -1,
    logDelay: linkDelay,
    highest: 0,
    highestSince: 0,
    sentBytes: 0,
    receivedBytes: 0,
    held: []
  }))
  const byId = new Map(instances.map(instance => [instance.id, instance]))

  const give = (instance: FleetInstance, input: ConfigMachineInput): void => {
    if (!instance.running) return
    if (time.now() < instance.frozenUntil) {
      if (input.kind !== 'tick') instance.held.push(input)
      return
    }
    const effects = instance.config.handle(input, time.now())
    options.watch(instance)
    for (const effect of effects) perform(instance, effect)
  }

  const deliver = (instance: FleetInstance, input: ConfigMachineInput, delay: number): void => {
    const { incarnation } = instance
    time.after(delay, () => { if (instance.incarnation === incarnation) give(instance, input) })
  }

  const performLog = (effect: LogEffect, fault: LogFault): LogInput => {
    const answer = log.perform(effect, time.now(), fault)
    if (effect.kind === 'log.append') appended.push(...log.records(effect.stream).filter(record => record.offset >= appended.length))
    return answer
  }

  const runLog = (instance: FleetInstance, effect: LogEffect, passage: Passage): void => {
    if (!instance.running) return
    const away = time.now() < instance.logAwayUntil
    const answered = (fault: LogFault, delay = instance.logDelay): void => deliver(instance, performLog(effect, away ? 'outage' : fault), delay)
    switch (passage.kind) {
      case 'log': return answered(passage.fault)
      case 'delayed': return answered('none', passage.delay)
      case 'silent': performLog(effect, away ? 'outage' : 'none'); return
      case 'effectLater':
        time.after(passage.delay, () => { performLog(effect, 'none') })
        return answered('cutBefore')
      case 'twice': {
        const answer = performLog(effect, away ? 'outage' : effect.kind === 'log.append' ? 'duplicate' : 'none')
        deliver(instance, answer, linkDelay)
        return deliver(instance, answer, linkDelay + 1)
      }
      case 'holed': {
        const answer = performLog(effect, away ? 'outage' : 'none')
        return deliver(instance, answer.kind === 'log.records' ? { ...answer, records: answer.records.slice(1) } : answer, linkDelay)
      }
      case 'crossed': {
        const answer = performLog(effect, away ? 'outage' : 'none')
        return instances.forEach(other => deliver(other, answer, linkDelay))
      }
      default: return answered('none')
    }
  }

  const runPeer = (instance: FleetInstance, { to, message }: PeerSend, passage: Passage): void => {
    const target = byId.get(to)
    if (target === undefined || !instance.running) return
    if (time.now() < Math.max(instance.linksAwayUntil, target.linksAwayUntil)) return
    if (options.countBytes === true) {
      const size = encode(message).length
      instance.sentBytes += size
      target.receivedBytes += size
    }
    const input: ConfigMachineInput = { kind: 'peer.message', from: instance.id, message }
    switch (passage.kind) {
      case 'dropped': return
      case 'delayed': return deliver(target, input, passage.delay)
      case 'twice': deliver(target, input, linkDelay); return deliver(target, input, linkDelay + 1)
      case 'crossed': return deliver(instances[random.below(instances.length)], input, linkDelay)
      case 'cut': deliver(target, input, linkDelay); return deliver(target, { kind: 'peer.lost', from: instance.id }, linkDelay + 1)
      default: return deliver(target, input, linkDelay)
    }
  }

  const perform = (instance: FleetInstance, effect: ConfigMachineEffect): void => {
    if (effect.kind === 'config.published') return options.published(effect.request, effect.result)
    if (effect.kind === 'config.changed') return
    const passage = options.passage(instance, effect)
    if (effect.kind === 'peer.send') runPeer(instance, effect, passage)
    else runLog(instance, effect, passage)
  }

  const begin = (instance: FleetInstance): void => {
    instance.running = true
    instance.since = time.now()
    give(instance, { kind: 'config.peers', peers: ids })
  }

  const restart = (instance: FleetInstance, delay: number): void => {
    instance.running = false
    instance.incarnation++
    instance.frozenUntil = -1
    instance.held.length = 0
    instance.faultUntil = Math.max(instance.faultUntil, time.now() + delay)
    instance.config = createProcess(instance.id, instance.incarnation)
    instance.highest = 0
    const { incarnation } = instance
    time.after(delay, () => { if (instance.incarnation === incarnation) begin(instance) })
  }

  const wake = (instance: FleetInstance): void => {
    if (time.now() < instance.frozenUntil || !instance.running) return
    instance.since = time.now()
    options.watch(instance)
    for (const input of instance.held.splice(0)) give(instance, input)
  }

  const freeze = (instance: FleetInstance, duration: number): void => {
    instance.frozenUntil = Math.max(instance.frozenUntil, time.now() + duration)
    instance.faultUntil = Math.max(instance.faultUntil, instance.frozenUntil)
    time.at(instance.frozenUntil, () => wake(instance))
  }

  const expire = (): void => {
    const first = appended.find(record => record.at > time.now() - options.retention)
    log.expire('config', first?.offset ?? appended.length)
  }

  const tick = (instance: FleetInstance): void => {
    give(instance, { kind: 'tick' })
    time.after(options.tick, () => tick(instance))
  }

  for (const instance of instances) {
    time.at(0, () => begin(instance))
    time.at(1 + random.below(options.tick), () => tick(instance))
  }
  return { time, log, appended, instances, random, give, restart, freeze, expire }
}
