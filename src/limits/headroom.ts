/**
 * The part of the time to the deadline that admitted work may be expected to
 * wait. It falls with each answer that came late and rises with each in time,
 * so that it settles where nearly all that is admitted comes in time.
 */

/** The part that admission reckons with. */
export interface Headroom {
  readonly value: () => number
  /** Takes in one first token: whether it came after its deadline. */
  readonly observe: (late: boolean) => void
}

/** Part of the admitted work that may be late. */
const lateFraction = 0.04
/** Change of the headroom per answer: this much, and more the more of the last answers were late. */
const leastStep = 0.02
const stepPerLate = 0.2
/** Weight of the newest answer in the recent part that was late. */
const recentRate = 0.1
const smallest = 0.25
const largest = 1.3

/** Creates a headroom at its largest. */
export const createHeadroom = (): Headroom => {
  let value = largest
  let recent = 0

  const observe = (late: boolean): void => {
    recent += recentRate * ((late ? 1 : 0) - recent)
    const step = leastStep + stepPerLate * recent
    value += step * (late ? lateFraction - 1 : lateFraction)
    value = Math.min(largest, Math.max(smallest, value))
  }

  return { value: () => value, observe }
}
