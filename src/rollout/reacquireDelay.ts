/**
 * Decides when an instance that gave orders to workers may acquire the rollout
 * lease again after another one may have given orders. Orders of two instances
 * that alternate within a short time can reach a worker in any order, which a
 * worker that checks no fencing tokens does not notice.
 *
 * An instance waits only for its own orders, which it alone knows, and measures
 * the time on its own monotonic clock: that may stand still while the process is
 * suspended, which makes the wait longer, never shorter. No other instance has
 * to wait, so the lease does not stay without a holder. A process that has just
 * started does not know what earlier processes of its instance ordered. If the
 * claims name one of them as a holder, or may be incomplete, it counts from its
 * own start, as they had ended by then.
 */
import type { Moment } from '../lease/readLease.js'

/** Who made the latest claim: this process, an earlier process of this instance, another instance, nobody, or unknown as the claim may be missing. */
export type LatestClaimant = 'thisProcess' | 'earlierProcess' | 'anotherInstance' | 'nobody' | 'unknown'

/** What the claims tell of the past. */
export interface ClaimHistory {
  readonly latestBy: LatestClaimant
  /** Whether an earlier process of this instance may have held the lease. */
  readonly mayHaveHeldEarlier: boolean
}

/** The times of the orders of one process and of those before it. */
export interface ReacquireDelay {
  /** Records that the process runs. */
  readonly noteRunning: (now: Moment) => void
  /** Records that an order was sent, or was answered or given up: until then it may still have been on its way. */
  readonly noteOrder: (now: Moment) => void
  /** Returns the time in ms until this instance may acquire the lease. */
  readonly remaining: (history: ClaimHistory, now: Moment) => number
}

/** Time for an order to arrive whose sender did not live to see the answer, and for clocks that differ in speed, in ms. */
const arrivalTime = 200

const mayFollowAnother = (latestBy: LatestClaimant): boolean => latestBy === 'anotherInstance' || latestBy === 'unknown'

/**
 * Creates the record of one process.
 *
 * @param interval - returns the time within which the orders of two instances may not alternate, in ms
 */
export const createReacquireDelay = (interval: () => number): ReacquireDelay => {
  let runningSince: number | undefined
  let lastOrderAt: number | undefined

  const timeLeft = (since: number | undefined, now: Moment): number =>
    since === undefined ? 0 : Math.max(0, since + arrivalTime + interval() - now.steady)

  const remaining = ({ latestBy, mayHaveHeldEarlier }: ClaimHistory, now: Moment): number => {
    // A process of the same name may run on another machine.
    const forOwnOrders = mayFollowAnother(latestBy) || latestBy === 'earlierProcess' ? timeLeft(lastOrderAt, now) : 0
    const forEarlierOrders = mayFollowAnother(latestBy) && mayHaveHeldEarlier ? timeLeft(runningSince ?? now.steady, now) : 0
    return Math.max(forOwnOrders, forEarlierOrders)
  }

  return {
    noteRunning: now => { runningSince ??= now.steady },
    noteOrder: now => { lastOrderAt = now.steady },
    remaining
  }
}
