/** A token bucket with a variable rate. Taking is not checked, so that one request may put the bucket into debt. */

/** A token bucket. Rates are per second, times in ms. */
export interface TokenBucket {
  /** Refills the bucket at this rate, and returns whether a request may take from it now. */
  readonly open: (rate: number, now: number) => boolean
  /** Takes an amount, also beyond what the bucket holds; a negative amount is returned to it. */
  readonly take: (amount: number) => void
  /** Returns the time until a request may take from the bucket, in ms. */
  readonly wait: (rate: number) => number
}

/** Size of a burst, as a fraction of the amount of one second. */
export const burstFraction = 0.25

const msPerSecond = 1000

/**
 * Creates a full token bucket.
 *
 * @param minimum - the smallest capacity, and the level from which a request may take
 * @returns the bucket
 */
export const createTokenBucket = (minimum: number): TokenBucket => {
  let level: number | undefined
  let filledAt = 0

  const open = (rate: number, now: number): boolean => {
    const capacity = Math.max(minimum, rate * burstFraction)
    const previous = level ?? capacity
    level = Math.min(capacity, previous + rate * Math.max(0, now - filledAt) / msPerSecond)
    filledAt = now
    return level >= minimum
  }

  const take = (amount: number): void => {
    level = (level ?? 0) - amount
  }

  const wait = (rate: number): number =>
    rate <= 0 ? msPerSecond : Math.max(0, minimum - (level ?? 0)) / rate * msPerSecond

  return { open, take, wait }
}
