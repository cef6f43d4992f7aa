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
import type { PeerEffect } from '../ports/peerPort.js'
import type { Beat, FleetMessage } from './fleetMessages.js'

/** What the own instance says in its beats. */
export interface OwnState {
  readonly ready: boolean
  readonly leaving: boolean
  readonly configuration: number
  readonly proofAge: number
  /** Time since this instance heard from the store itself, in ms. */
  readonly storeAge: number
  readonly holding: boolean
  readonly weights: readonly { readonly model: string, readonly version: number }[]
}

/** What the fleet tells the rest of the instance. */
export interface FleetEvents {
  /** The configuration with this version was the newest at that moment. */
  readonly proven: (version: number, asOf: Moment) => void
  readonly catalog: (catalog: Catalog) => void
  readonly weightsNamed: (model: string, version: number) => void
  readonly workerLoading: (worker: string, time: number) => void
  readonly workerLoaded: (worker: string, model: string, version: number) => void
  readonly workerDoubted: (worker: string) => void
  readonly workerSent: (sent: Extract<FleetMessage, { kind: 'fleet.sent' }>) => void
  readonly peerChanged: (id: string, change: 'alive' | 'silent' | 'leaving') => void
}

/** What the fleet needs. */
export interface FleetOptions {
  readonly self: FleetMember
  readonly hash: Hash
  readonly own: (now: Moment) => OwnState
  readonly ownCatalog: () => Catalog | undefined
  readonly emit: (effect: PeerEffect<FleetMessage>) => void
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
  /** Fronts of the other instances that live and take requests. */
  readonly fronts: (now: Moment) => readonly string[]
  /** Instances that live, this one included. */
  readonly size: (now: Moment) => number
  readonly isAble: (id: string, incarnation: string, now: Moment) => boolean
  /** Place of this instance among those that live, in an order that all share. */
  readonly rank: (now: Moment) => number
  readonly dump: (now: Moment) => unknown
}

interface Peer {
  member: FleetMember
  heardAt: Moment | undefined
  beat: Beat | undefined
  wasAlive: boolean
}

/** Time between beats in a small fleet, in ms. */
const beatInterval = 250
/** Fleet size up to which beats keep that interval; beyond it they are sent less often, so that their number stays bounded. */
const smallFleet = 10
/** Beats that may be missing before an instance counts as silent. */
const missedBeats = 4
/** Time without a word from the store, in ms, up to which an instance counts as reaching it. */
const storeSilence = 2_000
const catalogPause = 300

/**
 * Creates the view of the fleet.
 *
 * @param options - this instance and its outlets
 */
export const createFleet = (options: FleetOptions): Fleet => {
  const { self, hash, emit, events } = options
  const peers = new Map<string, Peer>()
  let nextBeat = -Infinity
  let nextWant = -Infinity

  const interval = (): number => beatInterval * Math.max(1, (peers.size + 1) / smallFleet)

  const isAlive = ({ heardAt }: Peer, now: Moment): boolean =>
    heardAt !== undefined && ageOf(heardAt, now) < interval() * missedBeats

  const setMembers = (members: readonly FleetMember[], withdrawn: readonly string[]): readonly FleetMember[] => {
    for (const id of withdrawn) peers.delete(id)
    for (const member of members) {
      if (member.id === self.id) continue
      const known = peers.get(member.id)
      if (known?.member.incarnation === member.incarnation) continue
      peers.set(member.id, { member, heardAt: undefined, beat: undefined, wasAlive: false })
    }
    return [...peers.values()].map(({ member }) => member)
  }

  const beatFor = (peer: Peer, own: OwnState, now: Moment): Beat => ({
    kind: 'fleet.beat',
    incarnation: self.incarnation,
    ready: own.ready,
    leaving: own.leaving,
    sentAt: now,
    ...(peer.beat === undefined ? {} : { echo: peer.beat.sentAt }),
    configuration: own.configuration,
    ...(Number.isFinite(own.proofAge) ? { proofAge: own.proofAge } : {}),
    ...(Number.isFinite(own.storeAge) ? { storeAge: own.storeAge } : {}),
    holding: own.holding,
    weights: [...own.weights]
  })

  const announce = (now: Moment): void => {
    const own = options.own(now)
    for (const [to, peer] of peers) emit({ kind: 'peer.send', to, message: beatFor(peer, own, now) })
    nextBeat = now.steady + interval()
  }

  const noteLiveness = (now: Moment): void => {
    for (const [id, peer] of peers) {
      const alive = isAlive(peer, now)
      if (alive === peer.wasAlive) continue
      peer.wasAlive = alive
      events.peerChanged(id, alive ? 'alive' : 'silent')
    }
  }

  const tick = (now: Moment): void => {
    noteLiveness(now)
    if (now.steady >= nextBeat) announce(now)
  }

  const takeProof = (from: string, beat: Beat, now: Moment): void => {
    const own = options.own(now).configuration
    if (beat.configuration > own && now.steady >= nextWant) {
      nextWant = now.steady + catalogPause
      emit({ kind: 'peer.send', to: from, message: { kind: 'fleet.wantCatalog', version: beat.configuration } })
    }
    if (beat.configuration !== own || own === 0) return
    if (beat.echo === undefined || beat.proofAge === undefined) return
    events.proven(own, earlier(beat.echo, beat.proofAge))
  }

  const takeBeat = (from: string, beat: Beat, now: Moment): void => {
    const peer = peers.get(from)
    if (peer === undefined) return
    if (beat.leaving && peer.beat?.leaving !== true) events.peerChanged(from, 'leaving')
    peer.beat = beat
    peer.heardAt = now
    for (const { model, version } of beat.weights) events.weightsNamed(model, version)
    takeProof(from, beat, now)
  }

  const receive = (from: string, message: FleetMessage, now: Moment): void => {
    switch (message.kind) {
      case 'fleet.beat': return takeBeat(from, message, now)
      case 'fleet.loading': return events.workerLoading(message.worker, message.time)
      case 'fleet.loaded': return events.workerLoaded(message.worker, message.model, message.version)
      case 'fleet.sent': return events.workerSent(message)
      case 'fleet.doubt': return events.workerDoubted(message.worker)
      case 'fleet.wantCatalog': {
        const catalog = options.ownCatalog()
        if (catalog !== undefined && catalog.version >= message.version) emit({ kind: 'peer.send', to: from, message: { kind: 'fleet.catalog', catalog } })
        return
      }
      case 'fleet.catalog': return events.catalog(message.catalog)
      default: assertNever(message)
    }
  }

  const alive = (now: Moment): readonly Peer[] => [...peers.values()].filter(peer => isAlive(peer, now))

  const isAble = (id: string, incarnation: string, now: Moment): boolean => {
    const peer = peers.get(id)
    if (peer === undefined || !isAlive(peer, now)) return false
    const { beat } = peer
    return beat?.incarnation === incarnation && !beat.leaving && (beat.storeAge ?? Infinity) < storeSilence
  }

  const rank = (now: Moment): number => {
    const own = hash.h32(self.id)
    return alive(now).filter(({ member, beat }) => beat?.leaving === false && hash.h32(member.id) < own).length
  }

  return {
    setMembers,
    receive,
    tick,
    announce,
    broadcast: message => { for (const to of peers.keys()) emit({ kind: 'peer.send', to, message }) },
    fronts: now => alive(now).flatMap(({ member, beat }) => beat?.ready === true && !beat.leaving ? [member.front] : []),
    size: now => alive(now).length + 1,
    isAble,
    rank,
    dump: now => [...peers.values()].map(peer => ({ id: peer.member.id, alive: isAlive(peer, now), ready: peer.beat?.ready, leaving: peer.beat?.leaving }))
  }
}
