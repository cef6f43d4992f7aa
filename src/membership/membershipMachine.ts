/**
 * Tracks which instances are alive. The platform's list lags and may be
 * unavailable, so instances probe one another, piggyback changes on the probe
 * messages, and probe immediately when a connection is lost. An instance that
 * starts while the platform is down joins through its seeds and gets the view
 * from its peers.
 */
import { assertNever } from '../errors.js'
import type { Member } from '../ports/membershipPort.js'
import type { PeerMessage } from '../ports/peerPort.js'
import { createIdentity } from './identity.js'
import { createMembershipDb, rumorOf, unversioned } from './membershipDb.js'
import type { MemberRecord } from './membershipDb.js'
import { membershipMessageSchema } from './membershipMessages.js'
import type { InstanceMember, MembershipMessage, Rumor } from './membershipMessages.js'
import type { InstanceState, Membership, MembershipFeatureEffect, MembershipFeatureInput, MembershipOptions } from './membershipTypes.js'
import { createPlatformListSchedule } from './platformListSchedule.js'
import { createProber } from './prober.js'
import { createRelays } from './relays.js'
import { createRumorQueue } from './rumorQueue.js'
import { createViewExchange } from './viewExchange.js'

/** Interval between probes, in ms. */
const probeInterval = 1_000
/** Interval between probes of dead instances, in ms; these probes let the views converge again after a network partition. */
const deadProbeInterval = 5_000
/** Gap between ticks above which this process is taken to have been paused, in ms. */
const pauseThreshold = 1_000
/** Time after which the record of a dead instance is removed if the platform's list no longer contains it, in ms. */
const deadRecordRetention = 3_600_000
/** Time after the last message of an alive instance during which the platform's list does not override its address, in ms. */
const directContactValidity = 5_000

type Exchange = Pick<Extract<MembershipMessage, { kind: 'membership.ping' }>, 'seq' | 'sum' | 'self' | 'rumors' | 'health'>

const noEffects: readonly MembershipFeatureEffect[] = []

/**
 * Creates the membership of one instance.
 *
 * @param options - this instance, its seeds, its source of randomness and its start time
 * @returns the membership; its view holds this instance and the seeds
 */
export const createMembership = (options: MembershipOptions): Membership => {
  const { random, hash, startedAt } = options
  const identity = createIdentity({ ...options.self, kind: 'entry' }, startedAt)
  const { id: selfId } = identity.member()
  let effects: MembershipFeatureEffect[] = []
  let reportedAlive: readonly Member[] | undefined
  let lastTick: number | undefined
  let nextProbe = startedAt + random.unit() * probeInterval
  let nextDeadProbe = startedAt + random.unit() * deadProbeInterval

  const db = createMembershipDb(identity.member(), hash)
  const rumors = createRumorQueue()
  const relays = createRelays()

  for (const seed of options.seeds) {
    if (seed.id !== selfId) db.add({ ...seed, kind: 'entry', incarnation: '' }, unversioned, startedAt).seed = true
  }

  const emit = (effect: MembershipFeatureEffect): void => {
    effects.push(effect)
  }
  const send = (to: string, message: MembershipMessage): void => emit({ kind: 'peer.send', to, message })
  const exchange = (seq: number, extraRumors: readonly Rumor[] = [], withoutQueue = false): Exchange => {
    const taken = withoutQueue ? [] : rumors.take(db.records.size)
    const health = taken.flatMap(({ member: { id, incarnation }, version, status }) => status === 'alive' ? [] : [{ id, incarnation, version, status }])
    return { seq, sum: db.sum(), self: identity.rumor(), rumors: [...extraRumors, ...taken.filter(({ status }) => status === 'alive')], health }
  }
  const queueRumor = (record: MemberRecord): void => rumors.put(rumorOf(record))

  const suspect = (id: string, now: number): void => {
    const record = db.get(id)
    if (record?.status !== 'alive') return
    db.setStatus(record, 'suspect', now)
    queueRumor(record)
    send(id, { kind: 'membership.ping', ...exchange(0, [rumorOf(record)]) })
  }

  const prober = createProber(random, {
    peers: db.peers,
    ping: (target, seq, withoutQueue) => send(target, { kind: 'membership.ping', ...exchange(seq, suspicionsOf(target), withoutQueue) }),
    pingVia: (relay, target, seq) => send(relay, { kind: 'membership.pingVia', seq, target }),
    suspect: (target, now) => {
      suspect(target, now)
      prober.probeGroup(db.possiblyFailedWith(target), now)
    }
  })

  /** The rumor that a suspect or dead instance must receive to be able to refute it. */
  const suspicionsOf = (id: string): readonly Rumor[] => {
    const record = db.get(id)
    return record === undefined || record.status === 'alive' ? [] : [rumorOf(record)]
  }

  const views = createViewExchange({ db, rumors, random, startedAt, send, ownRumor: identity.rumor })
  const platform = createPlatformListSchedule({ random, startedAt, emit })

  /** Takes the changed record of this instance into the view and gossips it. */
  const publishSelf = (): void => {
    db.setSelf(identity.member())
    rumors.put(identity.rumor())
  }

  const applySelfRumor = (rumor: Rumor, now: number): void => {
    const change = identity.handleRumor(rumor, now)
    if (change.kind === 'raised') publishSelf()
    if (change.kind === 'superseded') emit({ kind: 'membership.superseded', by: change.by })
  }

  /** Merges a rumor; returns whether it is older than the view, so that its sender needs a correction. */
  const applyRumor = (rumor: Rumor, now: number): boolean => {
    if (rumor.member.id === selfId) {
      applySelfRumor(rumor, now)
      return false
    }
    const outcome = db.merge(rumor, now)
    const record = db.get(rumor.member.id)
    if (outcome === 'changed' && record !== undefined) queueRumor(record)
    return outcome === 'outdated'
  }

  /** Merges the sender's own record; if that is outdated or the sender is not alive in this view, returns this view's record, which the sender can refute. */
  const applySenderRumor = (rumor: Rumor, now: number): readonly Rumor[] => {
    const outdated = applyRumor(rumor, now)
    const record = db.get(rumor.member.id)
    if (record === undefined) return []
    if (record.member.incarnation === rumor.member.incarnation) record.heardAt = now
    return outdated || record.status !== 'alive' ? [rumorOf(record)] : []
  }

  const applyExchange = (message: Exchange, now: number): void => {
    message.rumors.forEach(rumor => applyRumor(rumor, now))
    for (const { id, incarnation, version, status } of message.health) {
      const member = id === selfId ? identity.member() : db.get(id)?.member
      if (member?.incarnation === incarnation) applyRumor({ member, version, status }, now)
    }
  }

  const relayProbe = (from: string, seq: number, target: string, now: number): void => {
    send(target, { kind: 'membership.ping', ...exchange(relays.start(from, seq, now)) })
  }

  const handleAck = (message: Extract<MembershipMessage, { kind: 'membership.ack' }>): void => {
    prober.answered(message.seq)
    const relayed = relays.finish(message.seq)
    if (relayed !== undefined) send(relayed.from, { kind: 'membership.vouch', seq: relayed.seq, target: message.self })
  }

  const receive = (from: string, message: MembershipMessage, now: number): void => {
    switch (message.kind) {
      case 'membership.ping': {
        const corrections = applySenderRumor(message.self, now)
        applyExchange(message, now)
        send(from, { kind: 'membership.ack', ...exchange(message.seq, corrections) })
        return views.compare(from, message.sum, now)
      }
      case 'membership.ack':
        applySenderRumor(message.self, now)
        applyExchange(message, now)
        handleAck(message)
        return views.compare(from, message.sum, now)
      case 'membership.pingVia': return relayProbe(from, message.seq, message.target, now)
      case 'membership.vouch':
        applyRumor(message.target, now)
        prober.answered(message.seq)
        return
      case 'membership.pull':
        applySenderRumor(message.self, now)
        return views.sendView(from, now)
      case 'membership.state':
        message.rumors.forEach(rumor => applyRumor(rumor, now))
        return views.handleView(from, message.rumors)
      default: assertNever(message)
    }
  }

  const applyListRow = (row: Member, now: number): void => {
    const member: InstanceMember = { ...row, kind: 'entry' }
    const record = db.get(row.id) ?? db.add(member, unversioned, now)
    record.listed = true
    const { incarnation } = record.member
    if (incarnation === row.incarnation) {
      if (row.state === 'leaving' && db.setLeaving(record)) queueRumor(record)
      return
    }
    if (record.past.includes(row.incarnation)) return
    if (incarnation === '') db.merge({ member, version: unversioned, status: record.status }, now)
    else if (record.status !== 'alive' || now - record.heardAt > directContactValidity) db.setAddress(record, member)
    prober.probe(row.id, now, false)
  }

  const applyList = (rows: readonly Member[], now: number): void => {
    for (const record of db.records.values()) record.listed = false
    for (const row of rows) {
      if (row.kind === 'entry' && row.id !== selfId) applyListRow(row, now)
    }
    platform.listed(rows, identity.member(), now)
  }

  const expire = (now: number): void => {
    for (const [id, record] of db.records) {
      if (record.status === 'suspect' && now >= record.deadAt) {
        db.setStatus(record, 'dead', now)
        queueRumor(record)
      }
      const isExpired = record.status === 'dead' && now - record.diedAt > deadRecordRetention
      if (isExpired && !record.seed && !record.listed) db.remove(id)
    }
    relays.expire(now)
  }

  /** Drops outstanding probes after a pause of `gap` ms and extends suspicions by it, so that a paused instance suspects nobody and declares nobody dead. */
  const compensatePause = (gap: number, now: number): void => {
    prober.reset()
    for (const record of db.records.values()) record.deadAt += gap
    views.allowPullNow(now)
  }

  const probeDead = (now: number): void => {
    nextDeadProbe = now + deadProbeInterval * (0.9 + 0.2 * random.unit())
    const dead = db.deadIds()
    if (dead.length > 0) prober.probe(dead[random.below(dead.length)], now, false)
  }

  const tick = (now: number): void => {
    const gap = now - (lastTick ?? now)
    lastTick = now
    if (gap > pauseThreshold) compensatePause(gap, now)
    prober.check(now)
    views.join(now)
    if (now >= nextDeadProbe) probeDead(now)
    platform.tick(identity.member(), now)
    if (now < nextProbe) return
    nextProbe = now + probeInterval * (0.9 + 0.2 * random.unit())
    expire(now)
    prober.next(now)
  }

  const apply = (input: MembershipFeatureInput, now: number): void => {
    switch (input.kind) {
      case 'tick': return tick(now)
      case 'membership.list': return applyList(input.members, now)
      case 'membership.failed': return platform.failed(now)
      case 'peer.message': return parseAndReceive(input.from, input.message, now)
      case 'peer.lost': return db.get(input.from)?.status === 'alive' ? prober.probe(input.from, now) : undefined
      default: assertNever(input)
    }
  }

  const parseAndReceive = (from: string, message: PeerMessage, now: number): void => {
    if (!message.kind.startsWith('membership.')) return
    const parsed = membershipMessageSchema.safeParse(message)
    if (parsed.success) receive(from, parsed.data, now)
  }

  const flush = (): readonly MembershipFeatureEffect[] => {
    const alive = db.alive()
    if (alive !== reportedAlive) {
      reportedAlive = alive
      emit({ kind: 'membership.changed', members: alive })
    }
    if (effects.length === 0) return noEffects
    const emitted = effects
    effects = []
    return emitted
  }

  const handle = (input: MembershipFeatureInput, now: number): readonly MembershipFeatureEffect[] => {
    apply(input, now)
    return flush()
  }

  const leave = (now: number): readonly MembershipFeatureEffect[] => {
    if (!identity.leave()) return noEffects
    publishSelf()
    db.peers().forEach(peer => send(peer, { kind: 'membership.state', rumors: [identity.rumor()] }))
    platform.announce(identity.member(), now)
    return flush()
  }

  const stateOf = (id: string): InstanceState => {
    if (id === selfId) return identity.member().state === 'leaving' ? 'leaving' : 'alive'
    const record = db.get(id)
    if (record === undefined) return 'unknown'
    return record.status !== 'dead' && record.member.state === 'leaving' ? 'leaving' : record.status
  }

  return {
    handle,
    alive: db.alive,
    members: db.members,
    self: identity.member,
    leave,
    stateOf,
    dump: () => ({
      self: identity.member(),
      version: identity.version(),
      members: [...db.records.values()].map(({ member: { id, incarnation }, version, heardAt }) => ({ id, incarnation, state: stateOf(id), version, heardAt }))
    })
  }
}
