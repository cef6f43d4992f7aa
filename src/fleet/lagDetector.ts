/**
 * Whether an instance falls behind its own work. It answers an instance of few
 * processors right after a restart, or with more callers than it can serve:
 * requests then wait in the process before they are even looked at. One that is
 * strained asks the others not to send it new callers until it has caught up.
 */

/** The strain of one instance; times in ms. */
export interface LagDetector {
  /** Takes in that a tick has come. */
  readonly recordTick: (now: number) => void
  readonly isLagging: () => boolean
}

/** Lateness of a tick from which on an instance is strained, in ms: a quarter of the shortest objective that callers have. */
const strainedFrom = 50
/** Lateness below which it has caught up, in ms. */
const relaxedBelow = 20
/** Time in which the memory of a late tick fades by half, in ms. */
const halfLife = 300

/**
 * Creates the strain of an instance that keeps up.
 *
 * @param interval - time between ticks when it does, in ms
 */
export const createLagDetector = (interval: number): LagDetector => {
  let last: number | undefined
  let lateness = 0
  let strained = false

  const recordTick = (now: number): void => {
    const passed = now - (last ?? now)
    last = now
    lateness = Math.max(passed - interval, lateness * 0.5 ** (passed / halfLife))
    strained = lateness >= (strained ? relaxedBelow : strainedFrom)
  }

  return { recordTick, isLagging: () => strained }
}
