/**
 * The budget of repeated sends to one service. All instances together may add a
 * fraction of the service's requests, and a fixed slack, in any window of time;
 * each instance uses the fraction of its own requests and an equal part of the
 * slack, so that the budget holds without talking. It answers the load in which
 * a failing or full service would be buried under repeats.
 */

/** Bounds of the budget. */
export interface RetryBudgetOptions {
  /** Repeats allowed per request. */
  readonly fraction: number
  /** Repeats allowed beside, by all instances together. */
  readonly slack: number
  /** Length of the window, in ms. */
  readonly window: number
}

/** The budget of one service at one instance. */
export interface RetryBudget {
  readonly recordRequest: (now: number) => void
  /** Whether a repeat is left. */
  readonly canTake: (instances: number, now: number) => boolean
  /** Takes one repeat if one is left. */
  readonly take: (instances: number, now: number) => boolean
  /** Repeats in the present window. */
  readonly used: (now: number) => number
}

/** Part of the budget that is used, since windows at instances do not begin together. */
const safeShare = 0.75
const slotsPerWindow = 10

interface Counter {
  readonly add: (now: number) => void
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
    add: now => {
      trim(now)
      counts.set(slotOf(now), (counts.get(slotOf(now)) ?? 0) + 1)
    },
    sum: now => {
      trim(now)
      return [...counts.values()].reduce((sum, count) => sum + count, 0)
    }
  }
}

/**
 * Creates a budget.
 *
 * @param bounds - the budget of all instances together
 * @returns one instance's part
 */
export const createRetryBudget = ({ fraction, slack, window }: RetryBudgetOptions): RetryBudget => {
  const requests = createCounter(window)
  const repeats = createCounter(window)

  const has = (instances: number, now: number): boolean =>
    repeats.sum(now) + 1 <= safeShare * (fraction * requests.sum(now) + slack / Math.max(1, instances))

  const take = (instances: number, now: number): boolean => {
    if (!has(instances, now)) return false
    repeats.add(now)
    return true
  }

  return { recordRequest: requests.add, canTake: has, take, used: repeats.sum }
}
