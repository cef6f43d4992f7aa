/** Exchange of complete views between instances (anti-entropy): when an instance starts, and when checksums differ. */
import type { Random } from '../random.js'
import { rumorOf } from './membershipDb.js'
import type { MemberRecord, MembershipDb } from './membershipDb.js'
import type { MembershipMessage, Rumor } from './membershipMessages.js'
import type { RumorQueue } from './rumorQueue.js'

/** Options of the exchange. */
export interface ViewExchangeOptions {
  readonly db: MembershipDb
  readonly rumors: RumorQueue
  readonly random: Random
  /** When this process started, in ms. */
  readonly startedAt: number
  readonly send: (to: string, message: MembershipMessage) => void
  /** Returns the rumor of this instance's own record. */
  readonly ownRumor: () => Rumor
}

/** The exchange. Times are in ms. */
export interface ViewExchange {
  /** Requests a view when one is due, until the first one has arrived. */
  readonly join: (now: number) => void
  /** Compares the checksum of another instance with the own one; requests its complete view if they differ. */
  readonly compare: (from: string, sum: number, now: number) => void
  /** Answers a request with the complete view, within the limit of `maxViewsPerPeriod`. */
  readonly sendView: (to: string, now: number) => void
  /** Called after a received view was merged; sends its sender the records that it lacks, if the view was requested. */
  readonly handleView: (from: string, rumors: readonly Rumor[]) => void
  /** Resets the backoff, so that the next difference is settled immediately. */
  readonly allowPullNow: (now: number) => void
}

/** Interval between requests until the first view has arrived, in ms; after that it doubles with each request until checksums agree. */
const firstPullInterval = 1_000
/** Maximum interval between requests while views differ, in ms. */
const maxPullInterval = 10_000
/** Consecutive messages with an equal checksum after which queued rumors with the status `alive` are dropped. */
const agreementsToDropAlive = 6
/** Maximum number of complete views sent per `viewPeriod`. */
const maxViewsPerPeriod = 10
/** Period of `maxViewsPerPeriod`, in ms. */
const viewPeriod = 1_000

/** Returns whether the incarnation of an instance is known. That of a seed is unknown until a message has arrived from it. */
const isIncarnationKnown = ({ member }: MemberRecord): boolean => member.incarnation !== ''

/**
 * Creates the exchange of one instance.
 *
 * @param options - the view, the rumor queue and the function that sends to peers
 * @returns the exchange
 */
export const createViewExchange = (options: ViewExchangeOptions): ViewExchange => {
  const { db, rumors, random, startedAt, send, ownRumor } = options
  /** Instances whose view was requested and has not arrived. */
  const requested = new Set<string>()
  let joined = false
  let nextPull = startedAt
  let pullDelay = firstPullInterval
  let agreements = 0
  let periodEnd = startedAt
  let viewsInPeriod = 0

  const pull = (to: string, now: number): void => {
    nextPull = now + pullDelay * (0.9 + 0.2 * random.unit())
    if (joined) pullDelay = Math.min(maxPullInterval, 2 * pullDelay)
    requested.add(to)
    send(to, { kind: 'membership.pull', self: ownRumor() })
  }

  const join = (now: number): void => {
    if (joined || now < nextPull) return
    const peers = db.peers().length > 0 ? db.peers() : db.deadIds()
    if (peers.length > 0) pull(peers[random.below(peers.length)], now)
  }

  /** Once several instances have the same view, rumors with the status `alive` contain nothing new for any peer. */
  const countAgreement = (): void => {
    pullDelay = firstPullInterval
    agreements++
    if (agreements === agreementsToDropAlive) rumors.dropAlive()
  }

  const compare = (from: string, sum: number, now: number): void => {
    if (sum === db.sum()) return countAgreement()
    agreements = 0
    if (now >= nextPull) pull(from, now)
  }

  const sendView = (to: string, now: number): void => {
    if (now >= periodEnd) {
      periodEnd = now + viewPeriod
      viewsInPeriod = 0
    }
    if (viewsInPeriod >= maxViewsPerPeriod) return
    viewsInPeriod++
    const known = [...db.records.values()].filter(isIncarnationKnown).map(rumorOf)
    send(to, { kind: 'membership.state', rumors: [ownRumor(), ...known] })
  }

  const handleView = (from: string, received: readonly Rumor[]): void => {
    joined = true
    if (!requested.delete(from)) return
    const ids = new Set(received.map(({ member }) => member.id))
    const missing = [...db.records.values()].filter(record => isIncarnationKnown(record) && record.status !== 'dead' && !ids.has(record.member.id))
    if (missing.length > 0) send(from, { kind: 'membership.state', rumors: missing.map(rumorOf) })
  }

  const allowPullNow = (now: number): void => {
    nextPull = now
    pullDelay = firstPullInterval
  }

  return { join, compare, sendView, handleView, allowPullNow }
}
