/**
 * Exchange of endpoint state between instances. The owner of an endpoint probes it
 * on behalf of all, broadcasts changes of its state and forwards load reports to
 * followers. Digests sent to a random peer repair lost broadcasts.
 */
import type { Hash } from '../hash.js'
import { assertNever } from '../errors.js'
import type { EndpointsContext } from './endpointsContext.js'
import { factOf } from './endpointsDb.js'
import type { EndpointRecord } from './endpointsDb.js'
import type { EndpointsMessage, ForwardedLoad } from './endpointsMessages.js'
import type { Observations } from './observations.js'

/** Time for which a follower receives reports without renewing its subscription, in ms. */
const followTtl = 15_000
/** Interval at which a follower renews its subscription, in ms. */
const followRenewalInterval = 5_000
/** Number of checksums in a digest; endpoint ids are hashed to them. */
const digestBuckets = 16
/** Minimum interval between messages to a follower, in ms. */
const minFollowInterval = 1_000
/** Interval between messages to a follower per endpoint that it follows, in ms; it limits the bytes per second. */
const followIntervalPerEndpoint = 50
/** Time by which a message may be sent early, in ms; exchanges are called with jitter. */
const intervalTolerance = 500

/**
 * Calculates the interval between load reports of each followed endpoint.
 *
 * @param used - number of endpoints that the follower uses
 * @returns the interval in ms
 */
export const followInterval = (used: number): number => Math.max(minFollowInterval, used * followIntervalPerEndpoint)

/** Exchange of endpoint state and load reports with other instances. */
export interface Sharing {
  /** Handles a message of a peer. */
  readonly receive: (from: string, message: EndpointsMessage, now: number) => void
  /** Sends the announcements queued while an input was handled. */
  readonly flush: () => void
  /** Renews subscriptions, sends load reports to followers and sends a digest to a random peer; to be called each second. */
  readonly exchange: (used: readonly EndpointRecord[], now: number) => void
  /** Removes the subscriptions of a lost peer. */
  readonly forget: (peer: string) => void
}

interface Follower {
  /** Time at which the subscription to each endpoint expires, in ms. */
  readonly expiries: Map<string, number>
  /** Requested interval between messages, in ms. */
  interval: number
  /** Time of the last message to the follower, in ms. */
  sentAt: number
}

/**
 * Creates the exchange of endpoint state with other instances.
 *
 * @param context - state and functions shared by the modules of the feature
 * @param observations - functions that apply received state to the registry
 * @param hash - hash function; must be the same on every instance
 * @param pendingAnnouncements - records whose changes are to be announced; emptied by `flush`
 * @returns the exchange
 */
export const createSharing = (context: EndpointsContext, observations: Observations, hash: Hash, pendingAnnouncements: Set<EndpointRecord>): Sharing => {
  const { db, self, random, ownerOf, peers, send, probeSoon } = context
  const followers = new Map<string, Follower>()
  const subscriptions = new Map<string, { owner: string, at: number }>()
  let hasReceivedFacts = false

  const flush = (): void => {
    if (pendingAnnouncements.size === 0) return
    const owned: EndpointRecord[] = []
    const ownedByOthers = new Map<string, EndpointRecord[]>()
    for (const record of pendingAnnouncements) {
      const owner = ownerOf(record.id)
      if (owner === self) owned.push(record)
      else ownedByOthers.set(owner, [...ownedByOthers.get(owner) ?? [], record])
    }
    pendingAnnouncements.clear()
    const facts = owned.map(factOf)
    if (facts.length > 0) peers().forEach(peer => send(peer, { kind: 'endpoints.facts', facts }))
    ownedByOthers.forEach((records, owner) => send(owner, { kind: 'endpoints.facts', facts: records.map(factOf) }))
  }

  const bucketOf = (id: string): number => hash.h32(id) % digestBuckets

  const checksum = (record: EndpointRecord): number => {
    const models = record.models.map(({ model, adapter, weightVersion }) => `${model} ${adapter ?? ''} ${weightVersion}`).sort()
    return hash.h32(JSON.stringify([record.id, record.history.incarnation, record.leaving, record.gone, ...models]))
  }

  const computeDigest = (): number[] => {
    const sums = new Array<number>(digestBuckets).fill(0)
    for (const record of db.records.values()) {
      const bucket = bucketOf(record.id)
      sums[bucket] = (sums[bucket] ^ checksum(record)) >>> 0
    }
    return sums
  }

  let cachedDigest: { readonly version: number, readonly sums: number[] } | undefined
  const currentDigest = (): number[] => {
    const version = context.version()
    if (cachedDigest?.version !== version) cachedDigest = { version, sums: computeDigest() }
    return cachedDigest.sums
  }

  const sendFacts = (to: string, includesBucket: (bucket: number) => boolean): void => {
    const facts = [...db.records.values()].filter(({ id }) => includesBucket(bucketOf(id))).map(factOf)
    if (facts.length > 0) send(to, { kind: 'endpoints.facts', facts })
  }

  const receiveDigest = (from: string, sums: readonly number[]): void => {
    const own = currentDigest()
    if (sums.length !== digestBuckets) return
    if (own.every((sum, bucket) => sum === sums[bucket])) return
    sendFacts(from, bucket => own[bucket] !== sums[bucket])
  }

  const receiveFacts = (from: string, facts: Extract<EndpointsMessage, { kind: 'endpoints.facts' }>['facts'], now: number): void => {
    hasReceivedFacts = true
    const newerRecords = facts.filter(fact => observations.mergeFact(fact, now)).map(({ id }) => db.get(id))
    const newerFacts = newerRecords.filter(record => record !== undefined).map(factOf)
    if (newerFacts.length > 0) send(from, { kind: 'endpoints.facts', facts: newerFacts })
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
        const follower = followers.get(from) ?? { expiries: new Map<string, number>(), interval: 0, sentAt: 0 }
        follower.interval = message.interval
        message.ids.forEach(id => follower.expiries.set(id, now + followTtl))
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
      case 'endpoints.ask': return sendFacts(from, () => true)
      default: assertNever(message)
    }
  }

  const loadSince = (record: EndpointRecord, since: number, now: number): readonly ForwardedLoad[] => {
    const { report } = record
    if (report === undefined || report.at <= since) return []
    const { incarnation, running, waiting, waitingTokens, at } = report
    return [{ id: record.id, incarnation, running, waiting, waitingTokens, age: Math.round(now - at) }]
  }

  const sendLoads = (now: number): void => {
    for (const [peer, follower] of followers) {
      follower.expiries.forEach((expiresAt, id) => expiresAt < now && follower.expiries.delete(id))
      if (follower.expiries.size === 0) followers.delete(peer)
      if (now - follower.sentAt < follower.interval - intervalTolerance) continue
      const records = [...follower.expiries.keys()].map(id => db.get(id)).filter(record => record !== undefined)
      const loads = records.flatMap(record => loadSince(record, follower.sentAt, now))
      const unreachable = records.filter(record => record.unreachableSince !== undefined).map(({ id }) => id)
      follower.sentAt = now
      if (loads.length + unreachable.length > 0) send(peer, { kind: 'endpoints.loads', loads, unreachable })
    }
  }

  const renewFollows = (used: readonly EndpointRecord[], now: number): void => {
    const interval = followInterval(used.length)
    const idsByOwner = new Map<string, string[]>()
    for (const { id } of used) {
      const owner = ownerOf(id)
      if (owner === self) continue
      const subscription = subscriptions.get(id)
      if (subscription?.owner === owner && now - subscription.at < followRenewalInterval) continue
      subscriptions.set(id, { owner, at: now })
      idsByOwner.set(owner, [...idsByOwner.get(owner) ?? [], id])
    }
    idsByOwner.forEach((ids, owner) => send(owner, { kind: 'endpoints.follow', ids, interval }))
  }

  const sendDigest = (): void => {
    const others = peers()
    if (others.length === 0) return
    const peer = others[random.below(others.length)]
    if (!hasReceivedFacts) return send(peer, { kind: 'endpoints.ask' })
    send(peer, { kind: 'endpoints.digest', sums: currentDigest() })
  }

  const exchange = (used: readonly EndpointRecord[], now: number): void => {
    renewFollows(used, now)
    sendLoads(now)
    sendDigest()
  }

  return { receive, flush, exchange, forget: peer => followers.delete(peer) }
}
