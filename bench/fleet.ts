/**
 * Measures bytes, processor time and propagation delays of membership and of the
 * endpoint registry in virtual time:
 * `npx tsx bench/fleet.ts [instances] [workers] [used]`, where `used` is the
 * number of workers that each instance sends requests to.
 */
import { loadHash } from '../src/hash.js'
import type { Hash } from '../src/hash.js'
import { createMembership } from '../src/membership/membershipMachine.js'
import type { Membership, MembershipFeatureEffect } from '../src/membership/membershipTypes.js'
import { tickInterval } from '../src/ports/peerPort.js'
import { createRandom } from '../src/random.js'
import { instanceMember, startEndpointsFleet } from '../test/fakes/fakeEndpoints.js'
import { createFakeNetwork } from '../test/fakes/fakeNetwork.js'
import type { FakeNetwork } from '../test/fakes/fakeNetwork.js'
import { createVirtualTime } from '../test/fakes/virtualTime.js'

const printFigure = (label: string, value: unknown): void => console.log(`${label}: ${JSON.stringify(value)}`)

/** Rounds to three significant digits. */
const roundFigure = (value: number): number => Number(value.toPrecision(3))

/** Runs `action` and returns the traffic and processor time per instance over its virtual duration. */
const measure = (network: FakeNetwork, ids: readonly string[], now: () => number, action: () => void): Record<string, number> => {
  const before = ids.map(id => network.bytes(id))
  const start = now()
  const processor = process.cpuUsage()
  action()
  const { user, system } = process.cpuUsage(processor)
  const duration = now() - start
  const rates = ids.map((id, index) => (network.bytes(id) - before[index]) / duration)
  return {
    meanKilobytesPerSecond: roundFigure(rates.reduce((sum, rate) => sum + rate, 0) / ids.length),
    mostKilobytesPerSecond: roundFigure(Math.max(...rates)),
    percentOfCore: roundFigure((user + system) / 10 / duration / ids.length)
  }
}

/** Measures membership when idle, after one crash, and after the loss of a third of the instances. */
const measureMembership = (hash: Hash, size: number): void => {
  const time = createVirtualTime(1_000_000)
  const network = createFakeNetwork(time, createRandom(1), true)
  const members = Array.from({ length: size }, (_, index) => instanceMember(index))
  const nodes = new Map<string, Membership>()

  const perform = (id: string, effects: readonly MembershipFeatureEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'peer.send') network.send({ from: id, to: effect.to, message: effect.message })
    }
  }

  const start = (id: string, node: Membership): void => {
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

  members.forEach((self, index) => start(self.id, createMembership({ self, seeds: [], random: createRandom(index + 1), hash, startedAt: time.now() })))

  const stop = (id: string): void => {
    nodes.delete(id)
    network.leave(id)
  }

  /** Runs until `predicate` holds for every node, at most 60 s, and returns the virtual time that took in ms. */
  const timeUntilAll = (predicate: (node: Membership) => boolean): number => {
    const startedAt = time.now()
    while (![...nodes.values()].every(predicate) && time.now() - startedAt < 60_000) time.runUntil(time.now() + 100)
    return time.now() - startedAt
  }

  const ids = (): string[] => [...nodes.keys()]
  time.runUntil(time.now() + 25_000)
  printFigure('membership, idle', measure(network, ids(), time.now, () => time.runUntil(time.now() + 10_000)))
  stop('n7')
  printFigure('membership, crash known to all after ms', timeUntilAll(node => node.stateOf('n7') === 'dead'))
  const crashed = ids().filter(id => Number(id.slice(1)) % 3 === 1)
  crashed.forEach(stop)
  const cost = measure(network, ids(), time.now, () => {
    printFigure(`membership, loss of ${crashed.length} known to all after ms`, timeUntilAll(node => crashed.every(id => node.stateOf(id) === 'dead')))
  })
  printFigure('membership, during that loss', cost)
}

/** Measures the endpoint registry at start, with workers in use, and when a worker announces that it leaves. */
const measureEndpoints = (hash: Hash, instances: number, workers: number, usedPerInstance: number): void => {
  const fleet = startEndpointsFleet({ hash, instances, workers, countBytes: true })
  const ids = [...fleet.instances.keys()]
  const usedBy = (index: number): readonly string[] => Array.from({ length: usedPerInstance }, (_, offset) => `w${(index * 7 + offset) % workers}`)
  printFigure('endpoints, first 2 s', measure(fleet.network, ids, fleet.time.now, () => fleet.run(2_000)))
  ids.forEach((id, index) => usedBy(index).forEach(endpoint => fleet.handle(id, { kind: 'endpoints.evidence', endpoint, outcome: 'answered' })))
  fleet.run(6_000)
  printFigure('endpoints, in use', measure(fleet.network, ids, fleet.time.now, () => fleet.run(6_000)))
  const ages = ids.flatMap((id, index) => usedBy(index).map(worker => fleet.time.now() - (fleet.instances.get(id)?.get(worker)?.report?.at ?? 0)))
  ages.sort((left, right) => left - right)
  printFigure('endpoints, age of reports in ms, median and most', [ages[Math.floor(ages.length / 2)], ages[ages.length - 1]].map(Math.round))
  const worker = fleet.workers.get('w3')
  if (worker === undefined) return
  worker.leaving = true
  const startedAt = fleet.time.now()
  while ([...fleet.instances.values()].some(node => node.get('w3')?.state !== 'leaving') && fleet.time.now() - startedAt < 60_000) fleet.run(50)
  printFigure('endpoints, leaving known to all after ms', fleet.time.now() - startedAt)
}

const main = async (): Promise<void> => {
  const hash = await loadHash()
  const [instances = 320, workers = 600, used = 60] = process.argv.slice(2).map(Number)
  measureMembership(hash, instances)
  measureEndpoints(hash, instances, workers, used)
}

main().catch((failure: unknown) => {
  console.error(failure)
  process.exitCode = 1
})
