/**
 * One workspace's limit, divided among its entries. Each entry starts with an
 * equal part and lends what it does not need to those that need it. A loan
 * is a count that only grows, kept by the lender and repeated in every
 * message, so that a lost, late or doubled message moves nothing twice. The
 * lender gives up its part before the borrower can use it. Loans lapse when the
 * two have not heard each other: the borrower stops first, the lender takes
 * back later, and both are then at the equal part again.
 */
import type { ShareNotice } from './limitsMessages.js'

/** Silence after which borrowed parts are no longer used, in ms. */
export const borrowTimeout = 1500
/** Silence after which a lender takes back what it lent, in ms; longer than `borrowTimeout` and a message's delay. */
export const lendTimeout = 4000
/** Part of its equal share that an entry never lends. */
const keptPart = 0.1
/** Smallest surplus worth lending, as a part of the equal share. */
const smallestLoan = 0.05

interface PeerAccount {
  incarnation: string
  /** When the count of `lent` began, in ms. */
  series: number
  lent: number
  /** The lender's series that `borrowed` belongs to. */
  borrowedSeries: number
  borrowed: number
  demand: number
  fraction: number
  /** When a message last showed that the peer has lately heard this entry, in ms. */
  heardAt: number
  /** When the last message arrived, in ms. */
  arrivedAt: number
}

/** The ledger of one workspace. */
export interface ShareLedger {
  /** Hash of the list of entries. */
  readonly entries: number
  readonly peers: readonly string[]
  /** The fraction of the limit that may be used here. */
  readonly fraction: (now: number) => number
  readonly receive: (from: string, incarnation: string, notice: ShareNotice, now: number) => void
  /** Lends what is not needed, by the demand here as a fraction of the limit. */
  readonly rebalance: (demand: number, now: number) => void
  /** Whether something was lent, or heard for the first time, since the last call. */
  readonly takeChanged: () => boolean
  readonly buildNotice: (workspace: string, to: string, demand: number, now: number) => ShareNotice
}

/** Settings of a ledger. */
export interface ShareLedgerOptions {
  readonly self: string
  readonly incarnation: string
  readonly instanceIds: readonly string[]
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

/** What the account with a peer adds to the own part now. */
const balance = (account: PeerAccount, now: number): number => {
  const net = account.borrowed - account.lent
  const silence = now - account.heardAt
  return silence > (net > 0 ? borrowTimeout : lendTimeout) ? 0 : net
}

/**
 * Creates a ledger in which nothing is lent.
 *
 * @param options - the list of entries, and which of them this is
 * @returns the ledger
 */
export const createShareLedger = (options: ShareLedgerOptions): ShareLedger => {
  const { self, instanceIds: list, entries } = options
  const equalPart = 1 / Math.max(1, list.length)
  const peers = list.filter(id => id !== self)
  const accounts = new Map<string, PeerAccount>(peers.map(id => [id, emptyAccount('', options.now)]))

  let news = true

  const takeChanged = (): boolean => {
    const was = news
    news = false
    return was
  }

  const fraction = (now: number): number => {
    let sum = equalPart
    for (const account of accounts.values()) sum += balance(account, now)
    return Math.max(0, sum)
  }

  const lapse = (now: number): void => {
    for (const account of accounts.values()) {
      if (now - account.heardAt <= lendTimeout || (account.lent === 0 && account.borrowed === 0)) continue
      account.series = now
      account.lent = 0
      account.borrowed = 0
    }
  }

  const receive = (from: string, incarnation: string, notice: ShareNotice, now: number): void => {
    if (!accounts.has(from) || notice.entries !== entries) return
    lapse(now)
    const known = accounts.get(from)
    const account = known === undefined || known.incarnation !== incarnation ? emptyAccount(incarnation, now) : known
    if (account !== known) news = true
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

  const fresh = (now: number): PeerAccount[] =>
    [...accounts.values()].filter(account => now - account.heardAt <= borrowTimeout)

  const rebalance = (demand: number, now: number): void => {
    lapse(now)
    const near = fresh(now)
    const pool = near.reduce((sum, account) => sum + account.fraction, fraction(now))
    const wanted = near.reduce((sum, account) => sum + account.demand, demand)
    if (near.length === 0 || wanted <= 0) return
    const floor = keptPart * equalPart
    const spread = Math.max(0, pool - floor * (near.length + 1))
    const target = (of: number): number => floor + spread * of / wanted
    const surplus = fraction(now) - target(demand)
    if (surplus < smallestLoan * equalPart) return
    const lacking = near.map(account => Math.max(0, target(account.demand) - account.fraction))
    const lack = lacking.reduce((sum, one) => sum + one, 0)
    if (lack <= 0) return
    const given = Math.min(surplus, lack)
    news = true
    near.forEach((account, index) => {
      account.lent += given * lacking[index] / lack
      account.fraction += given * lacking[index] / lack
    })
  }

  const buildNotice = (workspace: string, to: string, demand: number, now: number): ShareNotice => {
    const account = accounts.get(to) ?? emptyAccount('', now)
    const heard = now - account.arrivedAt <= borrowTimeout
    return { workspace, entries, demand, fraction: fraction(now), series: account.series, lent: account.lent, to: heard ? account.incarnation : '' }
  }

  return { entries, peers, fraction, receive, rebalance, takeChanged, buildNotice }
}
