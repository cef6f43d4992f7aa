/** A fleet of the letter's size that publishes, with the time to force and the bytes between peers. */
import { createRandom } from '../../src/random.js'
import { createFleet } from './configFleet.js'
import type { Fleet, FleetInstance } from './configFleet.js'
import type { PublishResult } from '../../src/config/configTypes.js'
import type { Hash } from '../../src/hash.js'

/** What to run. */
export interface PropagationTrial {
  readonly size: number
  readonly seed: number
  /** Ms between ticks. */
  readonly tick: number
  readonly publishes: number
  /** Ms between publishes. */
  readonly interval: number
  /** The part of the fleet that cannot reach the log. */
  readonly logAway: number
  /** The part of the messages between peers that is lost. */
  readonly loss: number
  readonly lines: number
  /** Ms without a publish, for the bytes of rest. */
  readonly rest: number
}

/** What came of it. */
export interface PropagationResult {
  readonly accepted: number
  /** Ms from each record's append until the last instance had it in force. */
  readonly delays: readonly number[]
  /** Bytes sent plus received by an instance in a second, on average. */
  readonly restBytes: number
  /** Bytes sent plus received by an instance for one publish, on average. */
  readonly publishBytes: number
  /** The most that one instance sent and received for one publish. */
  readonly worstPublishBytes: number
  /** Log reads of the whole fleet in a second. */
  readonly reads: number
}

const settleTime = 3000

const textOf = (lines: number, change: number): string => {
  const head = ['workspace listings # asked by Ines, Listings', 'model drafter version=7 # asked by Rae, Platform']
  const body = Array.from({ length: lines - 2 }, (_, index) =>
    `priority workspace=listings path=/x/${index} -> ${index === change ? 1 : 0} # asked by Ines, Listings`)
  return [...head, ...body, ''].join('\n')
}

const traffic = (instance: FleetInstance): number => instance.sentBytes + instance.receivedBytes

/**
 * Runs a trial on virtual time.
 *
 * @param hash - hash functions, loaded
 * @param trial - what to run
 */
export const runPropagationTrial = (hash: Hash, trial: PropagationTrial): PropagationResult => {
  const results: PublishResult[] = []
  const reached = new Map<number, number>()
  const holders = new Map<number, number>()
  const losses = createRandom(trial.seed)
  let reads = 0
  const watch = (instance: FleetInstance): void => {
    const version = instance.config.current()?.version ?? 0
    for (; instance.highest < version; instance.highest++) {
      const count = (holders.get(instance.highest + 1) ?? 0) + 1
      holders.set(instance.highest + 1, count)
      if (count === trial.size) reached.set(instance.highest + 1, fleet.time.now())
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
    passage: (_, effect) => {
      if (effect.kind === 'log.read') reads++
      return effect.kind === 'peer.send' && losses.unit() < trial.loss ? { kind: 'dropped' } : { kind: 'whole' }
    },
    published: (_, result) => { results.push(result) },
    watch
  })
  const away = Math.floor(trial.size * trial.logAway)
  fleet.instances.slice(0, away).forEach(instance => { instance.logAwayUntil = Infinity })
  fleet.time.runUntil(settleTime)

  const publish = (index: number): void => {
    const instance = fleet.instances[trial.size - 1 - index]
    fleet.give(instance, {
      kind: 'config.publish', request: index, publishId: `p${index}`, base: index, text: textOf(trial.lines, index), publisher: 'Ines'
    })
  }

  /** Publishes once and answers with the traffic of each instance until the next publish. */
  const measure = (index: number): number[] => {
    const before = fleet.instances.map(traffic)
    publish(index)
    fleet.time.runUntil(fleet.time.now() + trial.interval)
    return fleet.instances.map((instance, place) => traffic(instance) - before[place])
  }

  const perPublish = Array.from({ length: trial.publishes }, (_, index) => measure(index))
  const [restStart, readsBefore] = [fleet.instances.map(traffic), reads]
  fleet.time.runUntil(fleet.time.now() + trial.rest)
  const restTotal = fleet.instances.reduce((sum, instance, place) => sum + traffic(instance) - restStart[place], 0)
  const restBytes = restTotal / trial.size / (trial.rest / 1000)
  const restOfInterval = restBytes * trial.interval / 1000
  // The first version goes out whole; the later ones show the cost of a difference.
  const later = perPublish.slice(1).flat().map(bytes => bytes - restOfInterval)
  return {
    accepted: results.filter(result => result.kind === 'accepted').length,
    delays: fleet.appended.filter(record => (record.payload as { kind: string }).kind === 'publish')
      .map((record, index) => (reached.get(index + 1) ?? Infinity) - record.at),
    restBytes,
    publishBytes: later.reduce((sum, bytes) => sum + bytes, 0) / later.length,
    worstPublishBytes: Math.max(...later),
    reads: (reads - readsBefore) / (trial.rest / 1000)
  }
}
