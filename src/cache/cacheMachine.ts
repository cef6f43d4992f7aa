/**
 * Knowledge of the prefix caches of workers: the blocks that followed workers
 * announce, and the level ends that answers reveal. An instance follows the
 * workers it uses most; listings after a gap are few at once and jittered, so
 * that many gaps together do not swamp it.
 */
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import { bytesPerBlock, createBlockSet } from './blockSet.js'
import type { Cache, CacheEffect, CacheInput, CacheOptions, PrefixMatch } from './cacheTypes.js'
import { createLearnedIndex } from './learnedIndex.js'
import type { BlockFilter, WorkerBlocks } from './workerBlocks.js'
import { applyEvents, applyListing, createWorkerBlocks, doubt, heldBlocks, restart, summary } from './workerBlocks.js'

type EventsInput = Extract<CacheInput, { kind: 'endpoint.events' }>

/** Milliseconds between two looks at which workers to follow. */
const planInterval = 1000
/** Factor by which use of a worker fades in each `planInterval`. */
const useFade = 0.9
/** Answers younger than this, in ms, outweigh events, which arrive later. */
const eventLag = 3000
/** Level ends remembered as worth an event's bytes. */
const maxInteresting = 65_536

const nothing: PrefixMatch = { blocks: 0, certain: false, known: false, age: 0 }

/**
 * Creates the knowledge of one instance.
 *
 * @param options - bounds and what it may ask of the rest of the node
 * @returns an instance that has followed no worker yet
 */
export const createCache = (options: CacheOptions): Cache => {
  const { random, endpointOf } = options
  const followed = new Map<string, WorkerBlocks>()
  const used = new Map<string, number>()
  const learnedIndex = createLearnedIndex(options.maxLearned)
  const interesting = createBlockSet(maxInteresting)
  const blocksPerWorker = Math.floor(options.maxBytes / bytesPerBlock / 2 / Math.max(1, options.maxFollowed))
  let plannedAt = -planInterval

  const keeps: BlockFilter = options.depth === 'all' ? () => true : interesting.has

  const noteLevels = (chain: PrefixChain): void => {
    if (options.depth !== 'levels') return
    if (interesting.size() + chain.levels.length > maxInteresting) interesting.clear()
    for (const blocks of chain.levels) interesting.add(chain.words[2 * blocks - 2], chain.words[2 * blocks - 1])
  }

  const onEvents = (input: EventsInput, now: number): void => {
    const worker = followed.get(input.endpoint)
    if (worker === undefined || input.incarnation !== worker.incarnation) return
    if (input.full) return applyListing(worker, input.seq, input.events, keeps, now)
    if (applyEvents(worker, input.seq, input.events, keeps, now)) doubt(worker, now + random.below(options.listingJitter + 1))
  }

  const chosenWorkers = (): readonly Endpoint[] => {
    const live = options.workers().filter(worker => worker.kind === 'worker' && worker.state !== 'gone')
    if (live.length <= options.maxFollowed) return live
    const use = (worker: Endpoint): number => (used.get(worker.id) ?? 0) + (followed.has(worker.id) ? 1 : 0)
    return live.filter(worker => use(worker) > 0).sort((left, right) => use(right) - use(left)).slice(0, options.maxFollowed)
  }

  const fadeUse = (): void => {
    for (const [id, use] of used) {
      if (use < 0.01) used.delete(id)
      else used.set(id, use * useFade)
    }
  }

  const plan = (now: number): CacheEffect[] => {
    plannedAt = now
    fadeUse()
    const wanted = new Map(chosenWorkers().map(worker => [worker.id, worker]))
    const effects: CacheEffect[] = []
    for (const id of followed.keys()) {
      if (wanted.has(id)) continue
      followed.delete(id)
      effects.push({ kind: 'endpoint.unfollow', endpoint: id })
    }
    for (const [id, worker] of wanted) {
      if (!followed.has(id)) followed.set(id, createWorkerBlocks(id, worker.incarnation, blocksPerWorker, now))
    }
    return effects
  }

  const noticeRestarts = (now: number): void => {
    for (const worker of followed.values()) {
      const current = endpointOf(worker.endpoint)
      if (current === undefined || current.incarnation === worker.incarnation) continue
      restart(worker, current.incarnation, now)
      learnedIndex.forget(worker.endpoint)
    }
  }

  const awaiting = (worker: WorkerBlocks, now: number): boolean =>
    worker.askedAt !== undefined && now - worker.askedAt < options.listingTimeout

  const askListings = (now: number): CacheEffect[] => {
    const open = [...followed.values()].filter(worker => worker.state !== 'certain')
    let places = options.listingsAtOnce - open.filter(worker => awaiting(worker, now)).length
    const effects: CacheEffect[] = []
    for (const worker of open) {
      if (places <= 0) break
      if (awaiting(worker, now) || now < worker.askFrom) continue
      const endpoint = endpointOf(worker.endpoint)
      if (endpoint === undefined || endpoint.state === 'gone') continue
      worker.askedAt = now
      places--
      effects.push({ kind: 'endpoint.follow', endpoint: worker.endpoint, address: endpoint.address })
    }
    return effects
  }

  const onTick = (now: number): readonly CacheEffect[] => {
    if (options.depth === 'none') return []
    const effects = now - plannedAt >= planInterval ? plan(now) : []
    noticeRestarts(now)
    return effects.concat(askListings(now))
  }

  const handle = (input: CacheInput, now: number): readonly CacheEffect[] => {
    switch (input.kind) {
      case 'tick':
        return onTick(now)
      case 'endpoint.events':
        onEvents(input, now)
        return []
      case 'endpoint.unreachable': {
        const worker = followed.get(input.endpoint)
        if (worker !== undefined) doubt(worker, now + random.below(options.listingJitter + 1))
        return []
      }
    }
  }

  const fromEvents = (endpoint: string, incarnation: string, chain: PrefixChain, now: number): PrefixMatch => {
    const worker = followed.get(endpoint)
    if (worker === undefined || worker.incarnation !== incarnation || worker.state === 'listing') return nothing
    const certain = worker.state === 'certain'
    return { blocks: heldBlocks(worker, chain), certain, known: true, age: certain ? 0 : now - worker.certainAt }
  }

  const matched = (endpoint: string, incarnation: string, chain: PrefixChain, now: number): PrefixMatch => {
    const announced = fromEvents(endpoint, incarnation, chain, now)
    const believed = learnedIndex.deepest(endpoint, incarnation, chain, now)
    if (believed === undefined || believed.blocks <= announced.blocks) return announced
    if (announced.certain && believed.age > eventLag) return announced
    return { blocks: believed.blocks, certain: false, known: true, age: believed.age }
  }

  const learned: Cache['learned'] = (endpoint, incarnation, chain, cachedTokens, now, believed) => {
    if (endpointOf(endpoint)?.incarnation !== incarnation) return
    noteLevels(chain)
    used.set(endpoint, (used.get(endpoint) ?? 0) + 1)
    if (cachedTokens !== undefined && believed !== undefined && !believed.certain) {
      learnedIndex.adjust(endpoint, believed, chain, cachedTokens)
    }
    learnedIndex.learn(endpoint, incarnation, chain, now)
  }

  return {
    handle,
    matched,
    learned,
    holders: learnedIndex.holders,
    dump: () => ({ workers: [...followed.values()].map(summary), learned: learnedIndex.size(), retention: learnedIndex.retention() })
  }
}
