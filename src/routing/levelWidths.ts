/**
 * How many workers each level of a prompt is placed on. A level starts narrow,
 * widens when its requests spill to workers outside its placement, and narrows
 * slowly once they no longer do.
 */
import { LRUCache } from 'lru-cache'

/** Widths by level end. */
export interface LevelWidths {
  readonly width: (block: string, first: number) => number
  /** Counts a request of a level, and whether it went outside the level's placement. */
  readonly recordRequest: (block: string, first: number, spilled: boolean, now: number) => void
  readonly dump: () => Readonly<Record<string, number>>
}

interface Level {
  width: number
  requests: number
  spills: number
  changedAt: number
}

const maxLevels = 16_384
/** Requests over which the spilled fraction is taken. */
const sampleSize = 12
const widenAbove = 0.2
const narrowBelow = 0.05
const widenFactor = 1.5
/** Shortest time between two narrowings, in ms. */
const narrowInterval = 8000
/** Levels shown in the dump. */
const dumped = 64

/**
 * Creates the widths.
 *
 * @param maxWidth - workers that a level may be placed on at most
 * @returns widths of which all are still at their first value
 */
export const createLevelWidths = (maxWidth: number): LevelWidths => {
  const levels = new LRUCache<string, Level>({ max: maxLevels })

  const width = (block: string, first: number): number => Math.max(first, levels.peek(block)?.width ?? first)

  const fade = (level: Level): void => {
    level.requests /= 2
    level.spills /= 2
  }

  const widen = (level: Level, now: number): void => {
    level.width = Math.min(maxWidth, Math.ceil(level.width * widenFactor))
    level.requests = 0
    level.spills = 0
    level.changedAt = now
  }

  const narrow = (level: Level, first: number, now: number): void => {
    level.width = Math.max(first, level.width - 1)
    level.changedAt = now
  }

  const recordRequest = (block: string, first: number, spilled: boolean, now: number): void => {
    const level = levels.get(block) ?? { width: first, requests: 0, spills: 0, changedAt: now }
    levels.set(block, level)
    level.requests++
    if (spilled) level.spills++
    if (level.requests < sampleSize) return
    const fraction = level.spills / level.requests
    if (fraction > widenAbove) return widen(level, now)
    if (fraction < narrowBelow && now - level.changedAt > narrowInterval) narrow(level, first, now)
    if (level.requests >= 2 * sampleSize) fade(level)
  }

  const dump = (): Record<string, number> => {
    const shown: Record<string, number> = {}
    for (const [block, level] of levels.entries()) {
      if (Object.keys(shown).length >= dumped) break
      shown[block] = level.width
    }
    return shown
  }

  return { width, recordRequest, dump }
}
