/**
 * The number of workers that each level of a prompt is placed on, its width. A
 * level starts at its initial width, widens when its requests spill to workers
 * outside its placement, and narrows slowly once they no longer do.
 */
import { LRUCache } from 'lru-cache'

/** Widths of levels, by the hash of the block that ends the level. */
export interface LevelWidths {
  /** Returns the width of a level, at least its initial width. */
  readonly width: (block: string, initial: number) => number
  /** Records a request of a level, and whether it spilled to a worker outside the level's placement. */
  readonly recordRequest: (block: string, initial: number, spilled: boolean, now: number) => void
  /** Returns the widths of the most recently used levels, by block, for the state dump. */
  readonly dump: () => Readonly<Record<string, number>>
}

interface Level {
  width: number
  /** Number of requests in the current sample. */
  requests: number
  /** Number of requests in the sample that spilled. */
  spills: number
  /** Time at which the width last changed, or the level was first recorded, in ms. */
  changedAt: number
}

/** Maximum number of levels kept; the least recently used is evicted. */
const maxLevels = 16_384
/** Minimum number of requests from which the spilled fraction is computed. */
const sampleSize = 12
/** Spilled fraction above which a level widens. */
const widenAbove = 0.2
/** Spilled fraction below which a level narrows. */
const narrowBelow = 0.05
/** Factor by which a level widens. */
const widenFactor = 1.5
/** Minimum time between a change of the width and a narrowing, in ms. */
const narrowInterval = 8000
/** Maximum number of levels in the state dump. */
const maxDumped = 64

/**
 * Creates level widths.
 *
 * @param maxWidth - the largest number of workers that a level may be placed on
 * @returns widths with every level at its initial width
 */
export const createLevelWidths = (maxWidth: number): LevelWidths => {
  const levels = new LRUCache<string, Level>({ max: maxLevels })

  const width = (block: string, initial: number): number => Math.max(initial, levels.peek(block)?.width ?? initial)

  const halveCounts = (level: Level): void => {
    level.requests /= 2
    level.spills /= 2
  }

  const widen = (level: Level, now: number): void => {
    level.width = Math.min(maxWidth, Math.ceil(level.width * widenFactor))
    level.requests = 0
    level.spills = 0
    level.changedAt = now
  }

  const narrow = (level: Level, initial: number, now: number): void => {
    level.width = Math.max(initial, level.width - 1)
    level.changedAt = now
  }

  const recordRequest = (block: string, initial: number, spilled: boolean, now: number): void => {
    const level = levels.get(block) ?? { width: initial, requests: 0, spills: 0, changedAt: now }
    levels.set(block, level)
    level.requests++
    if (spilled) level.spills++
    if (level.requests < sampleSize) return
    const fraction = level.spills / level.requests
    if (fraction > widenAbove) return widen(level, now)
    if (fraction < narrowBelow && now - level.changedAt > narrowInterval) narrow(level, initial, now)
    if (level.requests >= 2 * sampleSize) halveCounts(level)
  }

  const dump = (): Record<string, number> => {
    const shown: Record<string, number> = {}
    for (const [block, level] of levels.entries()) {
      if (Object.keys(shown).length >= maxDumped) break
      shown[block] = level.width
    }
    return shown
  }

  return { width, recordRequest, dump }
}
