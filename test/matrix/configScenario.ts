/**
 * The configuration protocol under faults: six instances, operators that
 * publish and race, a pause, restarts and expired records, with a fault at a
 * step's occurrence that the seed chooses.
 */
import { createRandom } from '../../src/random.js'
import { createConfigChecker } from './configCheckers.js'
import { createFleet } from './configFleet.js'
import { configVariants } from './configVariants.js'
import type { ConfigMachineEffect } from '../../src/config/configMachine.js'
import type { PublishResult } from '../../src/config/configTypes.js'
import type { Hash } from '../../src/hash.js'
import type { Circumstances } from './configCheckers.js'
import type { Fleet, FleetInstance, Passage } from './configFleet.js'
import type { Applicability, Fault, Plan, Scenario, Violation } from './matrixTypes.js'

const size = 6
/** Ms that the log keeps records. */
const retention = 9000
/** Ms between ticks; longer than the product's, to keep a case short. */
const tick = 200
/** Ms that the session lasts, and after which no fault begins. */
const sessionEnd = 21_000
const lastFault = 14_000
/** Ms that a delay or a pause of a fault lasts. */
const faultDuration = 2500
/** Ms that an outage of a fault lasts. */
const outageDuration = 2500
/** Ms after which an operator without an answer asks another instance. */
const operatorPatience = 3000

/** Steps of the protocol, each with the occurrences among which the seed chooses. */
const steps = {
  publishAppend: 3,
  publishReadBack: 6,
  followerRead: 60,
  peerDigest: 90,
  peerWant: 3,
  peerDifference: 30,
  snapshotAppend: 3,
  expiry: 10,
  start: 8,
  wake: 1
} as const

type Step = keyof typeof steps

const logSteps: readonly Step[] = ['publishAppend', 'publishReadBack', 'followerRead', 'snapshotAppend']
const appendSteps: readonly Step[] = ['publishAppend', 'snapshotAppend']
const peerSteps: readonly Step[] = ['peerDigest', 'peerWant', 'peerDifference']
const applies: Applicability = { applies: true }
const not = (reason: string): Applicability => ({ applies: false, reason })

const isStep = (step: string): step is Step => Object.hasOwn(steps, step)

/** Faults of a process or of its surroundings, which may come at any step. */
const anywhere: readonly Fault[] = ['crash', 'restartEmpty', 'freeze', 'outage', 'racingPublishers', 'herdRestart', 'slow']

const applicability = (step: string, fault: Fault): Applicability => {
  if (!isStep(step)) return not('no such step')
  if (fault === 'lapsedLease') return not('the protocol holds no lease')
  if (anywhere.includes(fault)) return applies
  if (peerSteps.includes(step)) return fault === 'lostAck' ? not('messages between peers are not acknowledged') : applies
  if (!logSteps.includes(step)) return fault === 'late' ? applies : not('nothing is sent at this step')
  if (fault === 'gap') return appendSteps.includes(step) ? not('an append has no sequence of records') : applies
  return applies
}

/** How the message or operation of a faulty step fares. */
const passageOf = (step: Step, fault: Fault): Passage => {
  const onLog = logSteps.includes(step)
  switch (fault) {
    case 'cutBefore': return onLog ? { kind: 'log', fault: 'cutBefore' } : { kind: 'dropped' }
    case 'cutAfter': return onLog ? { kind: 'log', fault: 'lostAck' } : { kind: 'cut' }
    case 'lostAck': return { kind: 'silent' }
    case 'late': return appendSteps.includes(step) ? { kind: 'effectLater', delay: faultDuration } : { kind: 'delayed', delay: faultDuration }
    case 'slow': return { kind: 'delayed', delay: faultDuration }
    case 'duplicate': return { kind: 'twice' }
    case 'crossed': return { kind: 'crossed' }
    case 'gap': return onLog ? { kind: 'holed' } : { kind: 'dropped' }
    case 'outage': return onLog ? { kind: 'log', fault: 'outage' } : { kind: 'dropped' }
    case 'restartEmpty': return onLog ? { kind: 'log', fault: 'cutBefore' } : { kind: 'dropped' }
    case 'crash':
    case 'freeze':
    case 'lapsedLease':
    case 'racingPublishers':
    case 'herdRestart': return { kind: 'whole' }
  }
}

const stepOf = (effect: ConfigMachineEffect, publishing: boolean): Step | undefined => {
  switch (effect.kind) {
    case 'log.append': return (effect.payload as { kind: string }).kind === 'publish' ? 'publishAppend' : 'snapshotAppend'
    case 'log.read': return publishing ? 'publishReadBack' : 'followerRead'
    case 'peer.send':
      if (effect.message.kind === 'config.digest') return 'peerDigest'
      return effect.message.kind === 'config.want' ? 'peerWant' : 'peerDifference'
    default: return undefined
  }
}

const textOf = (change: string): string =>
  ['workspace listings # asked by Ines, Listings', 'workspace guidance # asked by Tom, Guidance', 'model drafter version=7 # asked by Rae, Platform',
    `priority workspace=listings -> ${change.length} # asked by ${change}, Listings`, ''].join('\n')

/** A publish as its operator sees it. */
interface Operation {
  readonly id: string
  readonly base: number
  readonly requests: number[]
  instance: FleetInstance
  done: boolean
}

/** Runs one session; `seen` counts the occurrences of steps. */
const runSession = (hash: Hash, plan: Plan, seen: Map<Step, number>): readonly Violation[] => {
  const random = createRandom(plan.seed)
  const pending = plan.injections.map(({ step, fault }) => ({ step, fault, occurrence: 1 + (isStep(step) ? random.below(steps[step]) : 0) }))
  const operations: Operation[] = []
  let races = 0

  const undisturbedSince = (instance: FleetInstance): number => {
    const up = instance.running && fleet.time.now() >= instance.frozenUntil
    return up ? Math.max(instance.faultUntil, instance.linksAwayUntil, instance.since) : Infinity
  }

  const circumstancesOf = (instance: FleetInstance): Circumstances => ({
    undisturbedSince: undisturbedSince(instance),
    alone: fleet.time.now() < instance.linksAwayUntil + tick,
    knowable: (version, time) =>
      fleet.instances.some(each => each.logAwayUntil <= time) ||
      fleet.instances.some(each => undisturbedSince(each) <= time && each.highest >= version && each.highestSince <= time)
  })

  /** Applies what a fault does beyond the one message or operation. */
  const strike = (instance: FleetInstance, fault: Fault): void => {
    switch (fault) {
      case 'crash': return fleet.restart(instance, 800)
      case 'restartEmpty': return fleet.restart(instance, 1)
      case 'freeze': return fleet.freeze(instance, faultDuration)
      case 'outage':
        if (random.below(2) === 0) fleet.instances.forEach(each => { each.logAwayUntil = fleet.time.now() + outageDuration })
        else instance.logAwayUntil = instance.linksAwayUntil = fleet.time.now() + outageDuration
        return
      case 'slow':
        instance.logDelay = 1500
        fleet.time.after(2 * faultDuration, () => { instance.logDelay = 2 })
        return
      case 'racingPublishers': return publish(`Racer${races++}`, fleet.instances[random.below(size)], instance.config.current()?.version ?? 0)
      case 'herdRestart': return fleet.instances.forEach((each, index) => fleet.restart(each, 20 + 40 * index))
      default:
    }
  }

  const due = (step: Step): Fault[] => {
    const count = (seen.get(step) ?? 0) + 1
    seen.set(step, count)
    if (pending.length === 0 || fleet.time.now() > lastFault) return []
    return pending.filter(each => each.step === step && each.occurrence === count).map(each => each.fault)
  }

  const meet = (step: Step, instance: FleetInstance): readonly Fault[] => {
    const struck = due(step)
    for (const fault of struck) strike(instance, fault)
    return struck
  }

  const passage = (instance: FleetInstance, effect: ConfigMachineEffect): Passage => {
    const step = stepOf(effect, operations.some(operation => !operation.done && operation.instance === instance))
    if (step === undefined) return { kind: 'whole' }
    const struck = meet(step, instance)
    return struck.length === 0 ? { kind: 'whole' } : passageOf(step, struck[0])
  }

  const published = (request: number, result: PublishResult): void => {
    const operation = operations.find(each => each.requests.includes(request))
    if (operation === undefined || operation.done) return
    if (result.kind === 'unavailable' && result.outcome === 'unknown') return
    operation.done = true
    checker.result(operation.id, result)
  }

  let nextRequest = 1
  const submit = (operation: Operation): void => {
    if (operation.done || fleet.time.now() > sessionEnd - operatorPatience) return
    const request = nextRequest++
    operation.requests.push(request)
    fleet.give(operation.instance, {
      kind: 'config.publish', request, publishId: operation.id, base: operation.base, text: textOf(operation.id), publisher: operation.id
    })
    fleet.time.after(operatorPatience, () => {
      operation.instance = fleet.instances[(fleet.instances.indexOf(operation.instance) + 1) % size]
      submit(operation)
    })
  }

  const publish = (id: string, instance: FleetInstance, base: number): void => {
    const operation: Operation = { id, base, requests: [], instance, done: false }
    operations.push(operation)
    fleet.time.after(1, () => submit(operation))
  }

  /** Publishes on top of what an instance has in force. */
  const publishAt = (time: number, id: string, index: number): void => fleet.time.at(time, () => {
    const instance = fleet.instances[index]
    publish(id, instance, instance.config.current()?.version ?? 0)
  })

  const restartAt = (time: number, index: number): void => fleet.time.at(time, () => {
    fleet.restart(fleet.instances[index], 50)
    fleet.time.after(60, () => { meet('start', fleet.instances[index]) })
  })

  const expireEverySecond = (): void => {
    const late = meet('expiry', fleet.instances[random.below(size)]).includes('late')
    if (!late) fleet.expire()
    fleet.time.after(1000, expireEverySecond)
  }

  const fleet: Fleet = createFleet({ hash, size, seed: plan.seed, variant: plan.variant, retention, tick, passage, published, watch: instance => checker.watch(instance, circumstancesOf(instance), fleet.time.now()) })
  const checker = createConfigChecker(fleet.appended)

  fleet.instances.forEach(instance => fleet.time.at(5, () => { meet('start', instance) }))
  publishAt(600, 'Ines', 0)
  publishAt(2500, 'Tom', 1)
  publishAt(2500, 'Priya', 2)
  fleet.time.at(4500, () => fleet.freeze(fleet.instances[3], 4000))
  publishAt(5500, 'Col', 4)
  fleet.time.at(8501, () => { meet('wake', fleet.instances[3]) })
  fleet.time.at(9000, () => { fleet.instances.slice(0, 3).forEach(each => { each.logAwayUntil = fleet.time.now() + 5000 }) })
  restartAt(9500, 0)
  publishAt(10_000, 'Ayo', 5)
  fleet.time.at(1500, expireEverySecond)
  fleet.time.at(15_000, () => fleet.instances.forEach((each, index) => fleet.restart(each, 20 + 40 * index)))
  fleet.time.runUntil(sessionEnd)
  return checker.finish(fleet.instances, sessionEnd)
}

/**
 * Creates the scenario.
 *
 * @param hash - hash functions, loaded
 */
export const configScenario = (hash: Hash): Scenario => ({
  name: 'config',
  steps: Object.keys(steps),
  promises: ['configForward'],
  variants: configVariants,
  applicability,
  run: plan => runSession(hash, plan, new Map())
})

/**
 * Counts how often each step occurs without faults.
 *
 * @param hash - hash functions, loaded
 * @param seed - seed of the session
 */
export const countSteps = (hash: Hash, seed: number): ReadonlyMap<string, number> => {
  const seen = new Map<Step, number>()
  runSession(hash, { injections: [], seed, variant: 'sound' }, seen)
  return seen
}
