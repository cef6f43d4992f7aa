/**
 * Headroom: the fraction of the time to the deadline up to which the expected wait
 * of an admitted request may go. It falls with each first token after its deadline
 * and rises with each in time, so that it settles where nearly all admitted requests
 * meet their deadline.
 */

/** The headroom that admission uses. */
export interface Headroom {
  /** Returns the headroom, as a fraction of the time to the deadline. */
  readonly value: () => number
  /** Records whether a first token came after its deadline. */
  readonly observe: (late: boolean) => void
}

/** Fraction of the admitted requests that may be late. */
const targetLateFraction = 0.04
/** Minimum step of the headroom per first token. */
const minStep = 0.02
/** Addition to the step, in proportion to the recent fraction of late first tokens. */
const stepPerLateFraction = 0.2
/** Weight of the newest first token in the recent fraction of late ones. */
const smoothingFactor = 0.1
/** Bounds of the headroom, as fractions of the time to the deadline. */
const minHeadroom = 0.25
const maxHeadroom = 1.3

/** Creates a headroom at its upper bound. */
export const createHeadroom = (): Headroom => {
  let value = maxHeadroom
  let recentLate = 0

  const observe = (late: boolean): void => {
    recentLate += smoothingFactor * ((late ? 1 : 0) - recentLate)
    const step = minStep + stepPerLateFraction * recentLate
    value += step * (late ? targetLateFraction - 1 : targetLateFraction)
    value = Math.min(maxHeadroom, Math.max(minHeadroom, value))
  }

  return { value: () => value, observe }
}
