/**
 * Index of the level ends that workers hold according to their responses. No
 * event reports their eviction, so the retention time of each worker is estimated
 * from later responses: a cache hit shows that blocks are kept at least that long,
 * a miss that they are not.
 */
import { LRUCache } from 'lru-cache'
import type { PrefixChain } from '../prefix/prefixTypes.js'

/** The latest response that showed a worker's incarnation to hold a block; `at` in ms. */
interface Observation {
  readonly incarnation: string
  readonly at: number
}

/** Number of leading blocks that a worker probably holds, and the age of that observation in ms. */
export interface LearnedMatch {
  readonly blocks: number
  readonly age: number
}

/** The index of blocks known from responses. */
export interface LearnedIndex {
  /** Returns the deepest level that the worker probably holds, or undefined if there is none within its retention time. */
  readonly deepestMatch: (endpoint: string, incarnation: string, chain: PrefixChain, now: number) => LearnedMatch | undefined
  /** Records that a worker holds all levels of a prompt at `now` (ms). */
  readonly record: (endpoint: string, incarnation: string, chain: PrefixChain, now: number) => void
  /** Corrects the retention estimate of a worker by comparing a prediction with the cached tokens that its response reports; at least 90 % of the predicted tokens count as a hit. */
  readonly adjustRetention: (endpoint: string, predicted: LearnedMatch, chain: PrefixChain, cachedTokens: number) => void
  /** Returns at most `count` workers that were observed to hold a block. */
  readonly holders: (block: string, count: number) => readonly string[]
  /** Discards the retention estimate of a worker. */
  readonly resetRetention: (endpoint: string) => void
  /** Number of blocks in the index. */
  readonly size: () => number
  /** Retention estimates in ms by worker. */
  readonly retention: () => Readonly<Record<string, number>>
}

/** Initial estimate and bounds of the retention time of blocks, in ms. */
const initialRetention = 20_000
const minRetention = 500
const maxRetention = 300_000
/** Maximum number of holders stored per block. */
const maxHolders = 64

/**
 * Creates an empty index.
 *
 * @param maxBlocks - maximum number of level ends; the least recently used is evicted
 * @returns the index
 */
export const createLearnedIndex = (maxBlocks: number): LearnedIndex => {
  const observations = new LRUCache<string, Map<string, Observation>>({ max: maxBlocks })
  const retentions = new Map<string, number>()

  const retentionOf = (endpoint: string): number => retentions.get(endpoint) ?? initialRetention

  const deepestMatch = (endpoint: string, incarnation: string, chain: PrefixChain, now: number): LearnedMatch | undefined => {
    const retention = retentionOf(endpoint)
    for (let level = chain.levels.length - 1; level >= 0; level--) {
      const blocks = chain.levels[level]
      const observation = observations.peek(chain.blocks[blocks - 1])?.get(endpoint)
      if (observation === undefined || observation.incarnation !== incarnation) continue
      const age = now - observation.at
      if (age <= retention) return { blocks, age }
    }
    return undefined
  }

  const adjustRetention = (endpoint: string, predicted: LearnedMatch, chain: PrefixChain, cachedTokens: number): void => {
    if (predicted.blocks === 0) return
    const retention = retentionOf(endpoint)
    const hit = cachedTokens >= 0.9 * chain.tokenEnds[predicted.blocks - 1]
    const next = hit ? Math.max(retention, 1.5 * predicted.age) : 0.8 * retention + 0.2 * predicted.age
    retentions.set(endpoint, Math.min(maxRetention, Math.max(minRetention, next)))
  }

  const recordHolder = (endpoint: string, incarnation: string, block: string, now: number): void => {
    const known = observations.get(block) ?? new Map<string, Observation>()
    known.delete(endpoint)
    known.set(endpoint, { incarnation, at: now })
    if (known.size > maxHolders) known.delete(known.keys().next().value ?? endpoint)
    observations.set(block, known)
  }

  const record = (endpoint: string, incarnation: string, chain: PrefixChain, now: number): void => {
    for (const blocks of chain.levels) recordHolder(endpoint, incarnation, chain.blocks[blocks - 1], now)
  }

  const holders = (block: string, count: number): readonly string[] => {
    const found: string[] = []
    for (const endpoint of observations.peek(block)?.keys() ?? []) {
      if (found.length >= count) break
      found.push(endpoint)
    }
    return found
  }

  const resetRetention = (endpoint: string): void => {
    retentions.delete(endpoint)
  }

  return { deepestMatch, record, adjustRetention, holders, resetRetention, size: () => observations.size, retention: () => Object.fromEntries(retentions) }
}
