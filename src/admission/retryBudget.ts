/**
 * Retry budget of one service. Within any time window, all instances together
 * may add retries up to a fraction of the service's requests plus a fixed slack.
 * Each instance uses that fraction of its own requests and an equal share of the
 * slack, so the budget holds without coordination. The budget prevents retries
 * from overloading a service that is failing or at capacity.
 */

/** Limits of the budget, for all instances together. */
export interface RetryBudgetOptions {
  /** Retries allowed per request. */
  readonly fraction: number
  /** Additional retries allowed per window, shared by all instances. */
  readonly slack: number
  /** Length of the window, in ms. */
  readonly window: number
}

/** One instance's share of the retry budget of one service; times in ms. */
export interface RetryBudget {
  /** Counts a request, which raises the budget. */
  readonly recordRequest: (now: number) => void
  /** Takes a request that was counted at this time out of the count. */
  readonly withdrawRequest: (at: number) => void
  /** Whether the budget allows another retry; `share` is the fraction of it that may be used, all by default. */
  readonly canTake: (instances: number, now: number, share?: number) => boolean
  /** Takes one retry from the budget; returns false if none is left. */
  readonly take: (instances: number, now: number) => boolean
  /** Gives back a retry that was taken at this time and not sent. */
  readonly giveBack: (now: number) => void
  /** Retries taken in the current window. */
  readonly used: (now: number) => number
}

/** Fraction of the budget that is used; the rest is reserved because the windows of the instances are not aligned. */
const safetyFactor = 0.75
/** Number of counter slots in a window. */
const slotsPerWindow = 10

/** Counts events in a sliding window; times in ms. */
interface Counter {
  readonly add: (now: number, count?: number) => void
  readonly sum: (now: number) => number
}

const createCounter = (window: number): Counter => {
  const slotLength = window / slotsPerWindow
  const counts = new Map<number, number>()
  const slotOf = (now: number): number => Math.floor(now / slotLength)

  const trim = (now: number): void => {
    for (const slot of counts.keys()) if (slot < slotOf(now) - slotsPerWindow) counts.delete(slot)
  }

  return {
    add: (now, count = 1) => {
      trim(now)
      counts.set(slotOf(now), (counts.get(slotOf(now)) ?? 0) + count)
    },
    sum: now => {
      trim(now)
      return [...counts.values()].reduce((sum, count) => sum + count, 0)
    }
  }
}

/**
 * Creates the retry budget of one service.
 *
 * @param options - limits for all instances together
 * @returns this instance's share
 */
export const createRetryBudget = ({ fraction, slack, window }: RetryBudgetOptions): RetryBudget => {
  const requests = createCounter(window)
  const retries = createCounter(window)

  const canTake = (instances: number, now: number, share = 1): boolean =>
    retries.sum(now) + 1 <= share * safetyFactor * (fraction * requests.sum(now) + slack / Math.max(1, instances))

  const take = (instances: number, now: number): boolean => {
    if (!canTake(instances, now)) return false
    retries.add(now)
    return true
  }

  return { recordRequest: now => requests.add(now), withdrawRequest: at => requests.add(at, -1), canTake, take, giveBack: now => retries.add(now, -1), used: retries.sum }
}
