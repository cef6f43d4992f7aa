/**
 * The registry of workers and plain services. It joins settings, the platform's
 * list, own probes, dispatch results and what other instances tell, and keeps a
 * list that routing reads. Of each endpoint one instance, its owner, probes for
 * all; others probe only what they use and have not heard of for a while.
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

/** What the registry needs. */
export interface EndpointsOptions {
  /** This instance's id. */
  readonly self: string
  readonly configured: readonly EndpointDescriptor[]
  readonly random: Random
  readonly hash: Hash
  /** Milliseconds between the owner's probes of an endpoint. */
  readonly probeInterval?: number
}

/** One endpoint in the state dump. */
export interface EndpointDump {
  readonly id: string
  readonly state: string
  readonly shown?: string
  readonly incarnation: string
  readonly generation: number
  readonly owner: string
  readonly heardAt: number
  readonly models: readonly string[]
}

/** The registry. */
export interface Endpoints {
  readonly handle: (input: EndpointsInput, now: number) => readonly EndpointsEffect[]
  /** All endpoints that are not gone; the array is the same one until something but a load report changes. */
  readonly list: () => readonly Endpoint[]
  readonly get: (id: string) => Endpoint | undefined
  readonly dump: () => { readonly endpoints: readonly EndpointDump[], readonly panics: readonly string[] }
}

const defaultProbeInterval = 500
/** Milliseconds between looks at the schedule. */
const stepInterval = 100
/** Milliseconds between exchanges with other instances. */
const exchangeInterval = 1_000
/** A report older than this, plus the time between reports, is replaced by an own probe, in ms. */
const staleAfter = 2_000
/** How long an endpoint counts as used after a dispatch, in ms. */
const usedTerm = 30_000
/** A probe without answer is given up after this time, in ms. */
const probeTimeout = 2_000
/** An unreachable endpoint that is leaving or unlisted is gone after this time, in ms. */
const goneAfter = 30_000
/** Gone endpoints are forgotten after this time, in ms. */
const forgottenAfter = 3_600_000
/** Up to this number of endpoints, every instance follows all. */
const smallFleet = 64
/** More new rows than this at once are left to the digests to spread. */
const announcedRows = 16
const nothing: readonly EndpointsEffect[] = []

/**
 * Creates the registry.
 *
 * @param options - who this instance is, and what the settings name
 */
export const createEndpoints = (options: EndpointsOptions): Endpoints => {
  const { self, configured: known, random, hash, probeInterval = defaultProbeInterval } = options
  const db = createEndpointsDb()
  const placement = createRendezvousHash(hash)
  const unsent = new Set<EndpointRecord>()
  const watched = new Set<EndpointRecord>()
  const owners = new Map<string, string>()
  let effects: EndpointsEffect[] = []
  let bestOwner = placement.ownerAmong([self])
  let peers: readonly string[] = []
  let listSeen = false
  let version = 0
  let reportInterval = followInterval(0)
  let nextStep = Number.NEGATIVE_INFINITY
  let nextExchange = Number.NEGATIVE_INFINITY

  const ownerOf = (id: string): string => {
    const cached = owners.get(id)
    if (cached !== undefined) return cached
    const owner = bestOwner(id) ?? self
    owners.set(id, owner)
    return owner
  }

  const watch = (record: EndpointRecord, probeAt: number): void => {
    watched.add(record)
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
    queueAnnouncement: record => unsent.add(record),
    probeSoon: watch
  }
  const observations = createObservations(context)
  const sharing = createSharing(context, observations, hash, unsent)

  for (const endpoint of known) db.add(endpoint, 0).configured = true

  const isUsed = (record: EndpointRecord, now: number): boolean =>
    db.records.size <= smallFleet || now - record.usedAt < usedTerm

  const isWatched = (record: EndpointRecord, now: number): boolean =>
    ownerOf(record.id) === self || isUsed(record, now) || record.circuit.open || record.pendingIncarnation !== undefined

  const probe = (record: EndpointRecord, now: number): void => {
    record.probedAt = now
    emit({ kind: 'endpoint.probe', endpoint: record.id, address: record.descriptor.address })
  }

  const jittered = (interval: number): number => interval * (0.9 + 0.2 * random.unit())

  /** When the next probe is due, if the last one is answered. */
  const dueAt = (record: EndpointRecord): number => {
    if (record.circuit.open) return Math.max(record.nextProbeAt, record.circuit.retryAt)
    if (ownerOf(record.id) === self || record.pendingIncarnation !== undefined) return record.nextProbeAt
    if (record.unreachableSince !== undefined) return record.nextProbeAt
    return Math.max(record.nextProbeAt, record.heardAt + staleAfter + reportInterval)
  }

  const considerProbe = (record: EndpointRecord, now: number): void => {
    if (record.probedAt !== undefined && now - record.probedAt < probeTimeout) return
    if (record.probedAt !== undefined) {
      observations.unreachable(record, now)
    }
    if (now < dueAt(record)) return
    record.nextProbeAt = now + jittered(ownerOf(record.id) === self ? probeInterval : 2 * probeInterval)
    probe(record, now)
  }

  const retire = (record: EndpointRecord, now: number): void => {
    if (record.gone && now - record.goneAt > forgottenAfter && !record.configured && !record.listed) db.remove(record.id)
    if (record.unreachableSince === undefined || now - record.unreachableSince < goneAfter) return
    if (ownerOf(record.id) !== self) return
    const unlisted = listSeen && !record.listed && !record.configured
    if (record.leaving || unlisted) observations.markGone(record, now)
  }

  const exchange = (now: number): void => {
    const used: EndpointRecord[] = []
    for (const record of db.records.values()) {
      if (isWatched(record, now)) watched.add(record)
      else watched.delete(record)
      if (isUsed(record, now) && !record.gone) used.push(record)
      retire(record, now)
    }
    reportInterval = followInterval(used.length)
    sharing.exchange(used, now)
  }

  const tick = (now: number): void => {
    if (now < nextStep) return
    const paused = now - nextStep > exchangeInterval
    nextStep = now + stepInterval
    if (now >= nextExchange) {
      nextExchange = now + jittered(exchangeInterval)
      exchange(now)
    }
    for (const record of watched) {
      if (paused) record.probedAt = undefined
      considerProbe(record, now)
    }
  }

  const applyList = (members: readonly Member[], now: number): void => {
    for (const record of db.records.values()) record.listed = false
    const added: string[] = []
    for (const member of members) {
      if (member.kind === 'entry') continue
      if (observations.mergeMember(member, member.kind, now)) added.push(member.id)
    }
    listSeen = true
    if (added.length > announcedRows) return
    for (const id of added) {
      const record = db.get(id)
      if (record !== undefined) unsent.add(record)
    }
  }

  const applyMembers = (members: readonly Member[]): void => {
    const instances = [...new Set([self, ...members.filter(({ kind }) => kind === 'entry').map(({ id }) => id)])]
    bestOwner = placement.ownerAmong(instances)
    peers = instances.filter(id => id !== self)
    owners.clear()
    nextExchange = Number.NEGATIVE_INFINITY
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
      case 'membership.list': return applyList(input.members, now)
      case 'membership.changed': return applyMembers(input.members)
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
    if (effects.length === 0) return nothing
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
    dump: () => ({ endpoints: [...db.records.values()].map(dumpOf), panics: db.panics() })
  }
}
