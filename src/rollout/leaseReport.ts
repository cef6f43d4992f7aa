/** Logs how this instance acquires the rollout lease, loses it and leaves it to others. */
import type { Moment } from '../lease/readLease.js'
import type { Claimant, LatestClaim } from './leaseClaims.js'
import type { LeaseEvent, LossReason, TakeoverReason } from './leaseEvents.js'

/** The lease before it was acquired. */
export interface FreeLease {
  /** The latest claim known. */
  readonly before: LatestClaim | undefined
  /** Whether a later one may be missing from the stream. */
  readonly mayLackClaims: boolean
  /** Time since the stream was first seen without a newer record, in ms. */
  readonly silence: number
}

/** The log of one instance's part in the lease. */
export interface LeaseReport {
  /** Logs that the lease is held. */
  readonly acquired: (free: FreeLease, latest: LatestClaim | undefined, now: Moment) => void
  /** Logs that the lease is no longer held. */
  readonly lost: (before: LatestClaim | undefined, latest: LatestClaim | undefined, now: Moment) => void
  /** Logs, once for each holder, that the lease is left to others for `wait` ms. */
  readonly left: (latest: LatestClaim | undefined, wait: number) => void
}

const takeoverReason = ({ before, mayLackClaims }: FreeLease): TakeoverReason => {
  if (mayLackClaims) return 'claimsMissing'
  if (before === undefined) return 'unclaimed'
  return before.released ? 'released' : 'expired'
}

const lossReason = (latest: LatestClaim | undefined, { id, incarnation }: Claimant): LossReason => {
  if (latest === undefined) return 'claimsMissing'
  return latest.holder === id && latest.incarnation === incarnation ? 'released' : 'superseded'
}

/**
 * Creates the log of one instance.
 *
 * @param self - this instance
 * @param notify - receives the events
 */
export const createLeaseReport = (self: Claimant, notify: (event: LeaseEvent) => void): LeaseReport => {
  let acquiredAt: Moment | undefined
  /** Fencing token of the latest claim when the lease was last left to others. */
  let leftAfter: number | undefined

  return {
    acquired: (free, latest, now) => {
      if (latest === undefined) return
      acquiredAt = now
      notify({ kind: 'leaseAcquired', fence: latest.fence, reason: takeoverReason(free), previous: free.before?.holder, silence: Math.round(free.silence) })
    },
    lost: (before, latest, now) => {
      if (before === undefined) return
      const held = acquiredAt === undefined ? 0 : Math.round(now.steady - acquiredAt.steady)
      notify({ kind: 'leaseLost', fence: before.fence, reason: lossReason(latest, self), held, next: latest?.released === true ? undefined : latest?.holder })
    },
    left: (latest, wait) => {
      const fence = latest?.fence ?? 0
      if (leftAfter !== fence) notify({ kind: 'leaseLeft', previous: latest?.holder, wait: Math.round(wait) })
      leftAfter = fence
    }
  }
}
