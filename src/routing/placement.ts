/**
 * Places the levels of a prompt on nested sets of workers: a level's workers
 * are chosen by rendezvous among those of the level above it, so that branches
 * of one guidance share the workers that already hold the guidance.
 */
import type { PrefixChain } from '../prefix/prefixTypes.js'
import type { CandidateSet } from './candidateIndex.js'
import type { LevelWidths } from './levelWidths.js'

/** Where the levels of one prompt are placed. */
export interface Placement {
  /** Workers of each level, as indexes into the candidate set. */
  readonly levels: readonly Uint16Array[]
  /** Number of leading levels whose workers include this one. */
  readonly depthOf: (index: number) => number
}

/** The width that a level has before anything is known of its rate: the deepest has one worker, and each level above twice as many. */
export const initialWidth = (level: number, levels: number): number => 2 ** Math.min(3, levels - 1 - level)

/**
 * Places a prompt.
 *
 * @param set - the candidates
 * @param chain - the prompt
 * @param widths - how many workers each level gets
 * @returns the nested sets
 */
export const placeLevels = (set: CandidateSet, chain: PrefixChain, widths: LevelWidths): Placement => {
  const levels: Uint16Array[] = []
  chain.levels.forEach((blocks, level) => {
    const low = chain.words[2 * blocks - 1]
    const width = widths.width(chain.blocks[blocks - 1], initialWidth(level, chain.levels.length))
    levels.push(level === 0 ? set.orders.order(low).subarray(0, width) : set.orders.topAmong(low, levels[level - 1], width))
  })

  const depthOf = (index: number): number => {
    let depth = 0
    while (depth < levels.length && levels[depth].includes(index)) depth++
    return depth
  }

  return { levels, depthOf }
}
