/**
 * Level ends that answers have shown workers to hold. Nothing tells of their
 * eviction, so each worker's retention is estimated from later answers: a hit
 * proves that blocks live at least that long, a miss that they do not.
 */
import { LRUCache } from 'lru-cache'
import type { PrefixChain } from '../prefix/prefixTypes.js'

/** When an incarnation of a worker was last seen to hold a block. */
interface Sighting {
  readonly incarnation: string
  readonly at: number
}

/** Leading blocks believed held, with the age of the evidence in ms. */
export interface Believed {
  readonly blocks: number
  readonly age: number
}

/** What answers have taught. */
export interface LearnedIndex {
  /** The deepest level believed held, with the age of the evidence; undefined if none. */
  readonly deepest: (endpoint: string, incarnation: string, chain: PrefixChain, now: number) => Believed | undefined
  readonly learn: (endpoint: string, incarnation: string, chain: PrefixChain, now: number) => void
  /** Corrects a worker's retention by what an answer found of blocks believed held. */
  readonly adjust: (endpoint: string, believed: Believed, chain: PrefixChain, cachedTokens: number) => void
  readonly holders: (block: string, count: number) => readonly string[]
  readonly forget: (endpoint: string) => void
  readonly size: () => number
  readonly retention: () => Readonly<Record<string, number>>
}

const firstRetention = 20_000
const minRetention = 500
const maxRetention = 300_000
/** Holders remembered of one block. */
const maxHolders = 64

/**
 * Creates an empty index.
 *
 * @param maxBlocks - level ends remembered at most
 * @returns the index
 */
export const createLearnedIndex = (maxBlocks: number): LearnedIndex => {
  const sightings = new LRUCache<string, Map<string, Sighting>>({ max: maxBlocks })
  const retentions = new Map<string, number>()

  const retentionOf = (endpoint: string): number => retentions.get(endpoint) ?? firstRetention

  const deepest = (endpoint: string, incarnation: string, chain: PrefixChain, now: number): Believed | undefined => {
    const retention = retentionOf(endpoint)
    for (let level = chain.levels.length - 1; level >= 0; level--) {
      const blocks = chain.levels[level]
      const sighting = sightings.peek(chain.blocks[blocks - 1])?.get(endpoint)
      if (sighting === undefined || sighting.incarnation !== incarnation) continue
      const age = now - sighting.at
      if (age <= retention) return { blocks, age }
    }
    return undefined
  }

  const adjust = (endpoint: string, believed: Believed, chain: PrefixChain, cachedTokens: number): void => {
    if (believed.blocks === 0) return
    const retention = retentionOf(endpoint)
    const hit = cachedTokens >= 0.9 * chain.tokenEnds[believed.blocks - 1]
    const next = hit ? Math.max(retention, 1.5 * believed.age) : 0.8 * retention + 0.2 * believed.age
    retentions.set(endpoint, Math.min(maxRetention, Math.max(minRetention, next)))
  }

  const remember = (endpoint: string, incarnation: string, block: string, now: number): void => {
    const known = sightings.get(block) ?? new Map<string, Sighting>()
    known.delete(endpoint)
    known.set(endpoint, { incarnation, at: now })
    if (known.size > maxHolders) known.delete(known.keys().next().value ?? endpoint)
    sightings.set(block, known)
  }

  const learn = (endpoint: string, incarnation: string, chain: PrefixChain, now: number): void => {
    for (const blocks of chain.levels) remember(endpoint, incarnation, chain.blocks[blocks - 1], now)
  }

  const holders = (block: string, count: number): readonly string[] => {
    const found: string[] = []
    for (const endpoint of sightings.peek(block)?.keys() ?? []) {
      if (found.length >= count) break
      found.push(endpoint)
    }
    return found
  }

  const forget = (endpoint: string): void => {
    retentions.delete(endpoint)
  }

  return { deepest, learn, adjust, holders, forget, size: () => sightings.size, retention: () => Object.fromEntries(retentions) }
}
