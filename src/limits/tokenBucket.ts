/** A token bucket with a variable rate. Taking is not checked, so that one request may put the bucket into debt. */

/** A token bucket. Rates are per second, times in ms. */
export interface TokenBucket {
  /** Refills the bucket at this rate up to its capacity, and returns whether a request may take from it now. The default capacity is `burstFraction` of a second's amount. */
  readonly open: (rate: number, now: number, capacity?: number) => boolean
  /** Takes an amount, also beyond what the bucket holds; a negative amount is returned to it. */
  readonly take: (amount: number) => void
  /** Returns the time until a request may take from the bucket, in ms. */
  readonly wait: (rate: number) => number
  /** Returns the amount in the bucket; negative for a debt. */
  readonly level: () => number
}

/** A level of a bucket, and since when it fills (ms); a time in the future stands for a debt. */
export interface BucketStart {
  readonly level: number
  readonly at: number
}

/** Size of a burst, as a fraction of the amount of one second. */
export const burstFraction = 0.25

const msPerSecond = 1000

/**
 * Creates a token bucket.
 *
 * @param minimum - the smallest capacity, and the level from which a request may take
 * @param start - its level at some time; a bucket without is full when it is first opened
 * @returns the bucket
 */
export const createTokenBucket = (minimum: number, start?: BucketStart): TokenBucket => {
  let level = start?.level
  let filledAt = start?.at ?? 0

  const open = (rate: number, now: number, capacity = rate * burstFraction): boolean => {
    const limit = Math.max(minimum, capacity)
    const previous = level ?? limit
    level = Math.min(limit, previous + rate * Math.max(0, now - filledAt) / msPerSecond)
    filledAt = Math.max(now, filledAt)
    return level >= minimum
  }

  const take = (amount: number): void => {
    level = (level ?? 0) - amount
  }

  const wait = (rate: number): number =>
    rate <= 0 ? msPerSecond : Math.max(0, minimum - (level ?? 0)) / rate * msPerSecond

  return { open, take, wait, level: () => level ?? 0 }
}
