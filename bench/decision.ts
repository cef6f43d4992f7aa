/**
 * Measures the cost of routing decisions: processor time and allocated bytes per
 * decision, per prefix chain and per cache event, and index bytes per block.
 * Each is measured over the number of workers, levels, tokens or blocks, with
 * the slope of the processor time by least squares. Run it with
 * `npm run bench:decision`, which sets `--expose-gc`: without that flag the bench
 * can't collect garbage before it reads the heap size.
 */
import { createBlockSet } from '../src/cache/blockSet.js'
import { createCache } from '../src/cache/cacheMachine.js'
import type { Cache, CacheOptions } from '../src/cache/cacheTypes.js'
import { cacheDefaults } from '../src/cache/cacheTypes.js'
import type { Endpoint } from '../src/endpoints/endpointsTypes.js'
import type { Hash } from '../src/hash.js'
import { loadHash } from '../src/hash.js'
import type { CacheEvent } from '../src/ports/endpointPort.js'
import { createPrefixHasher } from '../src/prefix/prefixHasher.js'
import type { Random } from '../src/random.js'
import { createRandom } from '../src/random.js'
import { createRouting } from '../src/routing/routingMachine.js'
import type { RoutingRequest } from '../src/routing/routingTypes.js'
import { latencyObjective } from '../src/routing/routingTypes.js'

/** Cost of one operation at one value of the varied quantity. */
interface Measurement {
  /** The varied quantity: number of workers, levels, tokens or blocks. */
  readonly at: number
  /** Microseconds of processor time per operation. */
  readonly time: number
  /** Bytes allocated per operation; undefined if the garbage collector ran meanwhile. */
  readonly bytes: number | undefined
}

/** Operations before the measurement. */
const warmUpCount = 2000
/** Operations over which processor time is averaged. */
const repeatCount = 10_000
/** Operations between the two readings of the heap size; few, so that the garbage collector does not run in between. */
const allocationCount = 50
const nanosecondsPerMicrosecond = 1000
/** Blocks of each prompt, over all levels. */
const promptBlocks = 32
const blockBytes = 512

/** Runs the garbage collector if `--expose-gc` is set. */
const collectGarbage = (): void => (globalThis as { gc?: () => void }).gc?.()

const measure = (at: number, operation: (index: number) => void, count = repeatCount): Measurement => {
  for (let index = 0; index < Math.min(warmUpCount, count); index++) operation(index)
  const before = process.cpuUsage()
  for (let index = 0; index < count; index++) operation(index)
  const { user, system } = process.cpuUsage(before)
  collectGarbage()
  const heapBefore = process.memoryUsage().heapUsed
  for (let index = 0; index < allocationCount; index++) operation(count + index)
  const heap = process.memoryUsage().heapUsed - heapBefore
  return { at, time: (user + system) / count, bytes: heap < 0 ? undefined : heap / allocationCount }
}

/** Slope of a least-squares line through the selected values. */
const slope = (costs: readonly Measurement[], valueOf: (cost: Measurement) => number): number => {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const x = mean(costs.map(cost => cost.at))
  const y = mean(costs.map(valueOf))
  const covariance = costs.reduce((sum, cost) => sum + (cost.at - x) * (valueOf(cost) - y), 0)
  const variance = costs.reduce((sum, cost) => sum + (cost.at - x) ** 2, 0)
  return variance === 0 ? 0 : covariance / variance
}

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`)
}

const printTable = (title: string, unit: string, costs: readonly Measurement[]): void => {
  printLine(`\n## ${title}\n\n| ${unit} | µs of processor | bytes allocated |\n| --- | --- | --- |`)
  for (const { at, time, bytes } of costs) printLine(`| ${at} | ${time.toFixed(2)} | ${bytes?.toFixed(0) ?? 'collector ran'} |`)
  printLine(`\nslope: ${(slope(costs, cost => cost.time) * nanosecondsPerMicrosecond).toFixed(3)} ns per ${unit}`)
}

const createWorker = (index: number): Endpoint => ({
  id: `worker${index}`,
  kind: 'worker',
  address: { host: '127.0.0.1', port: 1 },
  dataCentre: `d${index % 4}`,
  incarnation: 'i1',
  state: 'live',
  fenced: true,
  models: [{ model: `m${index % 4}`, weightVersion: '1' }, { model: 'm', weightVersion: '1' }],
  slots: 8 + index % 24,
  since: 0,
  report: { at: 0, incarnation: 'i1', running: index % 8, waiting: index % 3, waitingTokens: 500 }
})

const createWorkerCache = (random: Random, endpoints: readonly Endpoint[], changes: Partial<CacheOptions> = {}): Cache => {
  const index = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]))
  return createCache({ ...cacheDefaults, random, endpointOf: id => index.get(id), workers: () => endpoints, ...changes })
}

/** Texts of a prompt by level: the number of distinct texts grows eightfold with each level, and the last level is unique to `serial`. */
const createPromptTexts = (levels: number, serial: number): string[] => {
  const textBytes = Math.floor(promptBlocks * blockBytes / levels)
  return Array.from({ length: levels }, (_, level) => `${level}:${level === levels - 1 ? serial : serial % (8 ** (level + 1))} `.padEnd(textBytes, 'x'))
}

const createRequests = (hash: Hash, levels: number): RoutingRequest[] => Array.from({ length: 256 }, (_, serial) => {
  const chain = createPrefixHasher(hash, { blockBytes }).chain({ workspace: `ws${serial % 8}`, model: 'm', weightVersion: '1' }, createPromptTexts(levels, serial))
  return { workspace: `ws${serial % 8}`, model: 'm', weightVersion: '1', chain, promptTokens: chain.tokens, expectedTokens: 100, priority: 0, worth: 1, deadline: 1700, exclude: [] }
})

/** Measures a decision with its bookkeeping: choice, start, first token and end. */
const measureDecisions = (hash: Hash, count: number, levels: number, at: number): Measurement => {
  const random = createRandom(1)
  const endpoints = Array.from({ length: count }, (_, index) => createWorker(index))
  const cache = createWorkerCache(random, endpoints)
  const routing = createRouting({ hash, random, cache, objective: latencyObjective })
  const requests = createRequests(hash, levels)
  return measure(at, index => {
    const request = requests[index % requests.length]
    const now = index * 10
    const choice = routing.choose(request, endpoints, now)._unsafeUnwrap()
    const inFlight = routing.started(request, choice, now)
    routing.firstToken(inFlight, now + 5)
    routing.finished(inFlight, { promptTokens: request.promptTokens, cachedTokens: choice.expectedCachedTokens, completionTokens: 10 }, now + 9)
  })
}

const measureChains = (hash: Hash, tokens: number): Measurement => {
  const prefixHasher = createPrefixHasher(hash, { blockBytes })
  const prompts = Array.from({ length: 64 }, (_, serial) => [`${serial} `.padEnd(tokens * 4, 'y')])
  return measure(tokens, index => {
    prefixHasher.chain({ workspace: 'ws', model: 'm', weightVersion: '1' }, prompts[index % prompts.length])
  })
}

/** A random 64-bit block hash as 16 hexadecimal digits. */
const randomBlock = (random: Random): string => [0, 0, 0, 0].map(() => random.below(65_536).toString(16).padStart(4, '0')).join('')

/** Cache events per batch. */
const batchSize = 50

/** Measures one cache event of a worker of which `blocks` blocks are known. */
const measureEvents = (blocks: number): Measurement => {
  const random = createRandom(2)
  const endpoints = [createWorker(0)]
  const cache = createWorkerCache(random, endpoints, { maxFollowed: 1, maxBytes: 64 * 1024 * 1024 })
  cache.handle({ kind: 'tick' }, 0)
  const knownBlocks = Array.from({ length: blocks }, () => randomBlock(random))
  const stored = (block: string): CacheEvent => ({ kind: 'stored', block })
  const sendEvents = (seq: number, full: boolean, events: readonly CacheEvent[]): void => {
    cache.handle({ kind: 'endpoint.events', endpoint: 'worker0', incarnation: 'i1', seq, full, events }, seq)
  }
  sendEvents(0, true, knownBlocks.map(stored))
  const batches = Array.from({ length: 400 }, () => Array.from({ length: batchSize }, (_, index): CacheEvent =>
    index % 2 === 0 ? stored(randomBlock(random)) : { kind: 'removed', block: knownBlocks[random.below(knownBlocks.length)] }))
  let seq = 0
  const cost = measure(blocks, index => sendEvents(++seq, false, batches[index % batches.length]), 2000)
  return { at: blocks, time: cost.time / batchSize, bytes: cost.bytes === undefined ? undefined : cost.bytes / batchSize }
}

/** Formats the table row with the bytes of a block set of the given size. */
const indexRow = (blocks: number): string => {
  const random = createRandom(3)
  const set = createBlockSet(blocks)
  for (let index = 0; index < blocks; index++) set.add(random.below(2 ** 30) + 1, random.below(2 ** 30))
  return `| ${blocks} | ${set.bytes()} | ${(set.bytes() / blocks).toFixed(1)} |`
}

const hash = await loadHash()
printTable('Decision with its bookkeeping, by workers (4 levels)', 'workers', [10, 50, 100, 200, 400, 600].map(count => measureDecisions(hash, count, 4, count)))
printTable('Decision with its bookkeeping, by levels (600 workers)', 'levels', [1, 2, 4, 8].map(levels => measureDecisions(hash, 600, levels, levels)))
printTable('Prefix chain, by tokens', 'tokens', [250, 1000, 4000, 16_000].map(tokens => measureChains(hash, tokens)))
printTable('Cache event, by blocks known of the worker', 'blocks', [1000, 10_000, 100_000, 400_000].map(measureEvents))
printLine('\n## Index\n\n| blocks | bytes | bytes per block |\n| --- | --- | --- |')
for (const blocks of [1000, 10_000, 93_000, 175_000, 1_000_000]) printLine(indexRow(blocks))
