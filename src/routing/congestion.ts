/**
 * Estimates how much a unit of work delays the requests queued behind it. In a
 * queue with utilisation r, each ms of work delays other requests by about
 * r / (1 - r) ms, and the mean wait is about r / (1 - r) times the mean work. The
 * ratio of mean wait to mean work therefore gives the price of recomputation
 * without knowledge of the utilisation.
 */

/** The congestion price of work. */
export interface Congestion {
  /** Returns the delay that a unit of work causes to other requests, in units of that work. */
  readonly value: () => number
  /** Records one decision: the expected wait and the work at the chosen worker, in ms. */
  readonly observe: (wait: number, work: number) => void
}

/** Weight of the newest decision in the means. */
const smoothingFactor = 0.05
/** Upper bound of the price. */
const maxPrice = 4

/** Creates a congestion price that is 0 until a decision is recorded. */
export const createCongestion = (): Congestion => {
  let wait = 0
  let work = 0

  const observe = (newWait: number, newWork: number): void => {
    wait += smoothingFactor * (newWait - wait)
    work += smoothingFactor * (newWork - work)
  }

  return { value: () => work <= 0 ? 0 : Math.min(maxPrice, wait / work), observe }
}
