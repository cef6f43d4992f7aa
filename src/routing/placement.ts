/**
 * Places the levels of a prompt on nested sets of workers. A level's workers are
 * chosen by rendezvous hashing among those of the level before it, so that prompts
 * with the same system prompt share the workers that already hold it.
 */
import type { PrefixChain } from '../prefix/prefixTypes.js'
import type { CandidateSet } from './candidateIndex.js'
import type { LevelWidths } from './levelWidths.js'

/** The workers that the levels of one prompt are placed on. */
export interface Placement {
  /** Workers of each level, as indexes into the candidate set, best first. */
  readonly levels: readonly Uint16Array[]
  /** Returns the number of leading levels whose workers include the one with this index. */
  readonly depthOf: (index: number) => number
}

/**
 * Returns the width of a level before any of its requests spilled: 1 for the deepest level,
 * doubled for each level above it, up to 8.
 *
 * @param level - the level, from 0
 * @param levels - the number of levels of the prompt
 * @returns the number of workers
 */
export const initialWidth = (level: number, levels: number): number => 2 ** Math.min(3, levels - 1 - level)

/**
 * Places the levels of a prompt.
 *
 * @param set - the candidate workers
 * @param chain - the hash chain of the prompt
 * @param widths - the number of workers of each level
 * @returns the nested sets of workers
 */
export const placeLevels = (set: CandidateSet, chain: PrefixChain, widths: LevelWidths): Placement => {
  const levels: Uint16Array[] = []
  chain.levels.forEach((blocks, level) => {
    const lowWord = chain.words[2 * blocks - 1]
    const width = widths.width(chain.blocks[blocks - 1], initialWidth(level, chain.levels.length))
    levels.push(level === 0 ? set.orders.order(lowWord).subarray(0, width) : set.orders.topAmong(lowWord, levels[level - 1], width))
  })

  const depthOf = (index: number): number => {
    let depth = 0
    while (depth < levels.length && levels[depth].includes(index)) depth++
    return depth
  }

  return { levels, depthOf }
}
