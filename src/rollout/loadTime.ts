/**
 * Estimates how long a worker takes to load weights. Models and engines differ, so
 * the time is learned from the loads that this instance orders. A worker's status
 * is polled and lags, so the end of a load is known only to lie between the last
 * status that showed it in progress and the first that did not.
 */

/** The estimate of one instance; times in ms. */
export interface LoadTime {
  /** Expected time from an order to the end of the load. */
  readonly expected: () => number
  /**
   * Records a finished load.
   *
   * @param busyAfter - time from the order to the last status that showed the load in progress; 0 if there was none
   * @param doneAfter - time from the order to the status that showed the new weights
   */
  readonly noteLoad: (busyAfter: number, doneAfter: number) => void
}

/** Load time that is assumed until one has been observed, in ms. */
const defaultLoadTime = 600
/** Age of a worker's status when it arrives, in ms. */
const statusLag = 150
/** Weight of a new observation. */
const smoothingFactor = 0.3
/** Shortest load time that is assumed, in ms. */
const minLoadTime = 100

/** Creates an estimate without observations. */
export const createLoadTime = (): LoadTime => {
  let expected = defaultLoadTime
  let observed = false

  return {
    expected: () => expected,
    noteLoad: (busyAfter, doneAfter) => {
      // Without a status in progress, the load may have ended at any time before the first status.
      if (busyAfter === 0 && doneAfter >= expected) return
      const time = Math.max(minLoadTime, (busyAfter === 0 ? doneAfter : (busyAfter + doneAfter) / 2) - statusLag)
      expected = observed ? expected + smoothingFactor * (time - expected) : time
      observed = true
    }
  }
}
