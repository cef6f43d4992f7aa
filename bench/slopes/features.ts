/** Slopes of single features: the endpoint registry, limits, cache events and the choice of a worker. */
import { createBlockSet } from '../../src/cache/blockSet.js'
import { createCache } from '../../src/cache/cacheMachine.js'
import { cacheDefaults } from '../../src/cache/cacheTypes.js'
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { Hash } from '../../src/hash.js'
import { createLimits } from '../../src/limits/limitsMachine.js'
import { limitsDefaults } from '../../src/limits/limitsTypes.js'
import type { LimitsEffect } from '../../src/limits/limitsTypes.js'
import { tickInterval } from '../../src/ports/peerPort.js'
import { createPrefixHasher } from '../../src/prefix/prefixHasher.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'
import { createRouting } from '../../src/routing/routingMachine.js'
import { latencyObjective } from '../../src/routing/routingTypes.js'
import { startEndpointsFleet } from '../../test/fakes/fakeEndpoints.js'
import { createFakeNetwork } from '../../test/fakes/fakeNetwork.js'
import { createVirtualTime } from '../../test/fakes/virtualTime.js'
import type { Point } from './fit.js'
import type { FeatureCost } from './memberLosses.js'
import { createCounter, liveBytes, processorTime } from './meter.js'

const window = 10_000

/**
 * The registry at rest but for dispatches to `used` endpoints of each instance.
 *
 * @param at - what the row stands for
 */
export const measureEndpoints = (hash: Hash, at: number, instances: number, workers: number, used: number): FeatureCost & { readonly probes: number } => {
  const heapBefore = liveBytes()
  const fleet = startEndpointsFleet({ hash, instances, workers })
  const counter = createCounter()
  fleet.network.intercept(({ message }) => {
    counter.note(message)
    return 'deliver'
  })
  const use = (): void => [...fleet.instances.keys()].forEach((id, index) => {
    for (let offset = 0; offset < used; offset++) fleet.handle(id, { kind: 'endpoints.evidence', endpoint: `w${(index * 7 + offset) % workers}`, outcome: 'answered' })
  })
  const probes = (): number => [...fleet.workers.values()].reduce((sum, worker) => sum + worker.probes, 0)
  fleet.run(3_000)
  use()
  fleet.run(10_000)
  use()
  const before = probes()
  counter.start()
  fleet.run(window)
  const count = counter.stop().get('endpoints')
  const per = instances * window / 1_000
  const probed = (probes() - before) / per
  use()
  const processor = processorTime(() => fleet.run(window)) / per
  fleet.changes.length = 0
  return { at, messages: (count?.messages ?? 0) / per, bytes: 2 * (count?.bytes ?? 0) / per, processor, heap: (liveBytes() - heapBefore) / instances, probes: probed }
}

const limitNodes = 160
const entriesOfEach = 3

/**
 * Limits of a fleet in which each workspace is served by three entries drawn at
 * random and each entry admits 20 requests a second.
 *
 * @param density - workspaces that each entry serves, on average
 */
export const measureLimits = (hash: Hash, density: number): FeatureCost => {
  const heapBefore = liveBytes()
  const time = createVirtualTime(1_000_000)
  const random = createRandom(9)
  const network = createFakeNetwork(time, createRandom(1))
  const counter = createCounter()
  network.intercept(({ message }) => {
    counter.note(message)
    return 'deliver'
  })
  const entries = new Map(Array.from({ length: Math.round(limitNodes * density / entriesOfEach) }, (_, index): [string, readonly string[]] => {
    const drawn = new Set<string>()
    while (drawn.size < entriesOfEach) drawn.add(`n${random.below(limitNodes)}`)
    return [`ws${index}`, [...drawn]]
  }))
  const perform = (from: string, effects: readonly LimitsEffect[]): void => effects.forEach(({ to, message }) => network.send({ from, to, message }))

  const start = (id: string, index: number): void => {
    const served = [...entries.keys()].filter(workspace => entries.get(workspace)?.includes(id))
    const node = createLimits({ ...limitsDefaults, self: id, incarnation: `${id}-1`, random: createRandom(index + 1), hash, instancesOf: workspace => entries.get(workspace) ?? [] })
    network.join(id, (from, message) => perform(id, node.handle({ kind: 'peer.message', from, message: message as never }, time.now())))
    const limit = { requestsPerSecond: 100, tokensPerSecond: 100_000, concurrency: 500 }
    const tick = (): void => {
      const now = time.now()
      const workspace = served[random.below(Math.max(1, served.length))]
      if (workspace !== undefined) node.admit({ workspace, limit, priority: 0, worth: 1, deadline: now + 1_700, expectedWait: 100, tokens: 500 }, now).map(admission => node.finished(admission, 500, now))
      perform(id, node.handle({ kind: 'tick' }, now))
      time.after(tickInterval, tick)
    }
    time.after((index * 7) % tickInterval, tick)
  }

  for (let index = 0; index < limitNodes; index++) start(`n${index}`, index)
  time.runUntil(time.now() + 15_000)
  counter.start()
  time.runUntil(time.now() + window)
  const count = counter.stop().get('limits')
  const per = limitNodes * window / 1_000
  const processor = processorTime(() => time.runUntil(time.now() + window)) / per
  return { at: density, messages: (count?.messages ?? 0) / per, bytes: 2 * (count?.bytes ?? 0) / per, processor, heap: (liveBytes() - heapBefore) / limitNodes }
}

const worker = (index: number): Endpoint => ({
  id: `w${index}`,
  kind: 'worker',
  address: { host: '127.0.0.1', port: 1 },
  dataCentre: `d${index % 4}`,
  incarnation: 'i1',
  state: 'live',
  fenced: true,
  models: [{ model: 'm', weightVersion: '1' }],
  slots: 8 + index % 24,
  since: 0,
  report: { at: 0, incarnation: 'i1', running: index % 8, waiting: index % 3, waitingTokens: 500 }
})

const hex = (random: Random): string => [0, 0, 0, 0].map(() => random.below(65_536).toString(16).padStart(4, '0')).join('')

/** Microseconds of one cache event, by the blocks known of its worker; half of the events store, half remove. */
export const measureEvents = (blocks: number): Point => {
  const random = createRandom(2)
  const endpoint = worker(0)
  const cache = createCache({ ...cacheDefaults, random, endpointOf: () => endpoint, workers: () => [endpoint], maxFollowed: 1, maxBytes: 64 * 1024 * 1024 })
  cache.handle({ kind: 'tick' }, 0)
  const held = Array.from({ length: blocks }, () => hex(random))
  const stored = (block: string) => ({ kind: 'stored', block } as const)
  cache.handle({ kind: 'endpoint.events', endpoint: 'w0', incarnation: 'i1', seq: 0, full: true, events: held.map(stored) }, 0)
  const batches = Array.from({ length: 400 }, () => Array.from({ length: 50 }, (_, index) =>
    index % 2 === 0 ? stored(hex(random)) : { kind: 'removed', block: held[random.below(held.length)] } as const))
  let seq = 0
  const run = (count: number): void => {
    for (let index = 0; index < count; index++) cache.handle({ kind: 'endpoint.events', endpoint: 'w0', incarnation: 'i1', seq: ++seq, full: false, events: batches[seq % batches.length] }, seq)
  }
  run(1_000)
  return { at: blocks, value: processorTime(() => run(4_000)) / (4_000 * 50) }
}

/** Bytes of a set of blocks. */
export const measureBlocks = (blocks: number): Point => {
  const random = createRandom(3)
  const set = createBlockSet(blocks)
  for (let index = 0; index < blocks; index++) set.add(random.below(2 ** 30) + 1, random.below(2 ** 30))
  return { at: blocks, value: set.bytes() }
}

/** Microseconds of a choice with its bookkeeping, by workers that hold the model; prompts of four levels, 32 blocks. */
export const measureChoice = (hash: Hash, workers: number): Point => {
  const random = createRandom(1)
  const endpoints = Array.from({ length: workers }, (_, index) => worker(index))
  const known = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]))
  const cache = createCache({ ...cacheDefaults, random, endpointOf: id => known.get(id), workers: () => endpoints })
  const routing = createRouting({ hash, random, cache, objective: latencyObjective })
  const prefix = createPrefixHasher(hash)
  const questions = Array.from({ length: 256 }, (_, serial) => {
    const texts = Array.from({ length: 4 }, (_none, level) => `${level}:${level === 3 ? serial : serial % 8 ** (level + 1)} `.padEnd(4_096, 'x'))
    const chain = prefix.chain({ workspace: `ws${serial % 8}`, model: 'm', weightVersion: '1' }, texts)
    return { workspace: `ws${serial % 8}`, model: 'm', weightVersion: '1', chain, promptTokens: chain.tokens, expectedTokens: 100, priority: 0, worth: 1, deadline: 1_700, exclude: [] }
  })
  let serial = 0
  const run = (count: number): void => {
    for (let index = 0; index < count; index++) {
      const question = questions[serial % questions.length]
      const now = 10 * serial++
      const choice = routing.choose(question, endpoints, now)._unsafeUnwrap()
      const flight = routing.started(question, choice, now)
      routing.firstToken(flight, now + 5)
      routing.finished(flight, { promptTokens: question.promptTokens, cachedTokens: choice.expectedCachedTokens, completionTokens: 10 }, now + 9)
    }
  }
  run(2_000)
  return { at: workers, value: processorTime(() => run(5_000)) / 5_000 }
}
