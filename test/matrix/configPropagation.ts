/** Simulates a fleet of a given size that publishes versions, and measures how long they take to become active everywhere and the bytes sent between peers. */
import { createRandom } from '../../src/random.js'
import { createFleet } from './configFleet.js'
import type { Fleet, FleetInstance } from './configFleet.js'
import type { PublishResult } from '../../src/config/configTypes.js'
import type { Hash } from '../../src/hash.js'

/** Parameters of a trial. */
export interface PropagationTrial {
  /** Number of instances. */
  readonly size: number
  readonly seed: number
  /** Interval between ticks, in ms. */
  readonly tick: number
  /** Number of publishes. */
  readonly publishes: number
  /** Interval between publishes, in ms. */
  readonly interval: number
  /** Fraction of the fleet that cannot reach the log. */
  readonly logAway: number
  /** Fraction of the messages between peers that is lost. */
  readonly loss: number
  /** Number of lines of the rules text. */
  readonly lines: number
  /** Duration of the final phase without publishes, in which idle traffic is measured, in ms. */
  readonly rest: number
}

/** Measurements of a trial. */
export interface PropagationResult {
  /** Number of accepted publishes. */
  readonly accepted: number
  /** Time from each record's append until its version was active on every instance, in ms; Infinity if that did not happen. */
  readonly delays: readonly number[]
  /** Mean bytes sent plus received by an instance per second without publishes. */
  readonly restBytes: number
  /** Mean bytes sent plus received by an instance for one publish, without idle traffic. */
  readonly publishBytes: number
  /** Maximum bytes sent plus received by one instance for one publish, without idle traffic. */
  readonly worstPublishBytes: number
  /** Log reads of the whole fleet per second without publishes. */
  readonly reads: number
}

/** Time before the first publish, in ms. */
const settleTime = 3000

const textOf = (lines: number, change: number): string => {
  const head = ['workspace listings # asked by Ines, Listings', 'model drafter version=7 # asked by Rae, Platform']
  const body = Array.from({ length: lines - 2 }, (_, index) =>
    `priority workspace=listings path=/x/${index} -> ${index === change ? 1 : 0} # asked by Ines, Listings`)
  return [...head, ...body, ''].join('\n')
}

const traffic = (instance: FleetInstance): number => instance.sentBytes + instance.receivedBytes

/**
 * Runs a trial in virtual time.
 *
 * @param hash - the hash functions, loaded
 * @param trial - parameters of the trial
 * @returns the measurements
 */
export const runPropagationTrial = (hash: Hash, trial: PropagationTrial): PropagationResult => {
  const results: PublishResult[] = []
  const activeEverywhereAt = new Map<number, number>()
  const instanceCounts = new Map<number, number>()
  const losses = createRandom(trial.seed)
  let reads = 0
  const observe = (instance: FleetInstance): void => {
    const version = instance.config.current()?.version ?? 0
    for (; instance.highestVersion < version; instance.highestVersion++) {
      const count = (instanceCounts.get(instance.highestVersion + 1) ?? 0) + 1
      instanceCounts.set(instance.highestVersion + 1, count)
      if (count === trial.size) activeEverywhereAt.set(instance.highestVersion + 1, fleet.time.now())
    }
  }
  const fleet: Fleet = createFleet({
    hash,
    size: trial.size,
    seed: trial.seed,
    variant: 'sound',
    retention: 24 * 3_600_000,
    tick: trial.tick,
    countBytes: true,
    deliveryOf: (_, effect) => {
      if (effect.kind === 'log.read') reads++
      return effect.kind === 'peer.send' && losses.unit() < trial.loss ? { kind: 'dropped' } : { kind: 'whole' }
    },
    onPublished: (_, result) => { results.push(result) },
    observe
  })
  const unreachableCount = Math.floor(trial.size * trial.logAway)
  fleet.instances.slice(0, unreachableCount).forEach(instance => { instance.logUnreachableUntil = Infinity })
  fleet.time.runUntil(settleTime)

  const publish = (index: number): void => {
    const instance = fleet.instances[trial.size - 1 - index]
    fleet.dispatch(instance, {
      kind: 'config.publish', request: index, publishId: `p${index}`, base: index, text: textOf(trial.lines, index), publisher: 'Ines'
    })
  }

  /** Publishes once and returns the traffic of each instance until the next publish, in bytes. */
  const measure = (index: number): number[] => {
    const before = fleet.instances.map(traffic)
    publish(index)
    fleet.time.runUntil(fleet.time.now() + trial.interval)
    return fleet.instances.map((instance, position) => traffic(instance) - before[position])
  }

  const perPublish = Array.from({ length: trial.publishes }, (_, index) => measure(index))
  const [restStart, readsBefore] = [fleet.instances.map(traffic), reads]
  fleet.time.runUntil(fleet.time.now() + trial.rest)
  const restTotal = fleet.instances.reduce((sum, instance, position) => sum + traffic(instance) - restStart[position], 0)
  const restBytes = restTotal / trial.size / (trial.rest / 1000)
  const restOfInterval = restBytes * trial.interval / 1000
  // The first version contains the whole text, so only the later ones show the cost of a patch.
  const later = perPublish.slice(1).flat().map(bytes => bytes - restOfInterval)
  return {
    accepted: results.filter(result => result.kind === 'accepted').length,
    delays: fleet.appended.filter(record => (record.payload as { kind: string }).kind === 'publish')
      .map((record, index) => (activeEverywhereAt.get(index + 1) ?? Infinity) - record.at),
    restBytes,
    publishBytes: later.reduce((sum, bytes) => sum + bytes, 0) / later.length,
    worstPublishBytes: Math.max(...later),
    reads: (reads - readsBefore) / (trial.rest / 1000)
  }
}
