/**
 * Read lease on the configuration: how long an instance may keep using the
 * version that it has. A response that confirms the version as the newest is a
 * proof. The lease starts when the request for that response was sent, since a
 * newer version may have been accepted right after that. The monotonic clock may
 * stop while the machine is suspended, and the time of day may be set back, so
 * the age is the larger of the two elapsed times.
 */

/** A point in time, read from both clocks of an instance, in ms. */
export interface Moment {
  /** Monotonic clock; it may stop while the machine is suspended. */
  readonly steady: number
  /** Time of day; it may jump in either direction. */
  readonly wall: number
}

/** Time elapsed since a moment, in ms: the larger of the differences on the two clocks. */
export const ageOf = (since: Moment, now: Moment): number =>
  Math.max(now.steady - since.steady, now.wall - since.wall)

/** Returns a moment that lies `ms` milliseconds before the given one, on both clocks. */
export const earlier = (moment: Moment, ms: number): Moment => ({ steady: moment.steady - ms, wall: moment.wall - ms })

/** The proofs that the configuration of an instance was the newest. */
export interface ReadLease {
  /** Records a proof that the current version was the newest at `asOf`; a proof older than the recorded one has no effect. */
  readonly renew: (asOf: Moment) => void
  /** Age of the newest proof, in ms; infinite if there is none. */
  readonly age: (now: Moment) => number
  /** Time of the newest proof; undefined if there is none. */
  readonly provenAt: () => Moment | undefined
}

/** Creates a lease that has no proof yet. */
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
