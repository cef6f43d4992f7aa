/**
 * Times at which refused callers are asked back. The load is a burst in which
 * hundreds of callers are refused within a second; if they come back together,
 * they are refused together. Each refusal takes the next place of a virtual queue
 * that moves at half of the rate at which this instance sends requests, so callers
 * refused earlier come back earlier. Those refused again come before new ones.
 */

/** What a refusal states; times in ms. */
export interface RefusedCaller {
  /** Identifies the caller's request under whatever id it comes. */
  readonly fingerprint: string
  readonly arrivedAt: number
  /** Time until a place for this request is likely. */
  readonly wait: number
}

/** The refused callers of one service; times in ms. */
export interface ReturnTimes {
  /** Records that a request was sent. */
  readonly noteSent: (now: number) => void
  /** Returns the time after which a refused caller is asked back. */
  readonly returnAfter: (caller: RefusedCaller, now: number) => number
  /** When the first attempt of a request that was refused arrived; undefined if none was refused of late. */
  readonly firstArrivedAt: (fingerprint: string, now: number) => number | undefined
}

/** Half-life of the rate of sent requests, in ms. */
const rateHalfLife = 2_000
/** Fraction of the rate that returning callers are to take; new requests need the rest. */
const returningFraction = 0.5
/** Bounds of the time between two callers that are asked back, in ms. */
const minSpacing = 2
const maxSpacing = 250
/** Longest addition for callers that come back earlier, in ms: later places are compressed below it. Callers give up when asked to wait for long. */
const horizon = 4_000
/** Longest wait for a place that is stated, in ms. */
const maxWait = 10_000
/** Weight of a new wait in the mean. */
const waitSmoothing = 0.2
/** Multiple of the mean wait above which a request's own wait holds: its work is larger than that of the others. */
const longWait = 2
/** Time for which a refused request is remembered, in ms. */
const memoryTime = 30_000
/** Largest number of refused requests that are remembered. */
const maxRemembered = 4_096

/** A virtual queue; times in ms. */
interface Lane {
  /** When its last place is reached. */
  until: number
  /** When its last caller is asked back. */
  lastBack: number
}

/** Creates the return times of a service of which no caller was refused. */
export const createReturnTimes = (): ReturnTimes => {
  const refused = new Map<string, { readonly firstArrivedAt: number, readonly refusedAt: number }>()
  let sent = 0
  let sentAt = 0
  let meanWait = 0
  let refusedAt = -Infinity
  /** The virtual queues of callers refused before, and of all. */
  const returning: Lane = { until: 0, lastBack: 0 }
  const all: Lane = { until: 0, lastBack: 0 }

  const decay = (now: number): void => {
    sent *= 0.5 ** (Math.max(0, now - sentAt) / rateHalfLife)
    sentAt = Math.max(sentAt, now)
  }

  const spacing = (now: number): number => {
    decay(now)
    const perMs = returningFraction * sent * Math.LN2 / rateHalfLife
    return Math.min(maxSpacing, Math.max(minSpacing, 1 / perMs))
  }

  const firstArrivedAt = (fingerprint: string, now: number): number | undefined => {
    const known = refused.get(fingerprint)
    return known === undefined || now - known.refusedAt > memoryTime ? undefined : known.firstArrivedAt
  }

  const remember = ({ fingerprint, arrivedAt }: RefusedCaller, now: number): void => {
    const first = firstArrivedAt(fingerprint, now) ?? arrivedAt
    refused.delete(fingerprint)
    refused.set(fingerprint, { firstArrivedAt: first, refusedAt: now })
    const [oldest] = refused.keys()
    if (refused.size > maxRemembered) refused.delete(oldest)
  }

  /** A wait that is common to all, so that the order of the callers does not depend on the noise of single estimates. */
  const commonWait = (wait: number, now: number): number => {
    meanWait = now - refusedAt > rateHalfLife ? wait : meanWait + waitSmoothing * (wait - meanWait)
    refusedAt = now
    return meanWait
  }

  const takePlace = (lane: Lane, step: number, wait: number, now: number): number => {
    lane.until = Math.max(lane.until, now) + step
    const ahead = lane.until - now
    lane.lastBack = Math.max(lane.lastBack, now + wait + horizon * (1 - Math.exp(-ahead / horizon)))
    return lane.lastBack - now
  }

  const returnAfter = (caller: RefusedCaller, now: number): number => {
    const isReturning = firstArrivedAt(caller.fingerprint, now) !== undefined
    remember(caller, now)
    const step = spacing(now)
    const ownWait = Number.isNaN(caller.wait) ? 0 : Math.min(maxWait, Math.max(0, caller.wait))
    const wait = commonWait(ownWait, now)
    const place = isReturning ? takePlace(returning, step, wait, now) : takePlace(all, step, wait, now)
    if (isReturning) all.until = Math.max(all.until, now) + step
    return ownWait > longWait * wait ? Math.max(ownWait, place) : place
  }

  return {
    noteSent: now => {
      decay(now)
      sent++
    },
    returnAfter,
    firstArrivedAt
  }
}
