/**
 * An estimate of the prompt parts that a worker's cache or a part store holds.
 * It is derived from the instance's own requests and from cache events. Both
 * miss some changes, so the estimate is used only to choose a worker and never
 * to answer a request.
 */
import { LRUCache } from 'lru-cache'
import type { PromptPart } from '../ports/forwardPort.js'

/** The estimated content of one cache: a worker's or a part store's. */
export interface CachedPartsEstimate {
  /** Records that the cache now holds these parts. */
  readonly add: (scope: string, parts: readonly PromptPart[]) => void
  readonly drop: (scope: string, part: string) => void
  /** Tokens of the longest run of leading parts that the cache holds. */
  readonly cachedPrefixTokens: (scope: string, parts: readonly PromptPart[]) => number
  readonly clear: () => void
  /** Number of parts that the cache holds. */
  readonly size: () => number
}

const keyOf = (scope: string, part: string): string => `${scope}/${part}`

/**
 * Creates the estimate of an empty cache.
 *
 * @param capacity - tokens that the cache holds; the least recently used parts are evicted first
 * @returns the estimate
 */
export const createCachedPartsEstimate = (capacity: number): CachedPartsEstimate => {
  const tokensByKey = new LRUCache<string, number>({ maxSize: Math.max(1, Math.floor(capacity)), sizeCalculation: tokens => Math.max(1, Math.ceil(tokens)) })

  const add = (scope: string, parts: readonly PromptPart[]): void => {
    for (const { id, tokens } of parts) tokensByKey.set(keyOf(scope, id), tokens)
  }

  const cachedPrefixTokens = (scope: string, parts: readonly PromptPart[]): number => {
    let sum = 0
    for (const { id, tokens } of parts) {
      if (tokensByKey.get(keyOf(scope, id)) === undefined) break
      sum += tokens
    }
    return sum
  }

  return {
    add,
    drop: (scope, part) => { tokensByKey.delete(keyOf(scope, part)) },
    cachedPrefixTokens,
    clear: () => tokensByKey.clear(),
    size: () => tokensByKey.size
  }
}
