/** Measures the cost of single features: the endpoint registry, limits, cache events, block sets and the choice of a worker. */
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
import type { FeatureCost } from './membershipFleet.js'
import { createMessageCounter, liveBytes, processorTime } from './meter.js'

const measureTime = 10_000 // ms of virtual time

/**
 * Measures the endpoint registry of a fleet in virtual time. It is at rest, except that each
 * instance reports answers of `used` workers, as after dispatches to them.
 *
 * @param hash - hash functions
 * @param at - the size that is varied, for the row of the table
 * @param instances - number of instances
 * @param workers - number of workers
 * @param used - workers that each instance uses
 * @returns the cost of the registry on one instance, with the probes that it sends per second
 */
export const measureEndpoints = (hash: Hash, at: number, instances: number, workers: number, used: number): FeatureCost & { readonly probes: number } => {
  const heapBefore = liveBytes()
  const fleet = startEndpointsFleet({ hash, instances, workers })
  const counter = createMessageCounter()
  fleet.network.intercept(({ message }) => {
    counter.record(message)
    return 'deliver'
  })
  const reportAnswers = (): void => [...fleet.instances.keys()].forEach((id, index) => {
    for (let offset = 0; offset < used; offset++) fleet.handle(id, { kind: 'endpoints.evidence', endpoint: `w${(index * 7 + offset) % workers}`, outcome: 'answered' })
  })
  const probes = (): number => [...fleet.workers.values()].reduce((sum, worker) => sum + worker.probes, 0)
  fleet.run(3_000)
  reportAnswers()
  fleet.run(10_000)
  reportAnswers()
  const probesBefore = probes()
  counter.start()
  fleet.run(measureTime)
  const count = counter.stop().get('endpoints')
  const instanceSeconds = instances * measureTime / 1_000
  const probeRate = (probes() - probesBefore) / instanceSeconds
  reportAnswers()
  const processor = processorTime(() => fleet.run(measureTime)) / instanceSeconds
  fleet.changes.length = 0
  return { at, messages: (count?.messages ?? 0) / instanceSeconds, bytes: 2 * (count?.bytes ?? 0) / instanceSeconds, processor, heap: (liveBytes() - heapBefore) / instances, probes: probeRate }
}

const limitInstances = 160
const instancesPerWorkspace = 3

/**
 * Measures limits in a fleet of 160 instances in virtual time. Each workspace is served by three
 * instances drawn at random, and each instance admits 20 requests a second.
 *
 * @param hash - hash functions
 * @param density - mean number of workspaces that an instance serves
 * @returns the cost of limits on one instance
 */
export const measureLimits = (hash: Hash, density: number): FeatureCost => {
  const heapBefore = liveBytes()
  const time = createVirtualTime(1_000_000)
  const random = createRandom(9)
  const network = createFakeNetwork(time, createRandom(1))
  const counter = createMessageCounter()
  network.intercept(({ message }) => {
    counter.record(message)
    return 'deliver'
  })
  const instancesByWorkspace = new Map(Array.from({ length: Math.round(limitInstances * density / instancesPerWorkspace) }, (_, index): [string, readonly string[]] => {
    const instances = new Set<string>()
    while (instances.size < instancesPerWorkspace) instances.add(`n${random.below(limitInstances)}`)
    return [`ws${index}`, [...instances]]
  }))
  const perform = (from: string, effects: readonly LimitsEffect[]): void => effects.forEach(({ to, message }) => network.send({ from, to, message }))

  const start = (id: string, index: number): void => {
    const servedWorkspaces = [...instancesByWorkspace.keys()].filter(workspace => instancesByWorkspace.get(workspace)?.includes(id))
    const node = createLimits({ ...limitsDefaults, self: id, incarnation: `${id}-1`, random: createRandom(index + 1), hash, instancesOf: workspace => instancesByWorkspace.get(workspace) ?? [] })
    network.join(id, (from, message) => perform(id, node.handle({ kind: 'peer.message', from, message: message as never }, time.now())))
    const limit = { requestsPerSecond: 100, tokensPerSecond: 100_000, concurrency: 500 }
    const tick = (): void => {
      const now = time.now()
      const workspace = servedWorkspaces[random.below(Math.max(1, servedWorkspaces.length))]
      if (workspace !== undefined) node.admit({ workspace, limit, priority: 0, worth: 1, deadline: now + 1_700, expectedWait: 100, tokens: 500 }, now).map(admission => node.finished(admission, 500, now))
      perform(id, node.handle({ kind: 'tick' }, now))
      time.after(tickInterval, tick)
    }
    time.after((index * 7) % tickInterval, tick)
  }

  for (let index = 0; index < limitInstances; index++) start(`n${index}`, index)
  time.runUntil(time.now() + 15_000)
  counter.start()
  time.runUntil(time.now() + measureTime)
  const count = counter.stop().get('limits')
  const instanceSeconds = limitInstances * measureTime / 1_000
  const processor = processorTime(() => time.runUntil(time.now() + measureTime)) / instanceSeconds
  return { at: density, messages: (count?.messages ?? 0) / instanceSeconds, bytes: 2 * (count?.bytes ?? 0) / instanceSeconds, processor, heap: (liveBytes() - heapBefore) / limitInstances }
}

const workerEndpoint = (index: number): Endpoint => ({
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

const randomBlock = (random: Random): string => [0, 0, 0, 0].map(() => random.below(65_536).toString(16).padStart(4, '0')).join('')

/**
 * Measures the processor time of one cache event, in microseconds. Half of the events store a
 * block, half remove one.
 *
 * @param blocks - known blocks of the worker that sends the events
 * @returns the time at that number of blocks
 */
export const measureCacheEvents = (blocks: number): Point => {
  const random = createRandom(2)
  const endpoint = workerEndpoint(0)
  const cache = createCache({ ...cacheDefaults, random, endpointOf: () => endpoint, workers: () => [endpoint], maxFollowed: 1, maxBytes: 64 * 1024 * 1024 })
  cache.handle({ kind: 'tick' }, 0)
  const knownBlocks = Array.from({ length: blocks }, () => randomBlock(random))
  const stored = (block: string) => ({ kind: 'stored', block } as const)
  cache.handle({ kind: 'endpoint.events', endpoint: 'w0', incarnation: 'i1', seq: 0, full: true, events: knownBlocks.map(stored) }, 0)
  const batches = Array.from({ length: 400 }, () => Array.from({ length: 50 }, (_, index) =>
    index % 2 === 0 ? stored(randomBlock(random)) : { kind: 'removed', block: knownBlocks[random.below(knownBlocks.length)] } as const))
  let seq = 0
  const run = (count: number): void => {
    for (let index = 0; index < count; index++) cache.handle({ kind: 'endpoint.events', endpoint: 'w0', incarnation: 'i1', seq: ++seq, full: false, events: batches[seq % batches.length] }, seq)
  }
  run(1_000)
  return { at: blocks, value: processorTime(() => run(4_000)) / (4_000 * 50) }
}

/**
 * Measures the memory of a block set, in bytes.
 *
 * @param blocks - blocks in the set
 * @returns the memory at that number of blocks
 */
export const measureBlockSet = (blocks: number): Point => {
  const random = createRandom(3)
  const set = createBlockSet(blocks)
  for (let index = 0; index < blocks; index++) set.add(random.below(2 ** 30) + 1, random.below(2 ** 30))
  return { at: blocks, value: set.bytes() }
}

/**
 * Measures the processor time to choose a worker for a request and to track the request until
 * it ends, in microseconds. Prompts have four levels and 32 blocks.
 *
 * @param hash - hash functions
 * @param workers - workers that serve the model
 * @returns the time at that number of workers
 */
export const measureChoice = (hash: Hash, workers: number): Point => {
  const random = createRandom(1)
  const endpoints = Array.from({ length: workers }, (_, index) => workerEndpoint(index))
  const endpointById = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]))
  const cache = createCache({ ...cacheDefaults, random, endpointOf: id => endpointById.get(id), workers: () => endpoints })
  const routing = createRouting({ hash, random, cache, objective: latencyObjective })
  const prefixHasher = createPrefixHasher(hash)
  const requests = Array.from({ length: 256 }, (_, serial) => {
    const texts = Array.from({ length: 4 }, (_none, level) => `${level}:${level === 3 ? serial : serial % 8 ** (level + 1)} `.padEnd(4_096, 'x'))
    const chain = prefixHasher.chain({ workspace: `ws${serial % 8}`, model: 'm', weightVersion: '1' }, texts)
    return { workspace: `ws${serial % 8}`, model: 'm', weightVersion: '1', chain, promptTokens: chain.tokens, expectedTokens: 100, priority: 0, worth: 1, deadline: 1_700, exclude: [] }
  })
  let serial = 0
  const run = (count: number): void => {
    for (let index = 0; index < count; index++) {
      const request = requests[serial % requests.length]
      const now = 10 * serial++
      const choice = routing.choose(request, endpoints, now)._unsafeUnwrap()
      const inFlight = routing.started(request, choice, now)
      routing.firstToken(inFlight, now + 5)
      routing.finished(inFlight, { promptTokens: request.promptTokens, cachedTokens: choice.expectedCachedTokens, completionTokens: 10 }, now + 9)
    }
  }
  run(2_000)
  return { at: workers, value: processorTime(() => run(5_000)) / 5_000 }
}
