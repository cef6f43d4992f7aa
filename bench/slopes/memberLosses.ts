/** Membership alone in virtual time: its cost at rest, and how losses become known. */
import type { Hash } from '../../src/hash.js'
import { createMembership } from '../../src/membership/membershipMachine.js'
import type { Membership, MembershipFeatureEffect } from '../../src/membership/membershipTypes.js'
import { tickInterval } from '../../src/ports/peerPort.js'
import { createRandom } from '../../src/random.js'
import { instanceMember } from '../../test/fakes/fakeEndpoints.js'
import { createFakeNetwork } from '../../test/fakes/fakeNetwork.js'
import { createVirtualTime } from '../../test/fakes/virtualTime.js'
import { createCounter, liveBytes, processorTime } from './meter.js'

/** Rates of one instance in a second. */
export interface FeatureCost {
  readonly at: number
  readonly messages: number
  /** Sent and received. */
  readonly bytes: number
  /** Microseconds. */
  readonly processor: number
  readonly heap: number
}

/** How a loss went. */
export interface Loss {
  readonly name: string
  readonly lost: number
  /** Ms until every survivor had it. */
  readonly known: number
  /** Bytes a second of an instance on average while it became known, sent and received. */
  readonly bytes: number
  /** Microseconds of processor time of an instance in a second meanwhile. */
  readonly processor: number
}

interface Fleet {
  readonly cost: () => FeatureCost
  readonly lose: (name: string, lost: readonly string[]) => Loss
  readonly part: (name: string, duration: number) => Loss
  readonly restore: (name: string, back: readonly string[]) => Loss
}

const warmUp = 25_000
const window = 10_000
const longest = 120_000
const step = 100

/** Starts instances that know one another from the platform's list. */
export const startMembers = (hash: Hash, size: number): Fleet => {
  const heapBefore = liveBytes()
  const time = createVirtualTime(1_000_000)
  const network = createFakeNetwork(time, createRandom(1))
  const counter = createCounter()
  const members = Array.from({ length: size }, (_, index) => instanceMember(index))
  const nodes = new Map<string, Membership>()
  let starts = 0
  let parted = false
  const side = (id: string): number => Number(id.slice(1)) % 2
  network.intercept(({ from, to, message }) => {
    counter.note(message)
    return parted && side(from) !== side(to) ? 'drop' : 'deliver'
  })

  const perform = (id: string, effects: readonly MembershipFeatureEffect[]): void => {
    for (const effect of effects) if (effect.kind === 'peer.send') network.send({ from: id, to: effect.to, message: effect.message })
  }

  const start = (id: string): void => {
    const self = { ...members[Number(id.slice(1))], incarnation: `${id}-${++starts}` }
    const node = createMembership({ self, seeds: [], random: createRandom(starts), hash, startedAt: time.now() })
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

  const total = (): number => [...counter.stop().values()].reduce((sum, { bytes }) => sum + 2 * bytes, 0)

  const until = (name: string, lost: number, holds: (node: Membership, id: string) => boolean): Loss => {
    const begun = time.now()
    counter.start()
    const processor = processorTime(() => {
      while (![...nodes].every(([id, node]) => holds(node, id)) && time.now() - begun < longest) time.runUntil(time.now() + step)
    })
    const known = time.now() - begun
    const per = nodes.size * Math.max(step, known) / 1_000
    return { name, lost, known: known < longest ? known : Infinity, bytes: total() / per, processor: processor / per }
  }

  const lose: Fleet['lose'] = (name, lost) => {
    for (const id of lost) {
      nodes.delete(id)
      network.leave(id)
    }
    return until(name, lost.length, node => lost.every(id => node.stateOf(id) === 'dead'))
  }

  const restore: Fleet['restore'] = (name, back) => {
    back.forEach(start)
    return until(name, back.length, (node, own) => back.every(id => id === own || node.stateOf(id) === 'alive'))
  }

  const part: Fleet['part'] = (name, duration) => {
    parted = true
    time.runUntil(time.now() + duration)
    parted = false
    return until(name, 0, (node, own) => [...nodes.keys()].every(id => id === own || node.stateOf(id) === 'alive'))
  }

  const cost = (): FeatureCost => {
    counter.start()
    time.runUntil(time.now() + window)
    const count = counter.stop().get('membership')
    const per = size * window / 1_000
    const processor = processorTime(() => time.runUntil(time.now() + window)) / per
    return { at: size, messages: (count?.messages ?? 0) / per, bytes: 2 * (count?.bytes ?? 0) / per, processor, heap: (liveBytes() - heapBefore) / size }
  }

  members.forEach(({ id }) => start(id))
  time.runUntil(time.now() + warmUp)
  return { cost, lose, part, restore }
}
