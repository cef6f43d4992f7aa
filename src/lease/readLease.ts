/**
 * A read lease on the configuration: how long an instance may go on trusting
 * the version that it knows. The lease counts from the moment at which the
 * question was sent whose answer proved the version newest, since a newer one
 * may have been accepted right after. A suspended machine's steady clock stands
 * still and its time of day may be set back, so the larger of the two ages
 * counts.
 */

/** One moment on both clocks of an instance, in ms. */
export interface Moment {
  /** Steady clock; it may stand still while the machine is suspended. */
  readonly steady: number
  /** Time of day; it may jump. */
  readonly wall: number
}

/** Time since a moment, in ms: the larger of the two clocks' answers. */
export const ageOf = (since: Moment, now: Moment): number =>
  Math.max(now.steady - since.steady, now.wall - since.wall)

/** The same moment, some ms earlier. */
export const earlier = (moment: Moment, ms: number): Moment => ({ steady: moment.steady - ms, wall: moment.wall - ms })

/** What is known of how new the configuration is. */
export interface ReadLease {
  /** Takes in a proof that the version held was the newest at `asOf`; older proofs than the one held change nothing. */
  readonly renew: (asOf: Moment) => void
  /** Age of the newest proof in ms; infinite without one. */
  readonly age: (now: Moment) => number
  /** The newest proof. */
  readonly provenAt: () => Moment | undefined
}

/** Creates a lease without a proof. */
export const createReadLease = (): ReadLease => {
  let proven: Moment | undefined

  const renew = (asOf: Moment): void => {
    if (proven === undefined || asOf.steady > proven.steady) proven = asOf
  }

  return {
    renew,
    age: now => proven === undefined ? Infinity : ageOf(proven, now),
    provenAt: () => proven
  }
}
