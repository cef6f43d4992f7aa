/** Exchange of whole views: when an instance starts, and when checksums differ. */
import type { Random } from '../random.js'
import { rumorOf } from './membershipDb.js'
import type { MemberRecord, MembershipDb } from './membershipDb.js'
import type { MembershipMessage, Rumor } from './membershipMessages.js'
import type { RumorQueue } from './rumorQueue.js'

/** What the exchange needs. */
export interface ViewExchangeOptions {
  readonly db: MembershipDb
  readonly rumors: RumorQueue
  readonly random: Random
  readonly startedAt: number
  readonly send: (to: string, message: MembershipMessage) => void
  /** This instance's own record. */
  readonly own: () => Rumor
}

/** The exchange. */
export interface ViewExchange {
  /** Asks for a view until the first one has arrived. */
  readonly join: (now: number) => void
  /** Compares checksums; asks for the whole view where they differ. */
  readonly compare: (from: string, sum: number, now: number) => void
  /** Answers a request for the whole view. */
  readonly tell: (to: string, now: number) => void
  /** A view has arrived and is merged; the teller gets what it lacked. */
  readonly told: (from: string, rumors: readonly Rumor[]) => void
  /** Lets the next difference be settled at once. */
  readonly hurry: (now: number) => void
}

/** Milliseconds between the first requests; the time doubles with each. */
const firstPullInterval = 1_000
/** Longest time between requests while views differ, in ms. */
const longestPullInterval = 10_000
/** Consecutive messages with the same view after which rumors of the living are dropped. */
const enoughAgreements = 6
/** Whole views told per `tellPeriod`. */
const mostTold = 10
/** In ms. */
const tellPeriod = 1_000

const isWorthTelling = ({ member }: MemberRecord): boolean => member.incarnation !== ''

/**
 * Creates the exchange of one instance.
 *
 * @param options - the view and the way to peers
 */
export const createViewExchange = (options: ViewExchangeOptions): ViewExchange => {
  const { db, rumors, random, startedAt, send, own } = options
  /** Instances that were asked and have not answered. */
  const pulled = new Set<string>()
  let joined = false
  let nextPull = startedAt
  let pullDelay = firstPullInterval
  let agreements = 0
  let periodEnd = startedAt
  let toldInPeriod = 0

  const pull = (to: string, now: number): void => {
    nextPull = now + pullDelay * (0.9 + 0.2 * random.unit())
    if (joined) pullDelay = Math.min(longestPullInterval, 2 * pullDelay)
    pulled.add(to)
    send(to, { kind: 'membership.pull', self: own() })
  }

  const join = (now: number): void => {
    if (joined || now < nextPull) return
    const peers = db.peers().length > 0 ? db.peers() : db.deadIds()
    if (peers.length > 0) pull(peers[random.below(peers.length)], now)
  }

  /** Once several instances hold the same view, its rumors are no news to anyone. */
  const agree = (): void => {
    pullDelay = firstPullInterval
    agreements++
    if (agreements === enoughAgreements) rumors.dropAlive()
  }

  const compare = (from: string, sum: number, now: number): void => {
    if (sum === db.sum()) return agree()
    agreements = 0
    if (now >= nextPull) pull(from, now)
  }

  const tell = (to: string, now: number): void => {
    if (now >= periodEnd) {
      periodEnd = now + tellPeriod
      toldInPeriod = 0
    }
    if (toldInPeriod >= mostTold) return
    toldInPeriod++
    const told = [...db.records.values()].filter(isWorthTelling).map(rumorOf)
    send(to, { kind: 'membership.state', rumors: [own(), ...told] })
  }

  const told = (from: string, heard: readonly Rumor[]): void => {
    joined = true
    if (!pulled.delete(from)) return
    const ids = new Set(heard.map(({ member }) => member.id))
    const lacked = [...db.records.values()].filter(record => isWorthTelling(record) && record.status !== 'dead' && !ids.has(record.member.id))
    if (lacked.length > 0) send(from, { kind: 'membership.state', rumors: lacked.map(rumorOf) })
  }

  const hurry = (now: number): void => {
    nextPull = now
    pullDelay = firstPullInterval
  }

  return { join, compare, tell, told, hurry }
}
