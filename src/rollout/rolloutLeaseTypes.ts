/** What the rollout lease offers, and what it depends on. */
import type { Moment } from '../lease/readLease.js'
import type { ClaimEffect, ClaimInput } from '../ports/claimPort.js'
import type { Claimant } from './leaseClaims.js'
import type { LeaseEvent } from './leaseEvents.js'

/** What is known of the other instances. */
export interface LeasePeers {
  /** Whether the instance is alive, runs with this incarnation and reaches the store. */
  readonly canHoldLease: (id: string, incarnation: string) => boolean
  /** Position of this instance among those that may take over, 0 first. */
  readonly rank: () => number
}

/** The lease as seen by one instance. */
export interface RolloutLease {
  /** Renews the lease, or tries to acquire it when it is this instance's turn; called periodically while there is work. */
  readonly acquireOrRenew: (now: Moment) => void
  /** Records that there is no work; the wait for this instance's turn starts anew with the next work. */
  readonly markIdle: (now: Moment) => void
  /** Handles the stream's response to a read or an append; responses to superseded requests are ignored. */
  readonly answer: (input: ClaimInput, now: Moment) => void
  /** Returns the fencing token if orders may be given now, else undefined. */
  readonly fence: (now: Moment) => number | undefined
  /** Records that an order was sent to a worker, or that it was answered or given up. */
  readonly noteOrder: (now: Moment) => void
  /** Whether the latest known claim is this instance's own; the lease may have expired since. */
  readonly holds: () => boolean
  /** Records that a worker has seen a higher fencing token; nothing may be ordered until the next renewal. */
  readonly fenced: () => void
  /** Gives the lease up, so that another instance can acquire it without delay; it is not acquired again before `acquireOrRenew`. */
  readonly release: (now: Moment) => void
}

/** Dependencies of a lease. */
export interface RolloutLeaseOptions {
  /** This instance. */
  readonly self: Claimant
  readonly peers: LeasePeers
  /** Returns the time within which the orders of two instances may not alternate, in ms. */
  readonly reacquireAfter: () => number
  /** Receives reads and appends for the stream. */
  readonly emit: (effect: ClaimEffect) => void
  /** Receives what is logged of the lease. */
  readonly notify: (event: LeaseEvent) => void
}
