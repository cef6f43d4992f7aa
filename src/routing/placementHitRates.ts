/**
 * The hit rate of placed workers whose cache contents are unknown: the probability
 * that such a worker holds a level of a prompt. It is learned from the usage that
 * responses report, by the position of the level, since a shared system prompt is
 * nearly always cached and the last message of a prompt hardly ever.
 */
import type { PrefixChain } from '../prefix/prefixTypes.js'

/** Hit rates by the position of a level. */
export interface PlacementHitRates {
  /** Returns the prompt tokens expected to be cached on a worker in the placement of the first `depth` levels. */
  readonly tokens: (chain: PrefixChain, depth: number) => number
  /** Records how many prompt tokens were cached on a worker in the placement of the first `depth` levels. */
  readonly observe: (chain: PrefixChain, depth: number, cachedTokens: number) => void
  /** Returns the hit rates by position, for the state dump. */
  readonly dump: () => readonly number[]
}

/** Number of positions: one for each of the leading levels, and the last one for the deepest level. Levels between them share the last position but one. */
const positionCount = 8
const lastPosition = positionCount - 1
/** Hit rate before the first response. */
const initialHitRate = 0.7
/** Weight of the newest response in a hit rate. */
const learningRate = 0.05
/** Fraction of the tokens up to a level's end that must be cached for the level to count as held. */
const heldFraction = 0.9

const positionOf = (chain: PrefixChain, level: number): number =>
  level > 0 && level === chain.levels.length - 1 ? lastPosition : Math.min(level, lastPosition - 1)

/** Creates hit rates that are equal for all positions. */
export const createPlacementHitRates = (): PlacementHitRates => {
  const hitRates = new Array<number>(positionCount).fill(initialHitRate)

  const tokens = (chain: PrefixChain, depth: number): number => {
    let sum = 0
    let previousEnd = 0
    let hitRate = 1
    for (let level = 0; level < depth; level++) {
      const end = chain.tokenEnds[chain.levels[level] - 1]
      hitRate = Math.min(hitRate, hitRates[positionOf(chain, level)])
      sum += hitRate * (end - previousEnd)
      previousEnd = end
    }
    return sum
  }

  const observe = (chain: PrefixChain, depth: number, cachedTokens: number): void => {
    for (let level = 0; level < depth; level++) {
      const held = cachedTokens >= heldFraction * chain.tokenEnds[chain.levels[level] - 1] ? 1 : 0
      const position = positionOf(chain, level)
      hitRates[position] += learningRate * (held - hitRates[position])
      if (held === 0) return
    }
  }

  return { tokens, observe, dump: () => hitRates }
}
