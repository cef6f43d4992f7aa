/**
 * Which of our instances live. The platform's list lags and goes away, so
 * instances probe one another, carry changes on the probes, and take a lost
 * connection as a reason to probe at once. An instance that starts while the
 * platform is down starts from its seeds and from what its peers tell.
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
import { createPlatformList } from './platformList.js'
import { createProber } from './prober.js'
import { createRelays } from './relays.js'
import { createRumorQueue } from './rumorQueue.js'
import { createViewExchange } from './viewExchange.js'

/** Milliseconds between probes. */
const probeInterval = 1_000
/** Milliseconds between probes of the dead, by which a partition heals. */
const deadProbeInterval = 5_000
/** Milliseconds between ticks above which this process was paused. */
const pauseGap = 1_000
/** Dead instances that the list no longer names are forgotten after this time, in ms. */
const forgottenAfter = 3_600_000
/** An instance heard of within this time keeps its address against the list, in ms. */
const addressTrust = 5_000
type Exchange = Pick<Extract<MembershipMessage, { kind: 'membership.ping' }>, 'seq' | 'sum' | 'self' | 'rumors' | 'health'>

const nothing: readonly MembershipFeatureEffect[] = []

/**
 * Creates the membership of one instance.
 *
 * @param options - this instance, its seeds and its sources of chance
 */
export const createMembership = (options: MembershipOptions): Membership => {
  const { random, hash, startedAt } = options
  const identity = createIdentity({ ...options.self, kind: 'entry' }, startedAt)
  const { id: selfId } = identity.member()
  let effects: MembershipFeatureEffect[] = []
  let toldAlive: readonly Member[] | undefined
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
  const exchange = (seq: number, extra: readonly Rumor[] = [], bare = false): Exchange => {
    const taken = bare ? [] : rumors.take(db.records.size)
    const health = taken.flatMap(({ member: { id, incarnation }, version, status }) => status === 'alive' ? [] : [{ id, incarnation, version, status }])
    return { seq, sum: db.sum(), self: identity.rumor(), rumors: [...extra, ...taken.filter(({ status }) => status === 'alive')], health }
  }
  const spread = (record: MemberRecord): void => rumors.put(rumorOf(record))

  const suspect = (id: string, now: number): void => {
    const record = db.get(id)
    if (record?.status !== 'alive') return
    db.setStatus(record, 'suspect', now)
    spread(record)
    send(id, { kind: 'membership.ping', ...exchange(0, [rumorOf(record)]) })
  }

  const prober = createProber(random, {
    peers: db.peers,
    ping: (target, seq, bare) => send(target, { kind: 'membership.ping', ...exchange(seq, doubtsOf(target), bare) }),
    pingVia: (relay, target, seq) => send(relay, { kind: 'membership.pingVia', seq, target }),
    suspect: (target, now) => {
      suspect(target, now)
      prober.probeTogether(db.endangered(target), now)
    }
  })

  /** A suspect is told what is said of it, so that it can refute. */
  const doubtsOf = (id: string): readonly Rumor[] => {
    const record = db.get(id)
    return record === undefined || record.status === 'alive' ? [] : [rumorOf(record)]
  }

  const views = createViewExchange({ db, rumors, random, startedAt, send, own: identity.rumor })
  const platform = createPlatformList({ random, startedAt, emit })

  /** The own record changed. */
  const tellSelf = (): void => {
    db.setSelf(identity.member())
    rumors.put(identity.rumor())
  }

  const hearOfSelf = (rumor: Rumor, now: number): void => {
    const change = identity.hear(rumor, now)
    if (change.kind === 'raised') tellSelf()
    if (change.kind === 'superseded') emit({ kind: 'membership.superseded', by: change.by })
  }

  /** Answers whether the teller is behind. */
  const hear = (rumor: Rumor, now: number): boolean => {
    if (rumor.member.id === selfId) {
      hearOfSelf(rumor, now)
      return false
    }
    const outcome = db.merge(rumor, now)
    const record = db.get(rumor.member.id)
    if (outcome === 'news' && record !== undefined) spread(record)
    return outcome === 'outdated'
  }

  const hearSender = (rumor: Rumor, now: number): readonly Rumor[] => {
    const behind = hear(rumor, now)
    const record = db.get(rumor.member.id)
    if (record === undefined) return []
    if (record.member.incarnation === rumor.member.incarnation) record.heardAt = now
    return behind || record.status !== 'alive' ? [rumorOf(record)] : []
  }

  const hearExchange = (message: Exchange, now: number): void => {
    message.rumors.forEach(rumor => hear(rumor, now))
    for (const { id, incarnation, version, status } of message.health) {
      const member = id === selfId ? identity.member() : db.get(id)?.member
      if (member?.incarnation === incarnation) hear({ member, version, status }, now)
    }
  }

  const relay = (from: string, seq: number, target: string, now: number): void => {
    send(target, { kind: 'membership.ping', ...exchange(relays.start(from, seq, now)) })
  }

  const hearAck = (message: Extract<MembershipMessage, { kind: 'membership.ack' }>): void => {
    prober.answered(message.seq)
    const asked = relays.finish(message.seq)
    if (asked !== undefined) send(asked.from, { kind: 'membership.vouch', seq: asked.seq, target: message.self })
  }

  const receive = (from: string, message: MembershipMessage, now: number): void => {
    switch (message.kind) {
      case 'membership.ping': {
        const corrections = hearSender(message.self, now)
        hearExchange(message, now)
        send(from, { kind: 'membership.ack', ...exchange(message.seq, corrections) })
        return views.compare(from, message.sum, now)
      }
      case 'membership.ack':
        hearSender(message.self, now)
        hearExchange(message, now)
        hearAck(message)
        return views.compare(from, message.sum, now)
      case 'membership.pingVia': return relay(from, message.seq, message.target, now)
      case 'membership.vouch':
        hear(message.target, now)
        prober.answered(message.seq)
        return
      case 'membership.pull':
        hearSender(message.self, now)
        return views.tell(from, now)
      case 'membership.state':
        message.rumors.forEach(rumor => hear(rumor, now))
        return views.told(from, message.rumors)
      default: assertNever(message)
    }
  }

  const listRow = (row: Member, now: number): void => {
    const member: InstanceMember = { ...row, kind: 'entry' }
    const record = db.get(row.id) ?? db.add(member, unversioned, now)
    record.listed = true
    const { incarnation } = record.member
    if (incarnation === row.incarnation) {
      if (row.state === 'leaving' && db.setLeaving(record)) spread(record)
      return
    }
    if (record.past.includes(row.incarnation)) return
    if (incarnation === '') db.merge({ member, version: unversioned, status: record.status }, now)
    else if (record.status !== 'alive' || now - record.heardAt > addressTrust) db.setAddress(record, member)
    prober.probe(row.id, now, false)
  }

  const applyList = (rows: readonly Member[], now: number): void => {
    for (const record of db.records.values()) record.listed = false
    for (const row of rows) {
      if (row.kind === 'entry' && row.id !== selfId) listRow(row, now)
    }
    platform.listed(rows, identity.member(), now)
  }

  const expire = (now: number): void => {
    for (const [id, record] of db.records) {
      if (record.status === 'suspect' && now >= record.deadAt) {
        db.setStatus(record, 'dead', now)
        spread(record)
      }
      const forgotten = record.status === 'dead' && now - record.diedAt > forgottenAfter
      if (forgotten && !record.seed && !record.listed) db.remove(id)
    }
    relays.expire(now)
  }

  const excusePause = (gap: number, now: number): void => {
    prober.reset()
    for (const record of db.records.values()) record.deadAt += gap
    views.hurry(now)
  }

  const probeDead = (now: number): void => {
    nextDeadProbe = now + deadProbeInterval * (0.9 + 0.2 * random.unit())
    const dead = db.deadIds()
    if (dead.length > 0) prober.probe(dead[random.below(dead.length)], now, false)
  }

  const tick = (now: number): void => {
    const gap = now - (lastTick ?? now)
    lastTick = now
    if (gap > pauseGap) excusePause(gap, now)
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
      case 'peer.message': return receiveUnread(input.from, input.message, now)
      case 'peer.lost': return db.get(input.from)?.status === 'alive' ? prober.probe(input.from, now) : undefined
      default: assertNever(input)
    }
  }

  const receiveUnread = (from: string, message: PeerMessage, now: number): void => {
    if (!message.kind.startsWith('membership.')) return
    const parsed = membershipMessageSchema.safeParse(message)
    if (parsed.success) receive(from, parsed.data, now)
  }

  const flush = (): readonly MembershipFeatureEffect[] => {
    const alive = db.alive()
    if (alive !== toldAlive) {
      toldAlive = alive
      emit({ kind: 'membership.changed', members: alive })
    }
    if (effects.length === 0) return nothing
    const emitted = effects
    effects = []
    return emitted
  }

  const handle = (input: MembershipFeatureInput, now: number): readonly MembershipFeatureEffect[] => {
    apply(input, now)
    return flush()
  }

  const leave = (now: number): readonly MembershipFeatureEffect[] => {
    if (!identity.leave()) return nothing
    tellSelf()
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
