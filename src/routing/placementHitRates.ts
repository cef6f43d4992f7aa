/**
 * The chance that a placed worker of unknown contents holds a level, learned
 * from answers by the level's position: shared guidance is nearly always there,
 * the last message of a prompt hardly ever.
 */
import type { PrefixChain } from '../prefix/prefixTypes.js'

/** Chances by level. */
export interface PlacementHitRates {
  /** Tokens expected to be cached on a worker placed for the first `depth` levels. */
  readonly tokens: (chain: PrefixChain, depth: number) => number
  /** Takes in how much of a prompt a worker placed for `depth` levels held. */
  readonly observe: (chain: PrefixChain, depth: number, cachedTokens: number) => void
  readonly dump: () => readonly number[]
}

/** Levels told apart, counted from the first and, for the last one, on its own. */
const positions = 8
const lastPosition = positions - 1
const firstBelief = 0.7
const learningRate = 0.05
/** Part of a level's tokens from which on it counts as held. */
const heldPart = 0.9

const positionOf = (chain: PrefixChain, level: number): number =>
  level > 0 && level === chain.levels.length - 1 ? lastPosition : Math.min(level, lastPosition - 1)

/** Creates chances that are equal for all levels. */
export const createPlacementHitRates = (): PlacementHitRates => {
  const beliefs = new Array<number>(positions).fill(firstBelief)

  const tokens = (chain: PrefixChain, depth: number): number => {
    let sum = 0
    let before = 0
    let chance = 1
    for (let level = 0; level < depth; level++) {
      const end = chain.tokenEnds[chain.levels[level] - 1]
      chance = Math.min(chance, beliefs[positionOf(chain, level)])
      sum += chance * (end - before)
      before = end
    }
    return sum
  }

  const observe = (chain: PrefixChain, depth: number, cachedTokens: number): void => {
    for (let level = 0; level < depth; level++) {
      const held = cachedTokens >= heldPart * chain.tokenEnds[chain.levels[level] - 1] ? 1 : 0
      const position = positionOf(chain, level)
      beliefs[position] += learningRate * (held - beliefs[position])
      if (held === 0) return
    }
  }

  return { tokens, observe, dump: () => beliefs }
}
