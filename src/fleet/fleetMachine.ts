/**
 * The fleet as seen by one instance: which other instances are alive, which serve
 * callers, which read the store for others, their rank for the rollout lease, and
 * their proofs that the configuration is up to date. The members come from the
 * store; their liveness comes from heartbeats between the instances, since the
 * store may be unavailable or reject single instances.
 */
import { rendezvousScore, type Candidate } from '../addresses/rendezvous.js'
import type { Catalog } from '../catalog/catalogTypes.js'
import { assertNever } from '../errors.js'
import type { Hash } from '../hash.js'
import { ageOf, earlier, type Moment } from '../lease/readLease.js'
import type { PoisonMessage } from '../poisonRequests/poisonRequestsTypes.js'
import type { CoordinationMessage } from '../coordination/coordinationMessages.js'
import type { QuotaMessage } from '../quotas/quotaMessages.js'
import type { StreamMessage } from '../streamOrigins/streamLookups.js'
import type { ReachMessage } from '../workerReach/workerReachTypes.js'
import type { LimitMessage } from '../workerLimits/workerLimits.js'
import type { FleetMember } from '../ports/feedPort.js'
import type { PeerEffect, PeerReset } from '../ports/peerPort.js'
import type { WorkerRecord } from '../workers/workersTypes.js'
import type { ServingMember } from './directory.js'
import type { FleetMessage, Heartbeat, ReaderState } from './fleetMessages.js'
import { findLivePeers, isReader, isSilent, maxMissedHeartbeats, reachesStore, readerHeartbeatInterval, storeContactTimeout, type Peer } from './peerLiveness.js'

/** State of this instance that its heartbeats report; ages in ms. */
export interface OwnState {
  readonly ready: boolean
  readonly leaving: boolean
  readonly strained: boolean
  /** Whether it is cut off from the workers of a service. */
  readonly cutOff: boolean
  readonly configuration: number
  /** Age of the newest proof that the configuration is the newest; infinite without one. */
  readonly proofAge: number
  /** Time since the last direct response of the store; infinite without one. */
  readonly storeAge: number
  /** Whether this instance holds the rollout lease. */
  readonly holding: boolean
  /** State read from the store; undefined unless this instance reads it for others. */
  readonly readFor: Omit<ReaderState, 'silent'> | undefined
  readonly weights: readonly { readonly model: string, readonly version: number }[]
}

/** What may change about a peer. */
export type PeerChange = 'alive' | 'silent' | 'leaving' | 'restarted'

/** Callbacks by which the fleet notifies the rest of the instance. */
export interface FleetEvents {
  /** A peer has proved that the configuration with this version was the newest at `asOf`. */
  readonly configurationProven: (version: number, asOf: Moment) => void
  /** A peer has a newer configuration. */
  readonly configurationBehind: () => void
  /** A peer has sent its configuration. */
  readonly catalog: (catalog: Catalog) => void
  /** A peer has reported the newest weight version of a model. */
  readonly weightsNamed: (model: string, version: number) => void
  /** A worker loads weights for about `time` ms. */
  readonly workerLoading: (worker: string, time: number) => void
  /** A worker has loaded a weight version. */
  readonly workerLoaded: (worker: string, model: string, version: number) => void
  /** A peer could not reach a worker. */
  readonly workerDoubted: (worker: string) => void
  /** A worker has told a peer that this lifetime of it is leaving. */
  readonly workerLeaving: (worker: string, startedAt: number) => void
  /** A peer has sent a worker a request with many uncached tokens. */
  readonly peerSentToWorker: (sent: Extract<FleetMessage, { kind: 'fleet.sent' }>) => void
  /** A peer has sent a message about the limit of a worker. */
  readonly limitMessage: (from: string, message: LimitMessage) => void
  /** A peer has sent a message about the quota of a workspace. */
  readonly quotaMessage: (from: string, message: QuotaMessage) => void
  /** A peer has sent a message about requests that crash workers. */
  readonly poisonMessage: (from: string, message: PoisonMessage) => void
  /** A peer has sent a message about the reach of workers. */
  readonly reachMessage: (from: string, message: ReachMessage) => void
  /** A peer has sent a message about placement by coordinators. */
  readonly coordinationMessage: (from: string, message: CoordinationMessage) => void
  /** A peer has sent a message about the origin of streams. */
  readonly streamMessage: (from: string, message: StreamMessage) => void
  /** A peer that reads for others has sent changed worker records. */
  readonly workerRecordsReceived: (records: readonly WorkerRecord[]) => void
  /** A peer that reads for others and recently reached the store has reported its state. */
  readonly readerStateReceived: (state: ReaderState) => void
  /** The liveness of a peer has changed, it has begun to shut down, or it has started anew before it was missed. */
  readonly peerChanged: (id: string, change: PeerChange) => void
}

/** Options of the fleet. */
export interface FleetOptions {
  readonly self: FleetMember
  readonly hash: Hash
  /** Returns the state to report in heartbeats. */
  readonly own: (now: Moment) => OwnState
  /** Returns the configuration to send to peers that have an older one. */
  readonly ownCatalog: () => Catalog | undefined
  readonly emit: (effect: PeerEffect<FleetMessage> | PeerReset) => void
  readonly events: FleetEvents
}

/** The fleet as seen by one instance. */
export interface Fleet {
  /** Adds members, removes withdrawn ones, and returns all other instances. */
  readonly setMembers: (members: readonly FleetMember[], withdrawn: readonly string[]) => readonly FleetMember[]
  /** Handles a message of a peer. */
  readonly receive: (from: string, message: FleetMessage, now: Moment) => void
  /** Sends due heartbeats, reports changes of liveness and resets dead connections. */
  readonly tick: (now: Moment) => void
  /** Sends a heartbeat to all peers immediately. */
  readonly announce: (now: Moment) => void
  /** Sends a message to all peers. */
  readonly broadcast: (message: FleetMessage) => void
  /** Sends a message to one peer. */
  readonly send: (to: string, message: FleetMessage) => void
  /** Returns the live instances that are responsible for a key, by rendezvous hashing, the first one first; one that is leaving only if there is no other. */
  readonly ownersOf: (key: string, count: number, now: Moment) => readonly string[]
  /** Returns the live instances that neither leave nor lag, with their capacity as weight; this one, too, if it is one of them. */
  readonly coordinators: (now: Moment) => readonly Candidate[]
  /** Whether other instances are known, live or not. */
  readonly hasPeers: () => boolean
  /** Returns some of the other instances that are live and not leaving, others with each `turn`. */
  readonly someLivePeers: (count: number, turn: number, now: Moment) => readonly string[]
  /** Where callers of another instance connect, as IP:PORT; undefined if it is not known. */
  readonly frontOf: (peer: string) => string | undefined
  /** Returns some of the other instances that are known, live or not. */
  readonly somePeers: (count: number) => readonly string[]
  /** Fraction of the instances that were live within the last minute that are live now; those that this instance could not hear yet count, too. */
  readonly liveShare: (now: Moment) => number
  /** Returns the other instances that are alive, ready and not leaving. */
  readonly serving: (now: Moment) => readonly ServingMember[]
  /** Number of live instances, including this one. */
  readonly size: (now: Moment) => number
  /** Whether this incarnation of a peer is alive, is not leaving, and recently reached the store itself. */
  readonly hasStoreAccess: (id: string, incarnation: string, now: Moment) => boolean
  /** Number of peers ranked before this instance that read for others and recently reached the store. */
  readonly higherRankedReaders: (now: Moment) => number
  /** Number of live peers that are not leaving and rank before this instance, in an order that is the same on all instances. */
  readonly rank: (now: Moment) => number
  /** Returns the first live instance, in that order, that is not leaving and recently reached the store itself; undefined if there is none. */
  readonly firstStoreReader: (now: Moment) => string | undefined
  /** Returns the peers for the state dump. */
  readonly dump: (now: Moment) => unknown
}

/** Time between heartbeats in a small fleet, in ms. */
const heartbeatInterval = 250
/** Fleet size up to which `heartbeatInterval` applies; beyond it the interval grows in proportion, which bounds the number of heartbeats. */
const smallFleetSize = 10
/** Minimum time between requests for a newer configuration, in ms. */
const catalogRequestInterval = 300
/** Minimum time between two resets of a connection, in ms. */
const minResetInterval = 1_000
/** Time between liveness checks, in ms. */
const livenessCheckInterval = 100
/** Time within which an instance that polls the store normally receives a new configuration from it, in ms. */
const storeFetchTime = 300
/** Time for which an instance that has fallen silent counts among those that may be live elsewhere, in ms; instances that were killed keep their records. */
const memberMemory = 60_000
/** Least weight of an instance in the choice of coordinators, as one may state no capacity. */
const minCoordinatorWeight = 0.01

/**
 * Creates an instance's view of the fleet, without members.
 *
 * @param options - this instance, its state, and where effects and events go
 * @returns the fleet
 */
export const createFleet = (options: FleetOptions): Fleet => {
  const { self, hash, emit, events } = options
  const peers = new Map<string, Peer>()
  let nextHeartbeat = -Infinity
  let nextReaderHeartbeat = -Infinity
  let nextLivenessCheck = -Infinity
  let nextCatalogRequest = -Infinity
  let behindSince: number | undefined
  let startedAt: Moment | undefined

  const currentHeartbeatInterval = (): number => heartbeatInterval * Math.max(1, (peers.size + 1) / smallFleetSize)

  const livePeers = (now: Moment): readonly Peer[] => findLivePeers([...peers.values()], currentHeartbeatInterval(), now)

  const ranksBefore = (left: FleetMember, right: FleetMember): boolean =>
    left.capacity === right.capacity ? hash.h32(left.id) < hash.h32(right.id) : left.capacity > right.capacity

  const setMembers = (members: readonly FleetMember[], withdrawn: readonly string[]): readonly FleetMember[] => {
    for (const id of withdrawn) peers.delete(id)
    for (const member of members) {
      if (member.id === self.id) continue
      const known = peers.get(member.id)
      if (known?.member.incarnation === member.incarnation) continue
      // The heartbeats of a restarted instance may arrive before its record.
      if (known?.heartbeat?.incarnation === member.incarnation) known.member = member
      else peers.set(member.id, { member, heardAt: undefined, heartbeat: undefined, reportedAlive: false, deliveredAt: undefined, resetAt: -Infinity })
    }
    return [...peers.values()].map(({ member }) => member)
  }

  const findSilentPeers = (now: Moment): string[] =>
    [...peers.values()].filter(peer => isSilent(peer, now)).map(({ member }) => member.id)

  const buildHeartbeat = (peer: Peer, own: OwnState, silent: string[], now: Moment): Heartbeat => ({
    kind: 'fleet.beat',
    incarnation: self.incarnation,
    ready: own.ready,
    leaving: own.leaving,
    strained: own.strained,
    cutOff: own.cutOff,
    sentAt: now,
    ...(peer.heartbeat === undefined ? {} : { echo: peer.heartbeat.sentAt, echoOf: peer.heartbeat.incarnation }),
    configuration: own.configuration,
    ...(Number.isFinite(own.proofAge) ? { proofAge: own.proofAge } : {}),
    ...(Number.isFinite(own.storeAge) ? { storeAge: own.storeAge } : {}),
    holding: own.holding,
    ...(own.readFor === undefined ? {} : { readFor: { ...own.readFor, silent } }),
    weights: [...own.weights]
  })

  const sendHeartbeat = (peer: Peer, own: OwnState, silent: string[], now: Moment): void => {
    peer.deliveredAt ??= now
    emit({ kind: 'peer.send', to: peer.member.id, message: buildHeartbeat(peer, own, silent, now) })
  }

  const sendHeartbeats = (to: Iterable<Peer>, own: OwnState, now: Moment): void => {
    const silent = own.readFor === undefined ? [] : findSilentPeers(now)
    for (const peer of to) sendHeartbeat(peer, own, silent, now)
    nextReaderHeartbeat = now.steady + readerHeartbeatInterval
  }

  const announce = (now: Moment): void => {
    const own = options.own(now)
    sendHeartbeats(peers.values(), own, now)
    nextHeartbeat = now.steady + (own.readFor === undefined ? currentHeartbeatInterval() : Math.min(currentHeartbeatInterval(), readerHeartbeatInterval))
  }

  const sendHeartbeatsToReaders = (now: Moment): void =>
    sendHeartbeats([...peers.values()].filter(peer => isReader(peer, now)), options.own(now), now)

  const reportLivenessChanges = (now: Moment): void => {
    const live = new Set(livePeers(now))
    for (const [id, peer] of peers) {
      const isAlive = live.has(peer)
      if (isAlive === peer.reportedAlive) continue
      peer.reportedAlive = isAlive
      events.peerChanged(id, isAlive ? 'alive' : 'silent')
    }
  }

  /** Resets the connections whose echo no longer advances, since a connection can stop delivering permanently without being reset. */
  const resetDeadConnections = (now: Moment): void => {
    const limit = currentHeartbeatInterval() * (maxMissedHeartbeats + 1)
    for (const [to, peer] of peers) {
      if (peer.deliveredAt === undefined || ageOf(peer.deliveredAt, now) < limit || now.steady - peer.resetAt < minResetInterval) continue
      peer.resetAt = now.steady
      emit({ kind: 'peer.reset', to })
    }
  }

  const tick = (now: Moment): void => {
    startedAt ??= now
    if (now.steady >= nextLivenessCheck) {
      nextLivenessCheck = now.steady + livenessCheckInterval
      reportLivenessChanges(now)
      resetDeadConnections(now)
    }
    if (now.steady >= nextHeartbeat) announce(now)
    else if (now.steady >= nextReaderHeartbeat) sendHeartbeatsToReaders(now)
  }

  /** Requests a newer configuration, from the store and from a peer. In a larger fleet the peer is asked only after the store has had time to answer, so that not all instances ask the same peer. */
  const requestCatalog = (from: string, version: number, now: Moment): void => {
    if (behindSince === undefined) events.configurationBehind()
    behindSince ??= now.steady
    if (peers.size >= smallFleetSize && now.steady < behindSince + storeFetchTime) return
    if (now.steady < nextCatalogRequest) return
    nextCatalogRequest = now.steady + catalogRequestInterval
    emit({ kind: 'peer.send', to: from, message: { kind: 'fleet.wantCatalog', version } })
  }

  const applyProof = (from: string, heartbeat: Heartbeat, now: Moment): void => {
    const own = options.own(now).configuration
    if (heartbeat.configuration > own) return requestCatalog(from, heartbeat.configuration, now)
    behindSince = undefined
    if (heartbeat.configuration !== own || own === 0) return
    if (heartbeat.echo === undefined || heartbeat.proofAge === undefined) return
    events.configurationProven(own, earlier(heartbeat.echo, Math.max(0, heartbeat.proofAge)))
  }

  /** Whether the echo is of a heartbeat of this incarnation, which must not lie in the future. An older version of the program does not say whose it is. */
  const isOwnEcho = ({ echo, echoOf }: Heartbeat, now: Moment): boolean =>
    echo !== undefined && echo.steady <= now.steady && (echoOf === undefined || echoOf === self.incarnation)

  const handleHeartbeat = (from: string, received: Heartbeat, now: Moment): void => {
    const peer = peers.get(from)
    if (peer === undefined) return
    const heartbeat = isOwnEcho(received, now) ? received : { ...received, echo: undefined }
    if (peer.heartbeat !== undefined && peer.heartbeat.incarnation !== heartbeat.incarnation) events.peerChanged(from, 'restarted')
    if (heartbeat.leaving && peer.heartbeat?.leaving !== true) events.peerChanged(from, 'leaving')
    peer.heartbeat = heartbeat
    peer.heardAt = now
    if (heartbeat.echo !== undefined) peer.deliveredAt = heartbeat.echo
    // The sender has not heard from this instance; in a large fleet the next regular heartbeat may be seconds away.
    else sendHeartbeat(peer, options.own(now), [], now)
    for (const { model, version } of heartbeat.weights) events.weightsNamed(model, version)
    if (heartbeat.readFor !== undefined && isReader(peer, now)) events.readerStateReceived(heartbeat.readFor)
    applyProof(from, heartbeat, now)
  }

  const receive = (from: string, message: FleetMessage, now: Moment): void => {
    switch (message.kind) {
      case 'fleet.beat': return handleHeartbeat(from, message, now)
      case 'fleet.loading': return events.workerLoading(message.worker, message.time)
      case 'fleet.loaded': return events.workerLoaded(message.worker, message.model, message.version)
      case 'fleet.sent': return events.peerSentToWorker(message)
      case 'fleet.doubt': return events.workerDoubted(message.worker)
      case 'fleet.workerLeaving': return events.workerLeaving(message.worker, message.startedAt)
      case 'fleet.workerLimit':
      case 'fleet.permitRequest':
      case 'fleet.permitDecision': return events.limitMessage(from, message)
      case 'fleet.quotaRequest':
      case 'fleet.quotaDecision':
      case 'fleet.quotaReturn':
      case 'fleet.quotaContact':
      case 'fleet.quotaContactAnswer':
      case 'fleet.quotaCounted': return events.quotaMessage(from, message)
      case 'fleet.workerCrash':
      case 'fleet.partQuestion':
      case 'fleet.partProofs':
      case 'fleet.blockedParts':
      case 'fleet.partUnblocked':
      case 'fleet.blockedQuestion':
      case 'fleet.blockedAnswer': return events.poisonMessage(from, message)
      case 'fleet.reachQuestion':
      case 'fleet.reachAnswer': return events.reachMessage(from, message)
      case 'fleet.streams':
      case 'fleet.streamQuestion':
      case 'fleet.streamAnswer': return events.streamMessage(from, message)
      case 'fleet.placementRequest':
      case 'fleet.placementDecision':
      case 'fleet.placementUpdates': return events.coordinationMessage(from, message)
      case 'fleet.workers': return events.workerRecordsReceived(message.records)
      case 'fleet.wantCatalog': {
        const catalog = options.ownCatalog()
        if (catalog !== undefined && catalog.version >= message.version) emit({ kind: 'peer.send', to: from, message: { kind: 'fleet.catalog', catalog } })
        return
      }
      case 'fleet.catalog': return events.catalog(message.catalog)
      default: assertNever(message)
    }
  }

  const hasStoreAccess = (id: string, incarnation: string, now: Moment): boolean => {
    const peer = peers.get(id)
    if (peer === undefined || !livePeers(now).includes(peer)) return false
    const { heartbeat } = peer
    return heartbeat?.incarnation === incarnation && !heartbeat.leaving && reachesStore(peer)
  }

  const rank = (now: Moment): number =>
    livePeers(now).filter(({ member, heartbeat }) => heartbeat?.leaving === false && ranksBefore(member, self)).length

  const firstStoreReader = (now: Moment): string | undefined => {
    const own = options.own(now)
    const readers = livePeers(now).filter(peer => peer.heartbeat?.leaving === false && reachesStore(peer)).map(({ member }) => member)
    const candidates = !own.leaving && own.storeAge < storeContactTimeout ? [self, ...readers] : readers
    return candidates.sort((left, right) => ranksBefore(left, right) ? -1 : 1)[0]?.id
  }

  const ownersOf = (key: string, count: number, now: Moment): readonly string[] => {
    const staying = livePeers(now).filter(({ heartbeat }) => heartbeat?.leaving === false).map(({ member }) => member.id)
    const candidates = options.own(now).leaving && staying.length > 0 ? staying : [self.id, ...staying]
    return pickByHash(candidates, key, count)
  }

  const coordinators = (now: Moment): readonly Candidate[] => {
    const { leaving, strained } = options.own(now)
    const members = livePeers(now).filter(({ heartbeat }) => heartbeat?.leaving === false && !heartbeat.strained && !heartbeat.cutOff).map(({ member }) => member)
    return [...(leaving || strained ? [] : [self]), ...members].map(({ id, capacity }) => ({ id, weight: Math.max(minCoordinatorWeight, capacity) }))
  }

  /** The first of these instances by rendezvous hashing of the key. */
  const pickByHash = (ids: readonly string[], key: string, count: number): readonly string[] => {
    const keyHash = hash.h32(key)
    return ids
      .map(id => ({ id, score: rendezvousScore(keyHash, hash.h32(id)) }))
      .sort((left, right) => right.score - left.score)
      .slice(0, count)
      .map(({ id }) => id)
  }

  const liveShare = (now: Moment): number => {
    startedAt ??= now
    const mayHaveBeenUnheard = ageOf(startedAt, now) < memberMemory
    const recent = [...peers.values()].filter(({ heardAt }) => heardAt === undefined ? mayHaveBeenUnheard : ageOf(heardAt, now) < memberMemory)
    return (livePeers(now).length + 1) / (recent.length + 1)
  }

  const higherRankedReaders = (now: Moment): number =>
    [...peers.values()].filter(peer => isReader(peer, now) && ranksBefore(peer.member, self)).length

  return {
    setMembers,
    receive,
    tick,
    announce,
    send: (to, message) => emit({ kind: 'peer.send', to, message }),
    ownersOf,
    coordinators,
    hasPeers: () => peers.size > 0,
    somePeers: count => pickByHash([...peers.keys()], self.incarnation, count),
    someLivePeers: (count, turn, now) => pickByHash(livePeers(now).filter(({ heartbeat }) => heartbeat?.leaving === false && !heartbeat.cutOff).map(({ member }) => member.id), `${self.incarnation}/${turn}`, count),
    frontOf: peer => peers.get(peer)?.member.front,
    liveShare,
    broadcast: message => { for (const to of peers.keys()) emit({ kind: 'peer.send', to, message }) },
    serving: now => livePeers(now).flatMap(({ member, heartbeat }) => heartbeat?.ready === true && !heartbeat.leaving ? [{ member, impaired: heartbeat.strained || heartbeat.cutOff }] : []),
    size: now => livePeers(now).length + 1,
    hasStoreAccess,
    higherRankedReaders,
    rank,
    firstStoreReader,
    dump: now => {
      const live = livePeers(now)
      return [...peers.values()].map(peer => ({ id: peer.member.id, alive: live.includes(peer), ready: peer.heartbeat?.ready, leaving: peer.heartbeat?.leaving, reads: isReader(peer, now) }))
    }
  }
}
