/**
 * The other instances as one instance sees them: who lives, where callers may
 * connect, who gives orders, and what they prove of the configuration. The store
 * says which instances there are; beats between them say which of these live,
 * since the store may be away or turn single instances away.
 */
import type { Catalog } from '../catalog/catalogTypes.js'
import { assertNever } from '../errors.js'
import type { Hash } from '../hash.js'
import { ageOf, earlier, type Moment } from '../lease/readLease.js'
import type { FleetMember } from '../ports/feedPort.js'
import type { PeerEffect, PeerReset } from '../ports/peerPort.js'
import type { WorkerRecord } from '../workers/workersTypes.js'
import type { ServingMember } from './directory.js'
import type { Heartbeat, FleetMessage, ReaderState } from './fleetMessages.js'

/** What the own instance says in its beats. */
export interface OwnState {
  readonly ready: boolean
  readonly leaving: boolean
  readonly strained: boolean
  readonly configuration: number
  readonly proofAge: number
  /** Time since this instance heard from the store itself, in ms. */
  readonly storeAge: number
  readonly holding: boolean
  /** What it believes, if it reads the store for others. */
  readonly readFor: Omit<ReaderState, 'silent'> | undefined
  readonly weights: readonly { readonly model: string, readonly version: number }[]
}

/** What the fleet tells the rest of the instance. */
export interface FleetEvents {
  /** The configuration with this version was the newest at that moment. */
  readonly configurationProven: (version: number, asOf: Moment) => void
  readonly catalog: (catalog: Catalog) => void
  readonly weightsNamed: (model: string, version: number) => void
  readonly workerLoading: (worker: string, time: number) => void
  readonly workerLoaded: (worker: string, model: string, version: number) => void
  readonly workerDoubted: (worker: string) => void
  readonly peerSentToWorker: (sent: Extract<FleetMessage, { kind: 'fleet.sent' }>) => void
  /** An instance that reads for others has concluded this. */
  readonly workerRecordsReceived: (records: readonly WorkerRecord[]) => void
  /** An instance that reads for others, and reached the store lately, believes this. */
  readonly readerStateReceived: (state: ReaderState) => void
  readonly peerChanged: (id: string, change: 'alive' | 'silent' | 'leaving') => void
}

/** What the fleet needs. */
export interface FleetOptions {
  readonly self: FleetMember
  readonly hash: Hash
  readonly own: (now: Moment) => OwnState
  readonly ownCatalog: () => Catalog | undefined
  readonly emit: (effect: PeerEffect<FleetMessage> | PeerReset) => void
  readonly events: FleetEvents
}

/** The fleet as one instance sees it. */
export interface Fleet {
  readonly setMembers: (members: readonly FleetMember[], withdrawn: readonly string[]) => readonly FleetMember[]
  readonly receive: (from: string, message: FleetMessage, now: Moment) => void
  readonly tick: (now: Moment) => void
  /** Sends a beat to all at once. */
  readonly announce: (now: Moment) => void
  readonly broadcast: (message: FleetMessage) => void
  /** The other instances that live and take requests. */
  readonly serving: (now: Moment) => readonly ServingMember[]
  /** Instances that live, this one included. */
  readonly size: (now: Moment) => number
  readonly hasStoreAccess: (id: string, incarnation: string, now: Moment) => boolean
  /** Live instances before this one, in the order that all share, that read for others and reached the store lately. */
  readonly higherRankedReaders: (now: Moment) => number
  /** Place of this instance among those that live, in an order that all share. */
  readonly rank: (now: Moment) => number
  readonly dump: (now: Moment) => unknown
}

interface Peer {
  member: FleetMember
  heardAt: Moment | undefined
  beat: Heartbeat | undefined
  wasAlive: boolean
  /** Own time of the last message that is known to have reached it, or from which on none is known to. */
  reachedAt: Moment | undefined
  resetAt: number
}

/** Time between beats in a small fleet, in ms. */
const beatInterval = 250
/** Fleet size up to which beats keep that interval; beyond it they are sent less often, so that their number stays bounded. */
const smallFleet = 10
/** Beats that may be missing before an instance counts as silent. */
const missedBeats = 4
/** Time without a word from the store, in ms, up to which an instance counts as reaching it; a read that waits proves only how things were when it was sent, so the time goes up to twice its wait. */
const storeSilence = 2_000
const catalogPause = 300
/** Time between two resets of a connection, in ms. */
const resetPause = 1_000
/** Time between looks at who lives, in ms. */
const lookInterval = 100
/** Time in which an instance that follows the store has a new configuration from there, in ms. */
const storeAnswerTime = 300
/** Time between beats to and from an instance that reads for others, in ms: proofs and workers reach the rest with them. */
const readerInterval = 500
/** Time without a beat, in ms, after which one that reads for others is not relied on. */
const readerSilence = 1_500

/**
 * Creates the view of the fleet.
 *
 * @param options - this instance and its outlets
 */
export const createFleet = (options: FleetOptions): Fleet => {
  const { self, hash, emit, events } = options
  const peers = new Map<string, Peer>()
  let nextBeat = -Infinity
  let nextReaderBeat = -Infinity
  let nextLook = -Infinity
  let nextWant = -Infinity
  let behindSince: number | undefined

  const interval = (): number => beatInterval * Math.max(1, (peers.size + 1) / smallFleet)

  const heardWithin = ({ heardAt }: Peer, time: number, now: Moment): boolean =>
    heardAt !== undefined && ageOf(heardAt, now) < time

  const isReader = (peer: Peer, now: Moment): boolean =>
    peer.beat?.readFor !== undefined && !peer.beat.leaving && (peer.beat.storeAge ?? Infinity) < storeSilence && heardWithin(peer, readerSilence, now)

  /** Peers that one which reads for others no longer hears, though they beat to it more often than to the rest. */
  const reportedSilent = (now: Moment): ReadonlySet<string> =>
    new Set([...peers.values()].flatMap(peer => isReader(peer, now) ? peer.beat?.readFor?.silent ?? [] : []))

  const alive = (now: Moment): readonly Peer[] => {
    const silent = reportedSilent(now)
    return [...peers.values()].filter(peer =>
      heardWithin(peer, interval() * missedBeats, now) &&
      (!silent.has(peer.member.id) || heardWithin(peer, readerInterval * missedBeats, now)))
  }

  const precedes = (left: FleetMember, right: FleetMember): boolean =>
    left.capacity === right.capacity ? hash.h32(left.id) < hash.h32(right.id) : left.capacity > right.capacity

  const setMembers = (members: readonly FleetMember[], withdrawn: readonly string[]): readonly FleetMember[] => {
    for (const id of withdrawn) peers.delete(id)
    for (const member of members) {
      if (member.id === self.id) continue
      const known = peers.get(member.id)
      if (known?.member.incarnation === member.incarnation) continue
      peers.set(member.id, { member, heardAt: undefined, beat: undefined, wasAlive: false, reachedAt: undefined, resetAt: -Infinity })
    }
    return [...peers.values()].map(({ member }) => member)
  }

  const silentPeers = (now: Moment): string[] =>
    [...peers.values()].filter(peer => !heardWithin(peer, readerInterval * missedBeats, now)).map(({ member }) => member.id)

  const beatFor = (peer: Peer, own: OwnState, silent: string[], now: Moment): Heartbeat => ({
    kind: 'fleet.beat',
    incarnation: self.incarnation,
    ready: own.ready,
    leaving: own.leaving,
    strained: own.strained,
    sentAt: now,
    ...(peer.beat === undefined ? {} : { echo: peer.beat.sentAt }),
    configuration: own.configuration,
    ...(Number.isFinite(own.proofAge) ? { proofAge: own.proofAge } : {}),
    ...(Number.isFinite(own.storeAge) ? { storeAge: own.storeAge } : {}),
    holding: own.holding,
    ...(own.readFor === undefined ? {} : { readFor: { ...own.readFor, silent } }),
    weights: [...own.weights]
  })

  const beatTo = (to: Iterable<Peer>, own: OwnState, now: Moment): void => {
    const silent = own.readFor === undefined ? [] : silentPeers(now)
    for (const peer of to) {
      peer.reachedAt ??= now
      emit({ kind: 'peer.send', to: peer.member.id, message: beatFor(peer, own, silent, now) })
    }
    nextReaderBeat = now.steady + readerInterval
  }

  const announce = (now: Moment): void => {
    const own = options.own(now)
    beatTo(peers.values(), own, now)
    nextBeat = now.steady + (own.readFor === undefined ? interval() : Math.min(interval(), readerInterval))
  }

  const beatToReaders = (now: Moment): void =>
    beatTo([...peers.values()].filter(peer => isReader(peer, now)), options.own(now), now)

  const noteLiveness = (now: Moment): void => {
    const living = new Set(alive(now))
    for (const [id, peer] of peers) {
      const isAlive = living.has(peer)
      if (isAlive === peer.wasAlive) continue
      peer.wasAlive = isAlive
      events.peerChanged(id, isAlive ? 'alive' : 'silent')
    }
  }

  /** A connection may fall silent for good without a reset; the other's echo then stands still. */
  const mendConnections = (now: Moment): void => {
    const limit = interval() * (missedBeats + 1)
    for (const [to, peer] of peers) {
      if (peer.reachedAt === undefined || ageOf(peer.reachedAt, now) < limit || now.steady - peer.resetAt < resetPause) continue
      peer.resetAt = now.steady
      emit({ kind: 'peer.reset', to })
    }
  }

  const tick = (now: Moment): void => {
    if (now.steady >= nextLook) {
      nextLook = now.steady + lookInterval
      noteLiveness(now)
      mendConnections(now)
    }
    if (now.steady >= nextBeat) announce(now)
    else if (now.steady >= nextReaderBeat) beatToReaders(now)
  }

  /** In a larger fleet the store is given time to answer first, so that not all ask the same instance. */
  const wantCatalog = (from: string, version: number, now: Moment): void => {
    behindSince ??= now.steady
    if (peers.size >= smallFleet && now.steady < behindSince + storeAnswerTime) return
    if (now.steady < nextWant) return
    nextWant = now.steady + catalogPause
    emit({ kind: 'peer.send', to: from, message: { kind: 'fleet.wantCatalog', version } })
  }

  const takeProof = (from: string, beat: Heartbeat, now: Moment): void => {
    const own = options.own(now).configuration
    if (beat.configuration > own) return wantCatalog(from, beat.configuration, now)
    behindSince = undefined
    if (beat.configuration !== own || own === 0) return
    if (beat.echo === undefined || beat.proofAge === undefined) return
    events.configurationProven(own, earlier(beat.echo, beat.proofAge))
  }

  const takeBeat = (from: string, beat: Heartbeat, now: Moment): void => {
    const peer = peers.get(from)
    if (peer === undefined) return
    if (beat.leaving && peer.beat?.leaving !== true) events.peerChanged(from, 'leaving')
    peer.beat = beat
    peer.heardAt = now
    if (beat.echo !== undefined) peer.reachedAt = beat.echo
    for (const { model, version } of beat.weights) events.weightsNamed(model, version)
    if (beat.readFor !== undefined && isReader(peer, now)) events.readerStateReceived(beat.readFor)
    takeProof(from, beat, now)
  }

  const receive = (from: string, message: FleetMessage, now: Moment): void => {
    switch (message.kind) {
      case 'fleet.beat': return takeBeat(from, message, now)
      case 'fleet.loading': return events.workerLoading(message.worker, message.time)
      case 'fleet.loaded': return events.workerLoaded(message.worker, message.model, message.version)
      case 'fleet.sent': return events.peerSentToWorker(message)
      case 'fleet.doubt': return events.workerDoubted(message.worker)
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
    if (peer === undefined || !alive(now).includes(peer)) return false
    const { beat } = peer
    return beat?.incarnation === incarnation && !beat.leaving && (beat.storeAge ?? Infinity) < storeSilence
  }

  const rank = (now: Moment): number =>
    alive(now).filter(({ member, beat }) => beat?.leaving === false && precedes(member, self)).length

  const higherRankedReaders = (now: Moment): number =>
    [...peers.values()].filter(peer => isReader(peer, now) && precedes(peer.member, self)).length

  return {
    setMembers,
    receive,
    tick,
    announce,
    broadcast: message => { for (const to of peers.keys()) emit({ kind: 'peer.send', to, message }) },
    serving: now => alive(now).flatMap(({ member, beat }) => beat?.ready === true && !beat.leaving ? [{ member, strained: beat.strained }] : []),
    size: now => alive(now).length + 1,
    hasStoreAccess,
    higherRankedReaders,
    rank,
    dump: now => {
      const living = alive(now)
      return [...peers.values()].map(peer => ({ id: peer.member.id, alive: living.includes(peer), ready: peer.beat?.ready, leaving: peer.beat?.leaving, reads: isReader(peer, now) }))
    }
  }
}
