/**
 * Detects event-loop lag of an instance by the lateness of its ticks. Lag occurs on
 * instances with few processors right after a restart, or with more callers than
 * they can serve: requests then wait in the process before they are handled. A
 * lagging instance reports itself as `strained`, so that the others leave it out of
 * their directory responses until it has caught up.
 */

/** Lag detector of one instance; times in ms. */
export interface LagDetector {
  /** Records that a tick has run at `now`. */
  readonly recordTick: (now: number) => void
  /** Whether the last tick was late, or earlier lateness has not decayed yet. */
  readonly isLagging: () => boolean
}

/** Lateness in ms from which an instance counts as lagging: a quarter of the shortest latency objective of callers. */
const lagThreshold = 50
/** Lateness in ms below which it counts as caught up again. */
const recoveryThreshold = 20
/** Half-life of the recorded lateness, in ms. */
const halfLife = 300

/**
 * Creates a lag detector.
 *
 * @param interval - nominal time between ticks, in ms
 * @returns a detector that reports no lag yet
 */
export const createLagDetector = (interval: number): LagDetector => {
  let last: number | undefined
  let lateness = 0
  let lagging = false

  const recordTick = (now: number): void => {
    const elapsed = now - (last ?? now)
    last = now
    lateness = Math.max(elapsed - interval, lateness * 0.5 ** (elapsed / halfLife))
    lagging = lateness >= (lagging ? recoveryThreshold : lagThreshold)
  }

  return { recordTick, isLagging: () => lagging }
}
