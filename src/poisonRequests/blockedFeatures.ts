/**
 * The parts that no request may bring to a worker, as one instance knows them, and
 * when they may be tried again. The instance that owns a model's table repeats it
 * to the others, so that a message that was lost is made good; at an instance that
 * does not hear of an entry any more, the entry ends.
 */
import { LRUCache } from 'lru-cache'
import type { ScopedFeature } from './poisonRequestsTypes.js'

/** A blocked part; times in ms. */
export interface BlockedFeature extends ScopedFeature {
  readonly blockedAt: number
  /** When the last of the crashes under it happened. */
  readonly lastCrashAt: number
  /** Number of trials that failed; -1 for a part that was sound before and is therefore tried soon. */
  readonly failures: number
  /** When a request may try it. */
  readonly trialAt: number
}

/** The blocked parts known to one instance; times in ms. */
export interface BlockedFeatures {
  /** Blocks a part, or updates what is known of it; returns whether it was not blocked, or was unblocked later than that. */
  readonly block: (blocked: BlockedFeature, now: number) => boolean
  /** Unblocks a part as of `at`; returns whether it was blocked. */
  readonly unblock: (part: ScopedFeature, at: number) => boolean
  readonly get: (model: string, part: string) => BlockedFeature | undefined
  readonly all: () => readonly BlockedFeature[]
  /** Ends the entries that have not been repeated, except those of models that this instance owns; returns them. */
  readonly expire: (owns: (model: string) => boolean, now: number) => readonly BlockedFeature[]
}

/** Number of parts that are blocked at once. */
const maxBlocked = 64
/** Time without a repetition after which an entry ends, in ms. */
const repetitionTimeout = 20_000
/** Time from the block of a part that was sound before to its first trial, in ms. */
const firstTrialDelay = 2_000
/** Time to the next trial, in ms; doubled with each trial that fails, up to the longest. */
const trialDelay = 60_000
const maxTrialDelay = 3_600_000

/**
 * Returns the time to the next trial of a part, in ms.
 *
 * @param failures - number of failed trials, as in `BlockedFeature`
 */
export const trialDelayAfter = (failures: number): number =>
  failures < 0 ? firstTrialDelay : Math.min(maxTrialDelay, trialDelay * 2 ** failures)

interface Entry {
  readonly blocked: BlockedFeature
  readonly heardAt: number
}

const keyOf = ({ model, part }: ScopedFeature): string => `${model}/${part}`

/** Creates a table without blocked parts. */
export const createBlockedFeatures = (): BlockedFeatures => {
  const entries = new LRUCache<string, Entry>({ max: maxBlocked })
  /** When parts were unblocked, so that older news does not block them again. */
  const unblocked = new LRUCache<string, number>({ max: maxBlocked })

  const block = (blocked: BlockedFeature, now: number): boolean => {
    const key = keyOf(blocked)
    if (blocked.blockedAt <= (unblocked.get(key) ?? -Infinity)) return false
    const known = entries.peek(key)?.blocked
    const isKnown = known !== undefined
    // Of two accounts the one with more failed trials is newer.
    const newest = isKnown && known.failures > blocked.failures ? known : blocked
    entries.set(key, { blocked: { ...newest, lastCrashAt: Math.max(blocked.lastCrashAt, known?.lastCrashAt ?? -Infinity) }, heardAt: now })
    return !isKnown
  }

  const unblock = (part: ScopedFeature, at: number): boolean => {
    const key = keyOf(part)
    unblocked.set(key, Math.max(at, unblocked.get(key) ?? -Infinity))
    const known = entries.peek(key)
    return known !== undefined && known.blocked.blockedAt <= at && entries.delete(key)
  }

  const expire = (owns: (model: string) => boolean, now: number): readonly BlockedFeature[] => {
    const ended: BlockedFeature[] = []
    for (const [key, { blocked, heardAt }] of [...entries.entries()]) {
      if (owns(blocked.model)) entries.set(key, { blocked, heardAt: now })
      else if (now - heardAt > repetitionTimeout) {
        entries.delete(key)
        ended.push(blocked)
      }
    }
    return ended
  }

  return {
    block,
    unblock,
    get: (model, part) => entries.get(keyOf({ model, part }))?.blocked,
    all: () => [...entries.values()].map(({ blocked }) => blocked),
    expire
  }
}
