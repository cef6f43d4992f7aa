/**
 * Follows a high quantile of the ratio between the time to the first token and
 * what was expected, so that admission by deadline holds for nearly all.
 */

/** The ratio that admission reckons with. */
export interface WaitFactor {
  readonly value: () => number
  readonly observe: (expected: number, actual: number) => void
}

const quantile = 0.9
const step = 0.02
const smallest = 0.8
const largest = 3
/** Expected times below this, in ms, say nothing of queues. */
const shortest = 20

/** Creates a factor of 1. */
export const createWaitFactor = (): WaitFactor => {
  let value = 1

  const observe = (expected: number, actual: number): void => {
    const ratio = actual / Math.max(shortest, expected)
    value += step * (ratio > value ? quantile : quantile - 1)
    value = Math.min(largest, Math.max(smallest, value))
  }

  return { value: () => value, observe }
}
