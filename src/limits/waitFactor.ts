/**
 * Follows a high quantile of the ratio between the time to the first token and
 * what was expected, so that admission by deadline holds for nearly all.
 */

/** The ratio that admission reckons with. */
export interface WaitFactor {
  readonly value: () => number
  /** Takes in one answer; `left` was the time to its deadline. All in ms. */
  readonly observe: (expected: number, actual: number, left: number) => void
}

const quantile = 0.75
const step = 0.02
const smallest = 0.7
const largest = 3
/** Part of the time to the deadline below which an expected time says nothing of long queues. */
const tellingPart = 0.3

/** Creates a factor of 1. */
export const createWaitFactor = (): WaitFactor => {
  let value = 1

  const observe = (expected: number, actual: number, left: number): void => {
    if (expected < tellingPart * left || expected <= 0) return
    const ratio = actual / expected
    value += step * (ratio > value ? quantile : quantile - 1)
    value = Math.min(largest, Math.max(smallest, value))
  }

  return { value: () => value, observe }
}
