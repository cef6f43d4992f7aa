/**
 * Measures whether a service is short of room, from this instance's requests: a
 * request counts as short of room if no worker was expected to respond within its
 * objective, or if a worker turned it away. The shares move with a half-life of
 * about the length of a burst's first moments, and shortage ends at a lower share
 * than it begins, so that the order of service does not change with every request.
 */

/** The shortage of one service; times in ms. */
export interface Shortage {
  /** Records a request that is placed for the first time. */
  readonly noteExpected: (expected: number, objective: number, now: number) => void
  /** Records that a worker turned a request away. */
  readonly noteTurnedAway: (now: number) => void
  /** Fraction of the recent requests that were short of room, 0 to 1. */
  readonly share: (now: number) => number
  /** Fraction of the recent attempts that workers turned away, 0 to 1. */
  readonly turnedAwayShare: (now: number) => number
  /** Whether the service is short of room. */
  readonly isShort: (now: number) => boolean
}

/** Half-life of the counts, in ms. */
const halfLife = 2_000
/** Share of requests short of room from which the service is short of room. */
const beginShare = 0.1
/** Share below which it no longer is. */
const endShare = 0.05
/** Weight of requests with room that is assumed before any is counted, so that a single request is no shortage. */
const assumedRequests = 4

/** Creates the measure of a service without requests. */
export const createShortage = (): Shortage => {
  let requests = 0
  let late = 0
  let turnedAway = 0
  let at = 0
  let short = false

  const decay = (now: number): void => {
    const factor = 0.5 ** (Math.max(0, now - at) / halfLife)
    requests *= factor
    late *= factor
    turnedAway *= factor
    at = Math.max(at, now)
  }

  const share = (now: number): number => {
    decay(now)
    return Math.min(1, (late + turnedAway) / (requests + assumedRequests))
  }

  return {
    noteExpected: (expected, objective, now) => {
      decay(now)
      requests++
      if (expected > objective) late++
    },
    noteTurnedAway: now => {
      decay(now)
      turnedAway++
    },
    share,
    turnedAwayShare: now => {
      decay(now)
      return Math.min(1, turnedAway / (requests + assumedRequests))
    },
    isShort: now => {
      short = share(now) >= (short ? endShare : beginShare)
      return short
    }
  }
}
