/** What an instance logs of the rollout lease: each change of its own part in it, with what the change rests on. */

/** Why the lease was free: nobody had claimed it, its holder released it or stopped renewing it, or the stream was restored or has dropped records, and may lack the latest claim. */
export type TakeoverReason = 'unclaimed' | 'released' | 'expired' | 'claimsMissing'

/** Why a holder no longer holds the lease: it released it, another instance claimed it, or may have, as claims are missing. */
export type LossReason = 'released' | 'superseded' | 'claimsMissing'

/** An event of the lease at one instance. */
export type LeaseEvent =
  /** This instance holds the lease from now on. */
  | {
    readonly kind: 'leaseAcquired'
    readonly fence: number
    readonly reason: TakeoverReason
    /** Instance that made the claim before, if one is known. */
    readonly previous: string | undefined
    /** Time since the stream was first seen without a newer record, in ms. */
    readonly silence: number
  }
  /** This instance no longer holds the lease, or has learned that it does not. */
  | {
    readonly kind: 'leaseLost'
    readonly fence: number
    readonly reason: LossReason
    /** Time since it acquired the lease, in ms. */
    readonly held: number
    /** Instance that holds the lease now, if one is known. */
    readonly next: string | undefined
  }
  /** The lease is free, but this instance gave orders lately and leaves it to others. */
  | {
    readonly kind: 'leaseLeft'
    /** Instance that made the latest claim, if one is known. */
    readonly previous: string | undefined
    /** Time until this instance may acquire the lease, in ms. */
    readonly wait: number
  }
