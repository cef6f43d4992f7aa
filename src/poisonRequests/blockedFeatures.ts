/**
 * The features that no request may bring to a worker, as one instance knows them,
 * and when they may be tried again. The instance that coordinates their scope
 * repeats them to the others, so that a message that was lost is made good; at an
 * instance that does not hear of an entry any more, the entry ends.
 */
import { LRUCache } from 'lru-cache'
import { isWholeRequest, keyOf, type ScopedFeature } from './features.js'

/** A blocked feature; times in ms. */
export interface BlockedFeature extends ScopedFeature {
  readonly blockedAt: number
  /** When the last of the crashes under it happened. */
  readonly lastCrashAt: number
  /** Number of trials that failed; -1 for a feature that was sound before and is therefore tried soon. */
  readonly failures: number
  /** When a request may try it. */
  readonly trialAt: number
}

/** The blocked features known to one instance; times in ms. */
export interface BlockedFeatures {
  /** Blocks a feature, or updates what is known of it; returns whether it was not blocked, or was unblocked later than that. */
  readonly block: (blocked: BlockedFeature, now: number) => boolean
  /** Unblocks a feature as of `at`; returns whether it was blocked. */
  readonly unblock: (feature: ScopedFeature, at: number) => boolean
  readonly get: (feature: ScopedFeature) => BlockedFeature | undefined
  readonly all: () => readonly BlockedFeature[]
  readonly size: () => number
  /** Whether a whole request is among them. */
  readonly hasWholeRequests: () => boolean
  /** Ends the entries that have not been repeated, except those of scopes that this instance owns; returns them. */
  readonly expire: (owns: (scope: string) => boolean, now: number) => readonly BlockedFeature[]
}

/** Number of features that are blocked at once; the one that came up least recently goes first. */
export const maxBlocked = 256
/** Time without a repetition after which an entry ends, in ms. */
const repetitionTimeout = 20_000
/** Time from the block of a feature that was sound before to its first trial, in ms. */
const firstTrialDelay = 2_000
/** Time to the next trial, in ms, and the longest. */
const trialDelay = 60_000
const maxPartTrialDelay = 3_600_000
const maxRequestTrialDelay = 86_400_000
/** Factor by which the time to the next trial grows with each that fails. A whole request concerns one caller, so that it is tried at most three times a day. */
const partTrialFactor = 2
const requestTrialFactor = 60

/**
 * Returns the time to the next trial of a feature, in ms.
 *
 * @param feature - the feature
 * @param failures - number of failed trials, as in `BlockedFeature`
 */
export const trialDelayAfter = (feature: string, failures: number): number => {
  if (failures < 0) return firstTrialDelay
  return isWholeRequest(feature)
    ? Math.min(maxRequestTrialDelay, trialDelay * requestTrialFactor ** failures)
    : Math.min(maxPartTrialDelay, trialDelay * partTrialFactor ** failures)
}

interface Entry {
  readonly blocked: BlockedFeature
  readonly heardAt: number
}

/** Creates a table without blocked features. */
export const createBlockedFeatures = (): BlockedFeatures => {
  const entries = new LRUCache<string, Entry>({ max: maxBlocked })
  /** When features were unblocked, so that older news does not block them again. */
  const unblocked = new LRUCache<string, number>({ max: maxBlocked })

  const block = (blocked: BlockedFeature, now: number): boolean => {
    const key = keyOf(blocked)
    if (blocked.blockedAt <= (unblocked.get(key) ?? -Infinity)) return false
    const known = entries.peek(key)?.blocked
    const isKnown = known !== undefined
    // Of two accounts the one with more failed trials is newer.
    const newest = isKnown && known.failures > blocked.failures ? known : blocked
    const entry: Entry = { blocked: { ...newest, lastCrashAt: Math.max(blocked.lastCrashAt, known?.lastCrashAt ?? -Infinity) }, heardAt: now }
    entries.set(key, entry)
    return !isKnown
  }

  const unblock = (feature: ScopedFeature, at: number): boolean => {
    const key = keyOf(feature)
    unblocked.set(key, Math.max(at, unblocked.get(key) ?? -Infinity))
    const known = entries.peek(key)
    return known !== undefined && known.blocked.blockedAt <= at && entries.delete(key)
  }

  const expire = (owns: (scope: string) => boolean, now: number): readonly BlockedFeature[] => {
    const ended: BlockedFeature[] = []
    for (const [key, { blocked, heardAt }] of [...entries.entries()]) {
      if (owns(blocked.scope)) entries.set(key, { blocked, heardAt: now })
      else if (now - heardAt > repetitionTimeout) {
        entries.delete(key)
        ended.push(blocked)
      }
    }
    return ended
  }

  const all = (): readonly BlockedFeature[] => [...entries.values()].map(({ blocked }) => blocked)

  return {
    block,
    unblock,
    get: feature => entries.get(keyOf(feature))?.blocked,
    all,
    size: () => entries.size,
    hasWholeRequests: () => all().some(({ feature }) => isWholeRequest(feature)),
    expire
  }
}
