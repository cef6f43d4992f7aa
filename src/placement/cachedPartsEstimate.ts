/**
 * Which prompt parts a worker or a part store is believed to keep. The belief
 * comes from own requests and from events, both of which miss some changes, so
 * it is used to choose and never to answer.
 */
import { LRUCache } from 'lru-cache'
import type { PromptPart } from '../ports/forwardPort.js'

/** The belief about one keeper. */
export interface CachedPartsEstimate {
  /** Takes in that these parts are kept now. */
  readonly add: (scope: string, parts: readonly PromptPart[]) => void
  readonly drop: (scope: string, part: string) => void
  /** Tokens of the longest run of leading parts that is kept. */
  readonly cachedPrefixTokens: (scope: string, parts: readonly PromptPart[]) => number
  readonly clear: () => void
  readonly size: () => number
}

const keyOf = (scope: string, part: string): string => `${scope}/${part}`

/**
 * Creates an empty belief.
 *
 * @param capacity - tokens that the keeper holds; the least recently used go first
 * @returns the belief
 */
export const createCachedPartsEstimate = (capacity: number): CachedPartsEstimate => {
  const kept = new LRUCache<string, number>({ maxSize: Math.max(1, Math.floor(capacity)), sizeCalculation: tokens => Math.max(1, tokens) })

  const add = (scope: string, parts: readonly PromptPart[]): void => {
    for (const { id, tokens } of parts) kept.set(keyOf(scope, id), tokens)
  }

  const leadingTokens = (scope: string, parts: readonly PromptPart[]): number => {
    let sum = 0
    for (const { id, tokens } of parts) {
      if (kept.get(keyOf(scope, id)) === undefined) break
      sum += tokens
    }
    return sum
  }

  return {
    add,
    drop: (scope, part) => { kept.delete(keyOf(scope, part)) },
    cachedPrefixTokens: leadingTokens,
    clear: () => kept.clear(),
    size: () => kept.size
  }
}
