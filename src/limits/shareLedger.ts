/**
 * Divides the limit of one workspace among the instances that serve it. Each
 * instance starts with an equal share and lends what it does not need to those that
 * need more. A loan is a count that only grows within a series, kept by the lender
 * and repeated in every message, so that a lost, late or duplicate message transfers
 * nothing twice. The lender gives up its share before the borrower can use it. Loans
 * expire when the two have not received messages from each other: the borrower stops
 * using them first, the lender reclaims them later, and both are then at the equal
 * share again.
 */
import type { ShareNotice } from './limitsMessages.js'

/** Time without a message after which borrowed shares are no longer used, in ms. */
export const borrowTimeout = 1500
/** Time without a message after which a lender reclaims its loans, in ms; longer than `borrowTimeout` plus a message's delay. */
export const lendTimeout = 4000
/** Fraction of its equal share that an instance never lends. */
const keptFraction = 0.1
/** Smallest surplus that is lent, as a fraction of the equal share. */
const minLoan = 0.05

/** Loans to and from one peer, and its last figures, as fractions of the limit. */
interface PeerAccount {
  incarnation: string
  /** When the count of `lent` started from 0, in ms. */
  series: number
  /** Total lent to the peer in this series. */
  lent: number
  /** The peer's series that `borrowed` belongs to. */
  borrowedSeries: number
  /** Total borrowed from the peer in that series. */
  borrowed: number
  /** The peer's demand. */
  demand: number
  /** The fraction that the peer may use. */
  fraction: number
  /** Time of the last message which showed that the peer had recently received one from this instance, in ms. */
  heardAt: number
  /** When the last message of the peer arrived, in ms. */
  arrivedAt: number
}

/** The shares of one workspace's limit, as seen by one instance. Times are in ms. */
export interface ShareLedger {
  /** Hash of the list of instances that serve the workspace. */
  readonly entries: number
  /** Ids of the other instances on that list. */
  readonly peers: readonly string[]
  /** Returns the fraction of the limit that this instance may use. */
  readonly fraction: (now: number) => number
  /** Applies a notice of a peer; ignores one of an unknown peer or with another list of instances. */
  readonly receive: (from: string, incarnation: string, notice: ShareNotice, now: number) => void
  /** Lends the surplus over the demand at this instance, a fraction of the limit, to peers with a deficit. */
  readonly rebalance: (demand: number, now: number) => void
  /** Returns whether something was lent, or a message of a new incarnation of a peer arrived, since the last call; true on the first call. */
  readonly takeChanged: () => boolean
  /** Builds the notice for a peer. */
  readonly buildNotice: (workspace: string, to: string, demand: number, now: number) => ShareNotice
}

/** Settings of a share ledger. */
export interface ShareLedgerOptions {
  /** Id of this instance. */
  readonly self: string
  readonly incarnation: string
  /** Ids of the instances that serve the workspace. */
  readonly instanceIds: readonly string[]
  /** Hash of that list. */
  readonly entries: number
  /** The present time, in ms. */
  readonly now: number
}

const emptyAccount = (incarnation: string, now: number): PeerAccount => ({
  incarnation,
  series: now,
  lent: 0,
  borrowedSeries: -Infinity,
  borrowed: 0,
  demand: 0,
  fraction: 0,
  heardAt: -Infinity,
  arrivedAt: -Infinity
})

/** Returns what loans from and to a peer add to the share of this instance, negative if it lent more than it borrowed, 0 once they have expired. */
const netLoan = (account: PeerAccount, now: number): number => {
  const net = account.borrowed - account.lent
  const elapsed = now - account.heardAt
  return elapsed > (net > 0 ? borrowTimeout : lendTimeout) ? 0 : net
}

/**
 * Creates a share ledger without loans.
 *
 * @param options - the list of instances, and which of them this is
 * @returns the ledger, in which each instance has an equal share
 */
export const createShareLedger = (options: ShareLedgerOptions): ShareLedger => {
  const { self, instanceIds, entries } = options
  const equalShare = 1 / Math.max(1, instanceIds.length)
  const peers = instanceIds.filter(id => id !== self)
  const accounts = new Map<string, PeerAccount>(peers.map(id => [id, emptyAccount('', options.now)]))

  let hasChanged = true

  const takeChanged = (): boolean => {
    const previous = hasChanged
    hasChanged = false
    return previous
  }

  const fraction = (now: number): number => {
    let sum = equalShare
    for (const account of accounts.values()) sum += netLoan(account, now)
    return Math.max(0, sum)
  }

  const expireLoans = (now: number): void => {
    for (const account of accounts.values()) {
      if (now - account.heardAt <= lendTimeout || (account.lent === 0 && account.borrowed === 0)) continue
      account.series = now
      account.lent = 0
      account.borrowed = 0
    }
  }

  const receive = (from: string, incarnation: string, notice: ShareNotice, now: number): void => {
    if (!accounts.has(from) || notice.entries !== entries) return
    expireLoans(now)
    const known = accounts.get(from)
    const account = known === undefined || known.incarnation !== incarnation ? emptyAccount(incarnation, now) : known
    if (account !== known) hasChanged = true
    accounts.set(from, account)
    account.arrivedAt = now
    account.demand = notice.demand
    account.fraction = notice.fraction
    if (notice.to !== options.incarnation) return
    account.heardAt = now
    if (notice.series < account.borrowedSeries) return
    account.borrowed = notice.series > account.borrowedSeries ? notice.lent : Math.max(account.borrowed, notice.lent)
    account.borrowedSeries = notice.series
  }

  const connectedPeers = (now: number): PeerAccount[] =>
    [...accounts.values()].filter(account => now - account.heardAt <= borrowTimeout)

  const rebalance = (demand: number, now: number): void => {
    expireLoans(now)
    const connected = connectedPeers(now)
    const pool = connected.reduce((sum, account) => sum + account.fraction, fraction(now))
    const totalDemand = connected.reduce((sum, account) => sum + account.demand, demand)
    if (connected.length === 0 || totalDemand <= 0) return
    const keptShare = keptFraction * equalShare
    const distributable = Math.max(0, pool - keptShare * (connected.length + 1))
    const target = (instanceDemand: number): number => keptShare + distributable * instanceDemand / totalDemand
    const surplus = fraction(now) - target(demand)
    if (surplus < minLoan * equalShare) return
    const deficits = connected.map(account => Math.max(0, target(account.demand) - account.fraction))
    const deficit = deficits.reduce((sum, peerDeficit) => sum + peerDeficit, 0)
    if (deficit <= 0) return
    const loan = Math.min(surplus, deficit)
    hasChanged = true
    connected.forEach((account, index) => {
      account.lent += loan * deficits[index] / deficit
      account.fraction += loan * deficits[index] / deficit
    })
  }

  const buildNotice = (workspace: string, to: string, demand: number, now: number): ShareNotice => {
    const account = accounts.get(to) ?? emptyAccount('', now)
    const isRecent = now - account.arrivedAt <= borrowTimeout
    return { workspace, entries, demand, fraction: fraction(now), series: account.series, lent: account.lent, to: isRecent ? account.incarnation : '' }
  }

  return { entries, peers, fraction, receive, rebalance, takeChanged, buildNotice }
}
