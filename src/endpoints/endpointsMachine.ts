/**
 * The registry of workers and plain services. It combines the settings, the
 * platform's membership list, local probes, dispatch results and the state that
 * peers send into a list that routing reads. One instance, the owner, probes an
 * endpoint on behalf of all; other instances probe only endpoints that they use
 * and whose last report is stale.
 */
import { createRendezvousHash } from '../addresses/rendezvous.js'
import type { Hash } from '../hash.js'
import { assertNever } from '../errors.js'
import type { Random } from '../random.js'
import type { EndpointsContext, EndpointsEffect, EndpointsInput } from './endpointsContext.js'
import { createEndpointsDb, individualState } from './endpointsDb.js'
import type { EndpointRecord } from './endpointsDb.js'
import { endpointsMessageSchema } from './endpointsMessages.js'
import type { Endpoint, EndpointDescriptor } from './endpointsTypes.js'
import { createObservations } from './observations.js'
import { createSharing, followInterval } from './sharing.js'
import type { Member } from '../ports/membershipPort.js'
import type { PeerMessage } from '../ports/peerPort.js'

/** Options of the endpoint registry. */
export interface EndpointsOptions {
  /** The id of this instance. */
  readonly self: string
  /** Endpoints that the settings name. */
  readonly configured: readonly EndpointDescriptor[]
  readonly random: Random
  /** Hash function for ownership and digests; must be the same on every instance. */
  readonly hash: Hash
  /** Interval between the owner's probes of an endpoint, in ms. */
  readonly probeInterval?: number
}

/** One endpoint in the state dump. */
export interface EndpointDump {
  readonly id: string
  /** State before the panic threshold is applied. */
  readonly state: string
  /** State that routing sees; undefined if the endpoint is gone. */
  readonly shown?: string
  readonly incarnation: string
  readonly generation: number
  readonly owner: string
  readonly heardAt: number
  readonly models: readonly string[]
}

/** The endpoint registry of one instance. */
export interface Endpoints {
  /** Handles an input and returns the effects to perform. */
  readonly handle: (input: EndpointsInput, now: number) => readonly EndpointsEffect[]
  /** Returns all endpoints that are not gone; the array stays the same until something other than a load report changes. */
  readonly list: () => readonly Endpoint[]
  readonly get: (id: string) => Endpoint | undefined
  /** Whether the list can be relied on: false from a pause of this process until the endpoints that it follows have been heard again, or `verificationTime` has passed. */
  readonly isCurrent: (now: number) => boolean
  /** Returns the state of the registry for diagnostics. */
  readonly dump: () => { readonly endpoints: readonly EndpointDump[], readonly panics: readonly string[] }
}

/** Default interval between the owner's probes of an endpoint, in ms. */
const defaultProbeInterval = 500
/** Interval between checks of the probe schedule, in ms. */
const scheduleInterval = 100
/** Interval between exchanges with other instances, in ms. */
const exchangeInterval = 1_000
/** Age, on top of the interval between forwarded reports, at which a report is stale and this instance probes for itself, in ms. */
const staleAfter = 2_000
/** Time without a tick after which this process has paused, and endpoints may have left unnoticed, in ms; an endpoint that leaves must get no new work after 3 s. */
const maxPause = 1_500
/** Longest time for which the endpoints are awaited after a pause, in ms. */
const verificationTime = 500
/** Time for which an endpoint counts as in use after a dispatch, in ms. */
const usedTtl = 30_000
/** Time after which an unanswered probe counts as failed, in ms. */
const probeTimeout = 2_000
/** Time after which an unreachable endpoint that is leaving or unlisted is marked as gone, in ms. */
const goneTimeout = 30_000
/** Time for which the record of a gone endpoint is kept, in ms. */
const goneRetention = 3_600_000
/** Maximum number of endpoints at which every instance follows all of them. */
const maxFollowAllEndpoints = 64
/** Maximum number of new list members that are announced to peers at once; larger sets spread by digests. */
const maxAnnouncedMembers = 16
const noEffects: readonly EndpointsEffect[] = []

/**
 * Creates the endpoint registry.
 *
 * @param options - identity of this instance, configured endpoints and dependencies
 * @returns the registry
 */
export const createEndpoints = (options: EndpointsOptions): Endpoints => {
  const { self, configured, random, hash, probeInterval = defaultProbeInterval } = options
  const db = createEndpointsDb()
  const rendezvous = createRendezvousHash(hash)
  const pendingAnnouncements = new Set<EndpointRecord>()
  const probeCandidates = new Set<EndpointRecord>()
  const owners = new Map<string, string>()
  let effects: EndpointsEffect[] = []
  let findOwner = rendezvous.ownerAmong([self])
  let peers: readonly string[] = []
  let memberListReceived = false
  let version = 0
  let reportInterval = followInterval(0)
  let nextScheduleAt = Number.NEGATIVE_INFINITY
  let nextExchangeAt = Number.NEGATIVE_INFINITY
  let tickedAt: number | undefined
  let wokeAt = Number.NEGATIVE_INFINITY

  const ownerOf = (id: string): string => {
    const cached = owners.get(id)
    if (cached !== undefined) return cached
    const owner = findOwner(id) ?? self
    owners.set(id, owner)
    return owner
  }

  const scheduleProbe = (record: EndpointRecord, probeAt: number): void => {
    probeCandidates.add(record)
    record.nextProbeAt = Math.min(record.nextProbeAt, probeAt)
  }

  const emit = (effect: EndpointsEffect): void => {
    effects.push(effect)
  }

  const context: EndpointsContext = {
    self,
    random,
    db,
    ownerOf,
    peers: () => peers,
    emit,
    send: (to, message) => emit({ kind: 'peer.send', to, message }),
    version: () => version,
    emitChange: (record, reason) => {
      version++
      db.invalidateView()
      emit({ kind: 'endpoints.changed', endpoint: record.id, reason })
    },
    queueAnnouncement: record => pendingAnnouncements.add(record),
    probeSoon: scheduleProbe
  }
  const observations = createObservations(context)
  const sharing = createSharing(context, observations, hash, pendingAnnouncements)

  for (const endpoint of configured) db.add(endpoint, 0).configured = true

  const isInUse = (record: EndpointRecord, now: number): boolean =>
    db.records.size <= maxFollowAllEndpoints || now - record.usedAt < usedTtl

  const isProbeCandidate = (record: EndpointRecord, now: number): boolean =>
    ownerOf(record.id) === self || isInUse(record, now) || record.circuit.open || record.pendingIncarnation !== undefined

  const probe = (record: EndpointRecord, now: number): void => {
    record.probedAt = now
    emit({ kind: 'endpoint.probe', endpoint: record.id, address: record.descriptor.address })
  }

  const withJitter = (interval: number): number => interval * (0.9 + 0.2 * random.unit())

  /** Returns the time of the next probe, in ms, provided that none is outstanding. */
  const nextProbeDue = (record: EndpointRecord): number => {
    if (record.circuit.open) return Math.max(record.nextProbeAt, record.circuit.retryAt)
    if (ownerOf(record.id) === self || record.pendingIncarnation !== undefined) return record.nextProbeAt
    if (record.unreachableSince !== undefined) return record.nextProbeAt
    return Math.max(record.nextProbeAt, record.heardAt + staleAfter + reportInterval)
  }

  const probeIfDue = (record: EndpointRecord, now: number): void => {
    if (record.probedAt !== undefined && now - record.probedAt < probeTimeout) return
    if (record.probedAt !== undefined) {
      observations.unreachable(record, now)
    }
    if (now < nextProbeDue(record)) return
    record.nextProbeAt = now + withJitter(ownerOf(record.id) === self ? probeInterval : 2 * probeInterval)
    probe(record, now)
  }

  const retireRecord = (record: EndpointRecord, now: number): void => {
    if (record.gone && now - record.goneAt > goneRetention && !record.configured && !record.listed) db.remove(record.id)
    if (record.unreachableSince === undefined || now - record.unreachableSince < goneTimeout) return
    if (ownerOf(record.id) !== self) return
    const unlisted = memberListReceived && !record.listed && !record.configured
    if (record.leaving || unlisted) observations.markGone(record, now)
  }

  const exchange = (now: number): void => {
    const used: EndpointRecord[] = []
    for (const record of db.records.values()) {
      if (isProbeCandidate(record, now)) probeCandidates.add(record)
      else probeCandidates.delete(record)
      if (isInUse(record, now) && !record.gone) used.push(record)
      retireRecord(record, now)
    }
    reportInterval = followInterval(used.length)
    sharing.exchange(used, now)
  }

  const isPaused = (now: number): boolean => tickedAt !== undefined && now - tickedAt > maxPause

  const isUnheardSinceWaking = ({ gone, unreachableSince, heardAt }: EndpointRecord): boolean =>
    !gone && unreachableSince === undefined && heardAt < wokeAt

  const isCurrent = (now: number): boolean => {
    if (isPaused(now)) return false
    return now - wokeAt >= verificationTime || ![...probeCandidates].some(isUnheardSinceWaking)
  }

  const tick = (now: number): void => {
    if (isPaused(now)) wokeAt = now
    tickedAt = now
    if (now < nextScheduleAt) return
    const paused = now - nextScheduleAt > exchangeInterval
    nextScheduleAt = now + scheduleInterval
    if (now >= nextExchangeAt) {
      nextExchangeAt = now + withJitter(exchangeInterval)
      exchange(now)
    }
    for (const record of probeCandidates) {
      // After a pause of this process the timeout of an outstanding probe says nothing about the endpoint.
      if (paused) record.probedAt = undefined
      probeIfDue(record, now)
    }
  }

  const applyMemberList = (members: readonly Member[], now: number): void => {
    for (const record of db.records.values()) record.listed = false
    const added: string[] = []
    for (const member of members) {
      if (member.kind === 'entry') continue
      if (observations.mergeMember(member, member.kind, now)) added.push(member.id)
    }
    memberListReceived = true
    if (added.length > maxAnnouncedMembers) return
    for (const id of added) {
      const record = db.get(id)
      if (record !== undefined) pendingAnnouncements.add(record)
    }
  }

  const applyAliveMembers = (members: readonly Member[]): void => {
    const instances = [...new Set([self, ...members.filter(({ kind }) => kind === 'entry').map(({ id }) => id)])]
    findOwner = rendezvous.ownerAmong(instances)
    peers = instances.filter(id => id !== self)
    owners.clear()
    nextExchangeAt = Number.NEGATIVE_INFINITY
  }

  const receive = (from: string, message: PeerMessage, now: number): void => {
    if (!message.kind.startsWith('endpoints.')) return
    const parsed = endpointsMessageSchema.safeParse(message)
    if (parsed.success) sharing.receive(from, parsed.data, now)
  }

  const apply = (input: EndpointsInput, now: number): void => {
    switch (input.kind) {
      case 'tick': return tick(now)
      case 'endpoint.report': return observations.report(input, now)
      case 'endpoint.unreachable': {
        const record = db.get(input.endpoint)
        return record && observations.unreachable(record, now)
      }
      case 'endpoints.evidence': return observations.evidence(input, now)
      case 'endpoints.drain': {
        const record = db.get(input.endpoint)
        return record && observations.drain(record)
      }
      case 'membership.list': return applyMemberList(input.members, now)
      case 'membership.changed': return applyAliveMembers(input.members)
      case 'membership.failed': return
      case 'peer.message': return receive(input.from, input.message, now)
      case 'peer.lost':
        sharing.forget(input.from)
        return
      default: assertNever(input)
    }
  }

  const handle = (input: EndpointsInput, now: number): readonly EndpointsEffect[] => {
    apply(input, now)
    sharing.flush()
    if (effects.length === 0) return noEffects
    const emitted = effects
    effects = []
    return emitted
  }

  const dumpOf = (record: EndpointRecord): EndpointDump => ({
    id: record.id,
    state: individualState(record),
    shown: db.view(record.id)?.state,
    incarnation: record.history.incarnation,
    generation: record.history.generation,
    owner: ownerOf(record.id),
    heardAt: record.heardAt,
    models: record.models.map(({ model, adapter, weightVersion }) => `${model}${adapter === undefined ? '' : `+${adapter}`}@${weightVersion}`)
  })

  return {
    handle,
    list: db.list,
    get: db.view,
    isCurrent,
    dump: () => ({ endpoints: [...db.records.values()].map(dumpOf), panics: db.panics() })
  }
}
