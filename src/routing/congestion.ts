/**
 * How much a unit of work delays the requests behind it. In a queue with
 * utilisation r, each ms of work costs the others about r / (1 - r) ms, and the
 * mean wait is about that many times the mean work, so the ratio of the two
 * gives the price of recomputation without knowing the utilisation.
 */

/** The price of work. */
export interface Congestion {
  /** Time that others lose per unit of time worked. */
  readonly value: () => number
  /** Takes in one decision: the wait and the work at the chosen worker, in ms. */
  readonly observe: (wait: number, work: number) => void
}

const rate = 0.05
const largest = 4

/** Creates a price of 0. */
export const createCongestion = (): Congestion => {
  let wait = 0
  let work = 0

  const observe = (newWait: number, newWork: number): void => {
    wait += rate * (newWait - wait)
    work += rate * (newWork - work)
  }

  return { value: () => work <= 0 ? 0 : Math.min(largest, wait / work), observe }
}
