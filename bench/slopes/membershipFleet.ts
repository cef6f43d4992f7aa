/**
 * A fleet of instances that run membership alone in virtual time: its cost at
 * rest, and the time and cost until failures and recoveries are known to all.
 */
import type { Hash } from '../../src/hash.js'
import { createMembership } from '../../src/membership/membershipMachine.js'
import type { Membership, MembershipFeatureEffect } from '../../src/membership/membershipTypes.js'
import { tickInterval } from '../../src/ports/peerPort.js'
import { createRandom } from '../../src/random.js'
import { instanceMember } from '../../test/fakes/fakeEndpoints.js'
import { createFakeNetwork } from '../../test/fakes/fakeNetwork.js'
import { createVirtualTime } from '../../test/fakes/virtualTime.js'
import { createMessageCounter, liveBytes, processorTime } from './meter.js'

/** The cost of a feature on one instance. */
export interface FeatureCost {
  /** The size that was varied, such as the number of instances or workers. */
  readonly at: number
  /** Messages sent per second. */
  readonly messages: number
  /** Bytes per second, sent and received together. */
  readonly bytes: number
  /** Processor time in microseconds per second. */
  readonly processor: number
  /** Live heap in bytes. */
  readonly heap: number
}

/** The time and cost of a membership change until all instances know it. */
export interface ConvergenceCost {
  /** Name of the row in the table. */
  readonly name: string
  /** Instances that failed or came back; 0 for a network partition. */
  readonly lost: number
  /** Time until every running instance knew the change, in ms; infinite if longer than two minutes. */
  readonly convergenceTime: number
  /** Mean bytes per second of an instance during that time, sent and received together. */
  readonly bytes: number
  /** Mean processor time of an instance during that time, in microseconds per second. */
  readonly processor: number
}

/** The fleet. `fail`, `partition` and `restore` run until all running instances know the change, or for two minutes at most. */
interface MembershipFleet {
  /** Measures the fleet at rest. */
  readonly cost: () => FeatureCost
  /** Stops instances at once. */
  readonly fail: (name: string, failed: readonly string[]) => ConvergenceCost
  /** Separates instances with even numbers from those with odd numbers for `duration` ms, then measures from the end of the partition. */
  readonly partition: (name: string, duration: number) => ConvergenceCost
  /** Starts failed instances again. */
  readonly restore: (name: string, restored: readonly string[]) => ConvergenceCost
}

const warmUp = 25_000 // ms
const measureTime = 10_000 // ms
const convergenceTimeout = 120_000 // ms
const checkInterval = 100 // ms

/**
 * Starts a fleet whose instances know one another from the platform's membership list.
 *
 * @param hash - hash functions
 * @param size - number of instances
 * @returns the fleet, after a warm-up
 */
export const startMembershipFleet = (hash: Hash, size: number): MembershipFleet => {
  const heapBefore = liveBytes()
  const time = createVirtualTime(1_000_000)
  const network = createFakeNetwork(time, createRandom(1))
  const counter = createMessageCounter()
  const members = Array.from({ length: size }, (_, index) => instanceMember(index))
  const nodes = new Map<string, Membership>()
  let startCount = 0
  let partitioned = false
  const sideOf = (id: string): number => Number(id.slice(1)) % 2
  network.intercept(({ from, to, message }) => {
    counter.record(message)
    return partitioned && sideOf(from) !== sideOf(to) ? 'drop' : 'deliver'
  })

  const perform = (id: string, effects: readonly MembershipFeatureEffect[]): void => {
    for (const effect of effects) if (effect.kind === 'peer.send') network.send({ from: id, to: effect.to, message: effect.message })
  }

  const start = (id: string): void => {
    const self = { ...members[Number(id.slice(1))], incarnation: `${id}-${++startCount}` }
    const node = createMembership({ self, seeds: [], random: createRandom(startCount), hash, startedAt: time.now() })
    nodes.set(id, node)
    network.join(id, (from, message) => perform(id, node.handle({ kind: 'peer.message', from, message }, time.now())))
    node.handle({ kind: 'membership.list', members }, time.now())
    const tick = (): void => {
      if (nodes.get(id) !== node) return
      perform(id, node.handle({ kind: 'tick' }, time.now()))
      time.after(tickInterval, tick)
    }
    tick()
  }

  const countedBytes = (): number => [...counter.stop().values()].reduce((sum, { bytes }) => sum + 2 * bytes, 0)

  const measureConvergence = (name: string, lost: number, isKnown: (node: Membership, id: string) => boolean): ConvergenceCost => {
    const startedAt = time.now()
    counter.start()
    const processor = processorTime(() => {
      while (![...nodes].every(([id, node]) => isKnown(node, id)) && time.now() - startedAt < convergenceTimeout) time.runUntil(time.now() + checkInterval)
    })
    const elapsed = time.now() - startedAt
    const instanceSeconds = nodes.size * Math.max(checkInterval, elapsed) / 1_000
    return { name, lost, convergenceTime: elapsed < convergenceTimeout ? elapsed : Infinity, bytes: countedBytes() / instanceSeconds, processor: processor / instanceSeconds }
  }

  const fail: MembershipFleet['fail'] = (name, failed) => {
    for (const id of failed) {
      nodes.delete(id)
      network.leave(id)
    }
    return measureConvergence(name, failed.length, node => failed.every(id => node.stateOf(id) === 'dead'))
  }

  const restore: MembershipFleet['restore'] = (name, restored) => {
    restored.forEach(start)
    return measureConvergence(name, restored.length, (node, self) => restored.every(id => id === self || node.stateOf(id) === 'alive'))
  }

  const partition: MembershipFleet['partition'] = (name, duration) => {
    partitioned = true
    time.runUntil(time.now() + duration)
    partitioned = false
    return measureConvergence(name, 0, (node, self) => [...nodes.keys()].every(id => id === self || node.stateOf(id) === 'alive'))
  }

  const cost = (): FeatureCost => {
    counter.start()
    time.runUntil(time.now() + measureTime)
    const count = counter.stop().get('membership')
    const instanceSeconds = size * measureTime / 1_000
    const processor = processorTime(() => time.runUntil(time.now() + measureTime)) / instanceSeconds
    return { at: size, messages: (count?.messages ?? 0) / instanceSeconds, bytes: 2 * (count?.bytes ?? 0) / instanceSeconds, processor, heap: (liveBytes() - heapBefore) / size }
  }

  members.forEach(({ id }) => start(id))
  time.runUntil(time.now() + warmUp)
  return { cost, fail, partition, restore }
}
