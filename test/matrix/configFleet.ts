/**
 * A simulated fleet of instances that run only the configuration feature, in
 * virtual time, with a fake log and links on which faults can be injected.
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

/** One-way delay between instances and round-trip time to the log, in ms. */
export const linkDelay = 2

/** How one message to a peer or one log operation is delivered; delays in ms. */
export type Delivery =
  /** Without a fault. */
  | { readonly kind: 'whole' }
  /** With a fault of the log. */
  | { readonly kind: 'log', readonly fault: LogFault }
  /** The log operation takes effect at once; its answer, or the message, arrives after `delay`. */
  | { readonly kind: 'delayed', readonly delay: number }
  /** The log operation is reported as failed but takes effect after `delay`. */
  | { readonly kind: 'effectLater', readonly delay: number }
  /** The message is lost. */
  | { readonly kind: 'dropped' }
  /** The log operation takes effect, but no answer arrives. */
  | { readonly kind: 'silent' }
  /** The message or the answer arrives twice, and an append takes effect twice. */
  | { readonly kind: 'duplicated' }
  /** The first record of the page is missing. */
  | { readonly kind: 'firstRecordMissing' }
  /** The answer of the log reaches every instance; a message reaches a random instance instead of its receiver. */
  | { readonly kind: 'crossed' }
  /** The message arrives, and the receiver is then notified that the connection was lost. */
  | { readonly kind: 'cut' }

/** A simulated instance; times in ms. */
export interface FleetInstance {
  readonly id: string
  config: Config
  /** Number of restarts. Inputs for an earlier process are discarded. */
  incarnation: number
  running: boolean
  frozenUntil: number
  /** Time at which the process last started or resumed. */
  since: number
  /** Time at which the last fault of the process ends. */
  faultUntil: number
  logUnreachableUntil: number
  linksDownUntil: number
  /** Round-trip time to the log. */
  logDelay: number
  /** The highest version observed on this process. */
  highestVersion: number
  highestVersionSince: number
  sentBytes: number
  receivedBytes: number
  /** Inputs that arrived while the process was frozen, except ticks; handled when it resumes. */
  readonly held: ConfigMachineInput[]
}

/** Size, faults and observers of a fleet. */
export interface FleetOptions {
  readonly hash: Hash
  readonly size: number
  readonly seed: number
  readonly variant: string
  /** How long the log retains records, in ms. */
  readonly retention: number
  /** Interval between ticks, in ms. */
  readonly tick: number
  /** Decides how each effect is delivered. */
  readonly deliveryOf: (instance: FleetInstance, effect: ConfigMachineEffect) => Delivery
  /** Called with the result of each publish. */
  readonly onPublished: (request: number, result: PublishResult) => void
  /** Called after each input of an instance. */
  readonly observe: (instance: FleetInstance) => void
  /** Whether to count the CBOR bytes of messages between instances. */
  readonly countBytes?: boolean
}

/** A simulated fleet. */
export interface Fleet {
  readonly time: VirtualTime
  readonly log: FakeLog
  /** All records ever appended, including expired ones. */
  readonly appended: readonly LogRecord[]
  readonly instances: readonly FleetInstance[]
  readonly random: Random
  /** Passes an input to an instance and carries out its effects. */
  readonly dispatch: (instance: FleetInstance, input: ConfigMachineInput) => void
  /** Restarts an instance with empty state after `delay` ms. */
  readonly restart: (instance: FleetInstance, delay: number) => void
  /** Pauses the process of an instance for `duration` ms. */
  readonly freeze: (instance: FleetInstance, duration: number) => void
  /** Expires the records of the log that are older than the retention. */
  readonly expire: () => void
}

type PeerSend = Extract<ConfigMachineEffect, { kind: 'peer.send' }>

/**
 * Creates a fleet whose instances all start at time 0.
 *
 * @param options - size, faults and observers of the fleet
 * @returns the fleet, which runs as its virtual time advances
 */
export const createFleet = (options: FleetOptions): Fleet => {
  const time = createVirtualTime()
  const log = createFakeLog()
  const random = createRandom(options.seed)
  const appended: LogRecord[] = []
  const ids = Array.from({ length: options.size }, (_, index) => `n${index}`)

  const createMachine = (id: string, incarnation: number): Config => createConfigVariant(options.variant, {
    self: id, hash: options.hash, random: createRandom(options.hash.h32(`${id}/${incarnation}`, options.seed) | 0), retention: options.retention
  })

  const instances = ids.map((id): FleetInstance => ({
    id,
    config: createMachine(id, 0),
    incarnation: 0,
    running: true,
    frozenUntil: -1,
    since: 0,
    faultUntil: -Infinity,
    logUnreachableUntil: -1,
    linksDownUntil: -1,
    logDelay: linkDelay,
    highestVersion: 0,
    highestVersionSince: 0,
    sentBytes: 0,
    receivedBytes: 0,
    held: []
  }))
  const byId = new Map(instances.map(instance => [instance.id, instance]))

  const dispatch = (instance: FleetInstance, input: ConfigMachineInput): void => {
    if (!instance.running) return
    if (time.now() < instance.frozenUntil) {
      if (input.kind !== 'tick') instance.held.push(input)
      return
    }
    const effects = instance.config.handle(input, time.now())
    options.observe(instance)
    for (const effect of effects) perform(instance, effect)
  }

  const deliver = (instance: FleetInstance, input: ConfigMachineInput, delay: number): void => {
    const { incarnation } = instance
    time.after(delay, () => { if (instance.incarnation === incarnation) dispatch(instance, input) })
  }

  const performLog = (effect: LogEffect, fault: LogFault): LogInput => {
    const answer = log.perform(effect, time.now(), fault)
    if (effect.kind === 'log.append') appended.push(...log.records(effect.stream).filter(record => record.offset >= appended.length))
    return answer
  }

  const runLog = (instance: FleetInstance, effect: LogEffect, delivery: Delivery): void => {
    if (!instance.running) return
    const unreachable = time.now() < instance.logUnreachableUntil
    const answerWith = (fault: LogFault, delay = instance.logDelay): void => deliver(instance, performLog(effect, unreachable ? 'outage' : fault), delay)
    switch (delivery.kind) {
      case 'log': return answerWith(delivery.fault)
      case 'delayed': return answerWith('none', delivery.delay)
      case 'silent': performLog(effect, unreachable ? 'outage' : 'none'); return
      case 'effectLater':
        time.after(delivery.delay, () => { performLog(effect, 'none') })
        return answerWith('cutBefore')
      case 'duplicated': {
        const answer = performLog(effect, unreachable ? 'outage' : effect.kind === 'log.append' ? 'duplicate' : 'none')
        deliver(instance, answer, linkDelay)
        return deliver(instance, answer, linkDelay + 1)
      }
      case 'firstRecordMissing': {
        const answer = performLog(effect, unreachable ? 'outage' : 'none')
        return deliver(instance, answer.kind === 'log.records' ? { ...answer, records: answer.records.slice(1) } : answer, linkDelay)
      }
      case 'crossed': {
        const answer = performLog(effect, unreachable ? 'outage' : 'none')
        return instances.forEach(other => deliver(other, answer, linkDelay))
      }
      default: return answerWith('none')
    }
  }

  const runPeer = (instance: FleetInstance, { to, message }: PeerSend, delivery: Delivery): void => {
    const target = byId.get(to)
    if (target === undefined || !instance.running) return
    if (time.now() < Math.max(instance.linksDownUntil, target.linksDownUntil)) return
    if (options.countBytes === true) {
      const size = encode(message).length
      instance.sentBytes += size
      target.receivedBytes += size
    }
    const input: ConfigMachineInput = { kind: 'peer.message', from: instance.id, message }
    switch (delivery.kind) {
      case 'dropped': return
      case 'delayed': return deliver(target, input, delivery.delay)
      case 'duplicated': deliver(target, input, linkDelay); return deliver(target, input, linkDelay + 1)
      case 'crossed': return deliver(instances[random.below(instances.length)], input, linkDelay)
      case 'cut': deliver(target, input, linkDelay); return deliver(target, { kind: 'peer.lost', from: instance.id }, linkDelay + 1)
      default: return deliver(target, input, linkDelay)
    }
  }

  const perform = (instance: FleetInstance, effect: ConfigMachineEffect): void => {
    if (effect.kind === 'config.published') return options.onPublished(effect.request, effect.result)
    if (effect.kind === 'config.changed') return
    const delivery = options.deliveryOf(instance, effect)
    if (effect.kind === 'peer.send') runPeer(instance, effect, delivery)
    else runLog(instance, effect, delivery)
  }

  const start = (instance: FleetInstance): void => {
    instance.running = true
    instance.since = time.now()
    dispatch(instance, { kind: 'config.peers', peers: ids })
  }

  const restart = (instance: FleetInstance, delay: number): void => {
    instance.running = false
    instance.incarnation++
    instance.frozenUntil = -1
    instance.held.length = 0
    instance.faultUntil = Math.max(instance.faultUntil, time.now() + delay)
    instance.config = createMachine(instance.id, instance.incarnation)
    instance.highestVersion = 0
    const { incarnation } = instance
    time.after(delay, () => { if (instance.incarnation === incarnation) start(instance) })
  }

  const wake = (instance: FleetInstance): void => {
    if (time.now() < instance.frozenUntil || !instance.running) return
    instance.since = time.now()
    options.observe(instance)
    for (const input of instance.held.splice(0)) dispatch(instance, input)
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
    dispatch(instance, { kind: 'tick' })
    time.after(options.tick, () => tick(instance))
  }

  for (const instance of instances) {
    time.at(0, () => start(instance))
    time.at(1 + random.below(options.tick), () => tick(instance))
  }
  return { time, log, appended, instances, random, dispatch, restart, freeze, expire }
}
