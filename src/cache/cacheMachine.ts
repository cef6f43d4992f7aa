/**
 * Index of the workers' prefix caches. It is built from the cache events of
 * followed workers and from the level ends that responses show to be cached. An
 * instance subscribes to the events of the workers that it uses most. After a gap
 * in the events it requests a full listing; the number of concurrent listings is
 * limited and their requests are jittered, so that many simultaneous gaps don't
 * overload the instance.
 */
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import { bytesPerBlock, createBlockSet } from './blockSet.js'
import type { Cache, CacheEffect, CacheInput, CacheOptions, PrefixMatch } from './cacheTypes.js'
import { createLearnedIndex } from './learnedIndex.js'
import type { BlockFilter, WorkerBlocks } from './workerBlocks.js'
import { applyEvents, applyListing, createWorkerBlocks, heldBlocks, markDoubtful, resetForIncarnation, summarize } from './workerBlocks.js'

type EventsInput = Extract<CacheInput, { kind: 'endpoint.events' }>

/** Time between updates of the set of followed workers, in ms. */
const followUpdateInterval = 1000
/** Factor applied to each worker's usage score per `followUpdateInterval`. */
const usageDecay = 0.9
/** Age in ms up to which a response takes precedence over events, which arrive with a delay. */
const maxEventLag = 3000
/** Maximum number of level ends that select which event blocks are stored at depth `levels`. */
const maxLevelEnds = 65_536

const noMatch: PrefixMatch = { blocks: 0, certain: false, known: false, age: 0 }

/**
 * Creates the cache index of one instance.
 *
 * @param options - limits, and access to the endpoints and a random source
 * @returns an index that follows no worker yet
 */
export const createCache = (options: CacheOptions): Cache => {
  const { random, endpointOf } = options
  const followed = new Map<string, WorkerBlocks>()
  const usage = new Map<string, number>()
  const learnedIndex = createLearnedIndex(options.maxLearnedBlocks)
  const levelEnds = createBlockSet(maxLevelEnds)
  // Halved, because a set that has just doubled its capacity uses twice `bytesPerBlock`.
  const blocksPerWorker = Math.floor(options.maxBytes / bytesPerBlock / 2 / Math.max(1, options.maxFollowed))
  let followUpdatedAt = -followUpdateInterval

  const shouldStore: BlockFilter = options.depth === 'all' ? () => true : levelEnds.has

  const recordLevelEnds = (chain: PrefixChain): void => {
    if (options.depth !== 'levels') return
    if (levelEnds.size() + chain.levels.length > maxLevelEnds) levelEnds.clear()
    for (const blocks of chain.levels) levelEnds.add(chain.words[2 * blocks - 2], chain.words[2 * blocks - 1])
  }

  const onEvents = (input: EventsInput, now: number): void => {
    const worker = followed.get(input.endpoint)
    if (worker === undefined || input.incarnation !== worker.incarnation) return
    if (input.full) return applyListing(worker, input.seq, input.events, shouldStore, now)
    if (applyEvents(worker, input.seq, input.events, shouldStore, now)) markDoubtful(worker, now + random.below(options.listingJitter + 1))
  }

  const selectWorkers = (): readonly Endpoint[] => {
    const live = options.workers().filter(worker => worker.kind === 'worker' && worker.state !== 'gone')
    if (live.length <= options.maxFollowed) return live
    const score = (worker: Endpoint): number => (usage.get(worker.id) ?? 0) + (followed.has(worker.id) ? 1 : 0)
    return live.filter(worker => score(worker) > 0).sort((left, right) => score(right) - score(left)).slice(0, options.maxFollowed)
  }

  const decayUsage = (): void => {
    for (const [id, score] of usage) {
      if (score < 0.01) usage.delete(id)
      else usage.set(id, score * usageDecay)
    }
  }

  const updateFollowed = (now: number): CacheEffect[] => {
    followUpdatedAt = now
    decayUsage()
    const wanted = new Map(selectWorkers().map(worker => [worker.id, worker]))
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

  const resetRestartedWorkers = (now: number): void => {
    for (const worker of followed.values()) {
      const current = endpointOf(worker.endpoint)
      if (current === undefined || current.incarnation === worker.incarnation) continue
      resetForIncarnation(worker, current.incarnation, now)
      learnedIndex.resetRetention(worker.endpoint)
    }
  }

  const isAwaitingListing = (worker: WorkerBlocks, now: number): boolean =>
    worker.listingRequestedAt !== undefined && now - worker.listingRequestedAt < options.listingTimeout

  const requestListings = (now: number): CacheEffect[] => {
    const incomplete = [...followed.values()].filter(worker => worker.state !== 'certain')
    let availableListings = options.maxConcurrentListings - incomplete.filter(worker => isAwaitingListing(worker, now)).length
    const effects: CacheEffect[] = []
    for (const worker of incomplete) {
      if (availableListings <= 0) break
      if (isAwaitingListing(worker, now) || now < worker.nextListingAt) continue
      const endpoint = endpointOf(worker.endpoint)
      if (endpoint === undefined || endpoint.state === 'gone') continue
      worker.listingRequestedAt = now
      availableListings--
      effects.push({ kind: 'endpoint.follow', endpoint: worker.endpoint, address: endpoint.address })
    }
    return effects
  }

  const onTick = (now: number): readonly CacheEffect[] => {
    if (options.depth === 'none') return []
    const effects = now - followUpdatedAt >= followUpdateInterval ? updateFollowed(now) : []
    resetRestartedWorkers(now)
    return effects.concat(requestListings(now))
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
        if (worker !== undefined) markDoubtful(worker, now + random.below(options.listingJitter + 1))
        return []
      }
    }
  }

  const matchFromEvents = (endpoint: string, incarnation: string, chain: PrefixChain, now: number): PrefixMatch => {
    const worker = followed.get(endpoint)
    if (worker === undefined || worker.incarnation !== incarnation || worker.state === 'listing') return noMatch
    const certain = worker.state === 'certain'
    return { blocks: heldBlocks(worker, chain), certain, known: true, age: certain ? 0 : now - worker.lastConsistentAt }
  }

  const matched = (endpoint: string, incarnation: string, chain: PrefixChain, now: number): PrefixMatch => {
    const fromEvents = matchFromEvents(endpoint, incarnation, chain, now)
    const fromResponses = learnedIndex.deepestMatch(endpoint, incarnation, chain, now)
    if (fromResponses === undefined || fromResponses.blocks <= fromEvents.blocks) return fromEvents
    if (fromEvents.certain && fromResponses.age > maxEventLag) return fromEvents
    return { blocks: fromResponses.blocks, certain: false, known: true, age: fromResponses.age }
  }

  const learned: Cache['learned'] = (endpoint, incarnation, chain, cachedTokens, now, predicted) => {
    if (endpointOf(endpoint)?.incarnation !== incarnation) return
    recordLevelEnds(chain)
    usage.set(endpoint, (usage.get(endpoint) ?? 0) + 1)
    if (cachedTokens !== undefined && predicted !== undefined && !predicted.certain) {
      learnedIndex.adjustRetention(endpoint, predicted, chain, cachedTokens)
    }
    learnedIndex.record(endpoint, incarnation, chain, now)
  }

  return {
    handle,
    matched,
    learned,
    holders: learnedIndex.holders,
    dump: () => ({ workers: [...followed.values()].map(summarize), learned: learnedIndex.size(), retention: learnedIndex.retention() })
  }
}
