/** A token bucket whose rate may change; it may go into debt by one request. */

/** A token bucket. */
export interface TokenBucket {
  /** Whether something may be taken now. */
  readonly open: (rate: number, now: number) => boolean
  readonly take: (amount: number) => void
  /** Time until something may be taken, in ms. */
  readonly wait: (rate: number) => number
}

/** Part of a second's worth that may be taken in one burst. */
export const burstFraction = 0.25

const msPerSecond = 1000

/**
 * Creates a full bucket.
 *
 * @param smallest - what the bucket holds at least when full
 * @returns the bucket
 */
export const createTokenBucket = (smallest: number): TokenBucket => {
  let level: number | undefined
  let filledAt = 0

  const open = (rate: number, now: number): boolean => {
    const full = Math.max(smallest, rate * burstFraction)
    const before = level ?? full
    level = Math.min(full, before + rate * Math.max(0, now - filledAt) / msPerSecond)
    filledAt = now
    return level >= smallest
  }

  const take = (amount: number): void => {
    level = (level ?? 0) - amount
  }

  const wait = (rate: number): number =>
    rate <= 0 ? msPerSecond : Math.max(0, smallest - (level ?? 0)) / rate * msPerSecond

  return { open, take, wait }
}
