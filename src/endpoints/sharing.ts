/**
 * Sharing between instances: the owner of an endpoint probes it for all, tells
 * everyone when a fact changes, and passes load reports to those who asked.
 * Digests find facts whose announcement was lost.
 */
import type { Hash } from '../hash.js'
import { assertNever } from '../errors.js'
import type { EndpointsContext } from './endpointsContext.js'
import { factOf } from './endpointsDb.js'
import type { EndpointRecord } from './endpointsDb.js'
import type { EndpointsMessage, ForwardedLoad } from './endpointsMessages.js'
import type { Observations } from './observations.js'

/** How long a follower gets reports without asking again, in ms. */
const followTerm = 15_000
/** How often a follower asks again, in ms. */
const followRenewal = 5_000
const digestBuckets = 16
/** Shortest time between messages to a follower, in ms. */
const shortestFollow = 1_000
/** Time between messages to a follower per endpoint that it follows, in ms; it bounds the bytes per second. */
const followPerEndpoint = 50
/** Exchanges come with jitter; a message may go out this much early, in ms. */
const intervalTolerance = 500

/** Milliseconds between load reports of each followed endpoint. */
export const followInterval = (used: number): number => Math.max(shortestFollow, used * followPerEndpoint)

/** The exchange of facts and load reports. */
export interface Sharing {
  readonly receive: (from: string, message: EndpointsMessage, now: number) => void
  /** Sends announcements gathered while handling an input. */
  readonly flush: () => void
  /** Follows used endpoints, serves followers and compares digests; to be called each second. */
  readonly exchange: (used: readonly EndpointRecord[], now: number) => void
  readonly forget: (peer: string) => void
}

interface Follower {
  /** When each followed endpoint's term ends, in ms. */
  readonly terms: Map<string, number>
  interval: number
  sentAt: number
}

/**
 * Creates the exchange.
 *
 * @param context - what the parts of the feature share
 * @param observations - where facts of others go
 * @param hash - equal on every instance
 * @param unsent - records whose facts changed; emptied by `flush`
 */
export const createSharing = (context: EndpointsContext, observations: Observations, hash: Hash, unsent: Set<EndpointRecord>): Sharing => {
  const { db, self, random, ownerOf, peers, send, probeSoon } = context
  const followers = new Map<string, Follower>()
  const follows = new Map<string, { owner: string, at: number }>()
  let asked = false

  const flush = (): void => {
    if (unsent.size === 0) return
    const owned: EndpointRecord[] = []
    const foreign = new Map<string, EndpointRecord[]>()
    for (const record of unsent) {
      const owner = ownerOf(record.id)
      if (owner === self) owned.push(record)
      else foreign.set(owner, [...foreign.get(owner) ?? [], record])
    }
    unsent.clear()
    const facts = owned.map(factOf)
    if (facts.length > 0) peers().forEach(peer => send(peer, { kind: 'endpoints.facts', facts }))
    foreign.forEach((records, owner) => send(owner, { kind: 'endpoints.facts', facts: records.map(factOf) }))
  }

  const bucketOf = (id: string): number => hash.h32(id) % digestBuckets

  const checksum = (record: EndpointRecord): number => {
    const models = record.models.map(({ model, adapter, weightVersion }) => `${model} ${adapter ?? ''} ${weightVersion}`).sort()
    return hash.h32(JSON.stringify([record.id, record.history.incarnation, record.leaving, record.gone, ...models]))
  }

  const digest = (): number[] => {
    const sums = new Array<number>(digestBuckets).fill(0)
    for (const record of db.records.values()) {
      const bucket = bucketOf(record.id)
      sums[bucket] = (sums[bucket] ^ checksum(record)) >>> 0
    }
    return sums
  }

  let known: { readonly version: number, readonly sums: number[] } | undefined
  const currentDigest = (): number[] => {
    const version = context.version()
    if (known?.version !== version) known = { version, sums: digest() }
    return known.sums
  }

  const tellBuckets = (to: string, wanted: (bucket: number) => boolean): void => {
    const facts = [...db.records.values()].filter(({ id }) => wanted(bucketOf(id))).map(factOf)
    if (facts.length > 0) send(to, { kind: 'endpoints.facts', facts })
  }

  const receiveDigest = (from: string, sums: readonly number[]): void => {
    const own = currentDigest()
    if (sums.length !== digestBuckets) return
    if (own.every((sum, bucket) => sum === sums[bucket])) return
    tellBuckets(from, bucket => own[bucket] !== sums[bucket])
  }

  const receiveFacts = (from: string, facts: Extract<EndpointsMessage, { kind: 'endpoints.facts' }>['facts'], now: number): void => {
    asked = true
    const better = facts.filter(fact => observations.mergeFact(fact, now)).map(({ id }) => db.get(id))
    const answer = better.filter(record => record !== undefined).map(factOf)
    if (answer.length > 0) send(from, { kind: 'endpoints.facts', facts: answer })
  }

  const receiveLoad = (load: ForwardedLoad, now: number): void => {
    const record = db.get(load.id)
    if (record === undefined || record.history.past.includes(load.incarnation)) return
    if (record.history.incarnation !== load.incarnation) return probeSoon(record, now)
    const at = now - load.age
    if (record.report !== undefined && record.report.at >= at) return
    const { incarnation, running, waiting, waitingTokens } = load
    record.heardAt = at
    record.unreachableSince = undefined
    db.setReport(record, { at, incarnation, running, waiting, waitingTokens })
  }

  const receive = (from: string, message: EndpointsMessage, now: number): void => {
    switch (message.kind) {
      case 'endpoints.follow': {
        const follower = followers.get(from) ?? { terms: new Map<string, number>(), interval: 0, sentAt: 0 }
        follower.interval = message.interval
        message.ids.forEach(id => follower.terms.set(id, now + followTerm))
        followers.set(from, follower)
        return
      }
      case 'endpoints.loads':
        message.loads.forEach(load => receiveLoad(load, now))
        message.unreachable.forEach(id => {
          const record = db.get(id)
          if (record !== undefined) observations.reportedUnreachable(record, now)
        })
        return
      case 'endpoints.facts': return receiveFacts(from, message.facts, now)
      case 'endpoints.digest': return receiveDigest(from, message.sums)
      case 'endpoints.ask': return tellBuckets(from, () => true)
      default: assertNever(message)
    }
  }

  const loadOf = (record: EndpointRecord, since: number, now: number): readonly ForwardedLoad[] => {
    const { report } = record
    if (report === undefined || report.at <= since) return []
    const { incarnation, running, waiting, waitingTokens, at } = report
    return [{ id: record.id, incarnation, running, waiting, waitingTokens, age: Math.round(now - at) }]
  }

  const serveFollowers = (now: number): void => {
    for (const [peer, follower] of followers) {
      follower.terms.forEach((until, id) => until < now && follower.terms.delete(id))
      if (follower.terms.size === 0) followers.delete(peer)
      if (now - follower.sentAt < follower.interval - intervalTolerance) continue
      const records = [...follower.terms.keys()].map(id => db.get(id)).filter(record => record !== undefined)
      const loads = records.flatMap(record => loadOf(record, follower.sentAt, now))
      const unreachable = records.filter(record => record.unreachableSince !== undefined).map(({ id }) => id)
      follower.sentAt = now
      if (loads.length + unreachable.length > 0) send(peer, { kind: 'endpoints.loads', loads, unreachable })
    }
  }

  const followUsed = (used: readonly EndpointRecord[], now: number): void => {
    const interval = followInterval(used.length)
    const wanted = new Map<string, string[]>()
    for (const { id } of used) {
      const owner = ownerOf(id)
      if (owner === self) continue
      const follow = follows.get(id)
      if (follow?.owner === owner && now - follow.at < followRenewal) continue
      follows.set(id, { owner, at: now })
      wanted.set(owner, [...wanted.get(owner) ?? [], id])
    }
    wanted.forEach((ids, owner) => send(owner, { kind: 'endpoints.follow', ids, interval }))
  }

  const compare = (): void => {
    const others = peers()
    if (others.length === 0) return
    const peer = others[random.below(others.length)]
    if (!asked) return send(peer, { kind: 'endpoints.ask' })
    send(peer, { kind: 'endpoints.digest', sums: currentDigest() })
  }

  const exchange = (used: readonly EndpointRecord[], now: number): void => {
    followUsed(used, now)
    serveFollowers(now)
    compare()
  }

  return { receive, flush, exchange, forget: peer => followers.delete(peer) }
}
