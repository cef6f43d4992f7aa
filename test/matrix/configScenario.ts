/**
 * Runs the configuration protocol under faults: six instances, operators that
 * publish concurrently, a pause, restarts and expired records. A fault is
 * injected at an occurrence of a step that the seed selects.
 */
import { createRandom } from '../../src/random.js'
import { createConfigChecker } from './configCheckers.js'
import { createFleet } from './configFleet.js'
import { configVariants } from './configVariants.js'
import type { ConfigMachineEffect } from '../../src/config/configMachine.js'
import type { PublishResult } from '../../src/config/configTypes.js'
import type { Hash } from '../../src/hash.js'
import type { InstanceConditions } from './configCheckers.js'
import type { Delivery, Fleet, FleetInstance } from './configFleet.js'
import type { Applicability, Fault, Plan, Scenario, Violation } from './matrixTypes.js'

/** Number of instances. */
const fleetSize = 6
/** How long the log retains records, in ms. */
const retention = 9000
/** Interval between ticks, in ms; longer than in production so that a case runs quickly. */
const tickInterval = 200
/** Duration of a session, in ms. */
const sessionEnd = 21_000
/** Time after which no fault is injected, in ms. */
const lastFaultAt = 14_000
/** Duration of an injected delay or pause, in ms. */
const faultDuration = 2500
/** Duration of an injected outage, in ms. */
const outageDuration = 2500
/** Time after which an operator without a result retries on another instance, in ms. */
const operatorTimeout = 3000

/** Steps of the protocol, each with the number of occurrences from which the seed selects one. */
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
const doesNotApply = (reason: string): Applicability => ({ applies: false, reason })

const isStep = (step: string): step is Step => Object.hasOwn(steps, step)

/** Faults of a process or its environment, which may be injected at any step. */
const processFaults: readonly Fault[] = ['crash', 'restartEmpty', 'freeze', 'outage', 'racingPublishers', 'herdRestart', 'slow']

const applicability = (step: string, fault: Fault): Applicability => {
  if (!isStep(step)) return doesNotApply('no such step')
  if (fault === 'lapsedLease') return doesNotApply('the protocol holds no lease')
  if (processFaults.includes(fault)) return applies
  if (peerSteps.includes(step)) return fault === 'lostAck' ? doesNotApply('messages between peers are not acknowledged') : applies
  if (!logSteps.includes(step)) return fault === 'late' ? applies : doesNotApply('nothing is sent at this step')
  if (fault === 'gap') return appendSteps.includes(step) ? doesNotApply('an append has no sequence of records') : applies
  return applies
}

/** How the message or log operation of a step with a fault is delivered. */
const deliveryForFault = (step: Step, fault: Fault): Delivery => {
  const onLog = logSteps.includes(step)
  switch (fault) {
    case 'cutBefore': return onLog ? { kind: 'log', fault: 'cutBefore' } : { kind: 'dropped' }
    case 'cutAfter': return onLog ? { kind: 'log', fault: 'lostAck' } : { kind: 'cut' }
    case 'lostAck': return { kind: 'silent' }
    case 'late': return appendSteps.includes(step) ? { kind: 'effectLater', delay: faultDuration } : { kind: 'delayed', delay: faultDuration }
    case 'slow': return { kind: 'delayed', delay: faultDuration }
    case 'duplicate': return { kind: 'duplicated' }
    case 'crossed': return { kind: 'crossed' }
    case 'gap': return onLog ? { kind: 'firstRecordMissing' } : { kind: 'dropped' }
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

/** A publish and the requests that its operator has sent for it. */
interface OperatorPublish {
  readonly id: string
  readonly base: number
  readonly requests: number[]
  instance: FleetInstance
  done: boolean
}

/** Runs one session; `stepCounts` counts the occurrences of each step. */
const runSession = (hash: Hash, plan: Plan, stepCounts: Map<Step, number>): readonly Violation[] => {
  const random = createRandom(plan.seed)
  const pending = plan.injections.map(({ step, fault }) => ({ step, fault, occurrence: 1 + (isStep(step) ? random.below(steps[step]) : 0) }))
  const operatorPublishes: OperatorPublish[] = []
  let races = 0

  const faultFreeSince = (instance: FleetInstance): number => {
    const up = instance.running && fleet.time.now() >= instance.frozenUntil
    return up ? Math.max(instance.faultUntil, instance.linksDownUntil, instance.since) : Infinity
  }

  const conditionsOf = (instance: FleetInstance): InstanceConditions => ({
    faultFreeSince: faultFreeSince(instance),
    isolated: fleet.time.now() < instance.linksDownUntil + tickInterval,
    isDiscoverable: (version, time) =>
      fleet.instances.some(each => each.logUnreachableUntil <= time) ||
      fleet.instances.some(each => faultFreeSince(each) <= time && each.highestVersion >= version && each.highestVersionSince <= time)
  })

  /** Applies the effects of a fault other than those on the message or log operation of the step. */
  const applyFault = (instance: FleetInstance, fault: Fault): void => {
    switch (fault) {
      case 'crash': return fleet.restart(instance, 800)
      case 'restartEmpty': return fleet.restart(instance, 1)
      case 'freeze': return fleet.freeze(instance, faultDuration)
      case 'outage':
        if (random.below(2) === 0) fleet.instances.forEach(each => { each.logUnreachableUntil = fleet.time.now() + outageDuration })
        else instance.logUnreachableUntil = instance.linksDownUntil = fleet.time.now() + outageDuration
        return
      case 'slow':
        instance.logDelay = 1500
        fleet.time.after(2 * faultDuration, () => { instance.logDelay = 2 })
        return
      case 'racingPublishers': return publish(`Racer${races++}`, fleet.instances[random.below(fleetSize)], instance.config.current()?.version ?? 0)
      case 'herdRestart': return fleet.instances.forEach((each, index) => fleet.restart(each, 20 + 40 * index))
      default:
    }
  }

  const dueFaults = (step: Step): Fault[] => {
    const count = (stepCounts.get(step) ?? 0) + 1
    stepCounts.set(step, count)
    if (pending.length === 0 || fleet.time.now() > lastFaultAt) return []
    return pending.filter(each => each.step === step && each.occurrence === count).map(each => each.fault)
  }

  /** Counts an occurrence of a step, applies the faults injected there and returns them. */
  const reachStep = (step: Step, instance: FleetInstance): readonly Fault[] => {
    const faults = dueFaults(step)
    for (const fault of faults) applyFault(instance, fault)
    return faults
  }

  const deliveryOf = (instance: FleetInstance, effect: ConfigMachineEffect): Delivery => {
    const step = stepOf(effect, operatorPublishes.some(operatorPublish => !operatorPublish.done && operatorPublish.instance === instance))
    if (step === undefined) return { kind: 'whole' }
    const faults = reachStep(step, instance)
    return faults.length === 0 ? { kind: 'whole' } : deliveryForFault(step, faults[0])
  }

  const onPublished = (request: number, result: PublishResult): void => {
    const operatorPublish = operatorPublishes.find(each => each.requests.includes(request))
    if (operatorPublish === undefined || operatorPublish.done) return
    if (result.kind === 'unavailable' && result.outcome === 'unknown') return
    operatorPublish.done = true
    checker.result(operatorPublish.id, result)
  }

  let nextRequest = 1
  const submit = (operatorPublish: OperatorPublish): void => {
    if (operatorPublish.done || fleet.time.now() > sessionEnd - operatorTimeout) return
    const request = nextRequest++
    operatorPublish.requests.push(request)
    fleet.dispatch(operatorPublish.instance, {
      kind: 'config.publish', request, publishId: operatorPublish.id, base: operatorPublish.base, text: textOf(operatorPublish.id), publisher: operatorPublish.id
    })
    fleet.time.after(operatorTimeout, () => {
      operatorPublish.instance = fleet.instances[(fleet.instances.indexOf(operatorPublish.instance) + 1) % fleetSize]
      submit(operatorPublish)
    })
  }

  const publish = (id: string, instance: FleetInstance, base: number): void => {
    const operatorPublish: OperatorPublish = { id, base, requests: [], instance, done: false }
    operatorPublishes.push(operatorPublish)
    fleet.time.after(1, () => submit(operatorPublish))
  }

  /** Publishes at `time`, in ms, a version based on the one active on an instance. */
  const publishAt = (time: number, id: string, index: number): void => fleet.time.at(time, () => {
    const instance = fleet.instances[index]
    publish(id, instance, instance.config.current()?.version ?? 0)
  })

  const restartAt = (time: number, index: number): void => fleet.time.at(time, () => {
    fleet.restart(fleet.instances[index], 50)
    fleet.time.after(60, () => { reachStep('start', fleet.instances[index]) })
  })

  const expireEverySecond = (): void => {
    const late = reachStep('expiry', fleet.instances[random.below(fleetSize)]).includes('late')
    if (!late) fleet.expire()
    fleet.time.after(1000, expireEverySecond)
  }

  const fleet: Fleet = createFleet({ hash, size: fleetSize, seed: plan.seed, variant: plan.variant, retention, tick: tickInterval, deliveryOf, onPublished, observe: instance => checker.observe(instance, conditionsOf(instance), fleet.time.now()) })
  const checker = createConfigChecker(fleet.appended)

  fleet.instances.forEach(instance => fleet.time.at(5, () => { reachStep('start', instance) }))
  publishAt(600, 'Ines', 0)
  publishAt(2500, 'Tom', 1)
  publishAt(2500, 'Priya', 2)
  fleet.time.at(4500, () => fleet.freeze(fleet.instances[3], 4000))
  publishAt(5500, 'Col', 4)
  fleet.time.at(8501, () => { reachStep('wake', fleet.instances[3]) })
  fleet.time.at(9000, () => { fleet.instances.slice(0, 3).forEach(each => { each.logUnreachableUntil = fleet.time.now() + 5000 }) })
  restartAt(9500, 0)
  publishAt(10_000, 'Ayo', 5)
  fleet.time.at(1500, expireEverySecond)
  fleet.time.at(15_000, () => fleet.instances.forEach((each, index) => fleet.restart(each, 20 + 40 * index)))
  fleet.time.runUntil(sessionEnd)
  return checker.finish(fleet.instances, sessionEnd)
}

/**
 * Creates the configuration scenario of the fault matrix.
 *
 * @param hash - the hash functions, loaded
 * @returns the scenario
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
 * Counts how often each step occurs in a session without faults.
 *
 * @param hash - the hash functions, loaded
 * @param seed - seed of the session
 * @returns the number of occurrences by step
 */
export const countSteps = (hash: Hash, seed: number): ReadonlyMap<string, number> => {
  const stepCounts = new Map<Step, number>()
  runSession(hash, { injections: [], seed, variant: 'sound' }, stepCounts)
  return stepCounts
}
