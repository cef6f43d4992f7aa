/**
 * The view of which instances live. Views merge in any order to the same
 * result: a higher version wins, then the worse status; leaving never ends
 * within an incarnation; a superseded incarnation never returns.
 */
import type { Hash } from '../hash.js'
import type { Member } from '../ports/membershipPort.js'
import type { InstanceMember, MemberStatus, Rumor } from './membershipMessages.js'

/** What is known of another instance. */
export interface MemberRecord {
  member: InstanceMember
  version: number
  status: MemberStatus
  /** Incarnations that ended, newest last. */
  readonly past: string[]
  /** When a suspect counts as dead, in ms. */
  deadAt: number
  /** When it last answered this instance, in ms. */
  heardAt: number
  /** When it was found dead, in ms. */
  diedAt: number
  seed: boolean
  listed: boolean
}

/** The outcome of a merge. */
export type Merge = 'news' | 'known' | 'outdated'

/** The view. */
export interface MembershipDb {
  readonly records: ReadonlyMap<string, MemberRecord>
  readonly get: (id: string) => MemberRecord | undefined
  readonly add: (member: InstanceMember, version: number, now: number) => MemberRecord
  readonly remove: (id: string) => void
  readonly merge: (rumor: Rumor, now: number) => Merge
  readonly setStatus: (record: MemberRecord, status: MemberStatus, now: number) => void
  readonly setLeaving: (record: MemberRecord) => boolean
  readonly setAddress: (record: MemberRecord, member: InstanceMember) => void
  /** Ids of instances that are not dead, without this one. */
  readonly peers: () => readonly string[]
  /** The living of an instance's data centre, if several do not answer there. */
  readonly endangered: (id: string) => readonly string[]
  readonly deadIds: () => readonly string[]
  /** Instances that are not dead, with this one. */
  readonly members: () => readonly Member[]
  /** Instances that may get new work, with this one. */
  readonly alive: () => readonly Member[]
  /** Checksum of the instances that are not dead; a newcomer never hears of the dead. */
  readonly sum: () => number
  readonly setSelf: (member: InstanceMember) => void
}

/** The version of an instance that is known from settings or the list only; told, it means the present one. */
export const unversioned = 0
const statusRank = { alive: 0, suspect: 1, dead: 2 } as const
const rememberedPast = 16
/** Instances of one data centre that do not answer, from which on the others may have failed with them. */
const correlated = 3
/** How long a suspect may take to refute, in ms. */
export const suspicionTerm = 3_000

/** What this instance tells others of a record. */
export const rumorOf = ({ member, version, status }: MemberRecord): Rumor => ({ member, version, status })

interface Views {
  readonly peers: readonly string[]
  readonly dead: readonly string[]
  readonly members: readonly Member[]
  readonly alive: readonly Member[]
}

const byId = (left: Member, right: Member): number => (left.id < right.id ? -1 : 1)

/**
 * Creates a view that holds only this instance.
 *
 * @param own - this instance
 * @param hash - equal on every instance
 */
export const createMembershipDb = (own: InstanceMember, hash: Hash): MembershipDb => {
  const records = new Map<string, MemberRecord>()
  let self = own
  let views: Views | undefined
  let lastMembers: readonly Member[] | undefined
  let lastAlive: readonly Member[] | undefined
  let sum: number | undefined

  const outdate = (): void => {
    views = undefined
    sum = undefined
  }

  /** Keeps the former array where nothing in it changed. */
  const stable = (before: readonly Member[] | undefined, after: readonly Member[]): readonly Member[] => {
    const same = before?.length === after.length && after.every((member, index) => member === before[index])
    return same ? before : after
  }

  const buildViews = (): Views => {
    const all = [...records.values()]
    const present = all.filter(({ status }) => status !== 'dead')
    const members = stable(lastMembers, [self, ...present.map(({ member }) => member)].sort(byId))
    const alive = stable(lastAlive, members.filter(({ state }) => state === 'live'))
    lastMembers = members
    lastAlive = alive
    return {
      peers: present.map(({ member }) => member.id),
      dead: all.filter(({ status }) => status === 'dead').map(({ member }) => member.id),
      members,
      alive
    }
  }

  const current = (): Views => {
    views ??= buildViews()
    return views
  }

  const checksum = (member: InstanceMember): number =>
    hash.h32(`${member.id}\u0000${member.incarnation}\u0000${member.state}`)

  const buildSum = (): number => {
    let total = checksum(self)
    for (const { member, status } of records.values()) {
      if (status !== 'dead') total ^= checksum(member)
    }
    return total >>> 0
  }

  const setStatus = (record: MemberRecord, status: MemberStatus, now: number): void => {
    if (record.status === status) return
    if (status === 'dead') record.diedAt = now
    if (status === 'suspect') record.deadAt = now + suspicionTerm
    record.status = status
    outdate()
  }

  const setLeaving = (record: MemberRecord): boolean => {
    if (record.member.state === 'leaving') return false
    record.member = { ...record.member, state: 'leaving' }
    outdate()
    return true
  }

  const add = (member: InstanceMember, version: number, now: number): MemberRecord => {
    const present = records.get(member.id)
    if (present !== undefined) return present
    const record: MemberRecord = { member, version, status: 'alive', past: [], deadAt: 0, heardAt: now, diedAt: 0, seed: false, listed: false }
    records.set(member.id, record)
    outdate()
    return record
  }

  const supersede = (record: MemberRecord, rumor: Rumor, now: number): Merge => {
    const before = record.member.incarnation
    if (before !== '') record.past.push(before)
    if (record.past.length > rememberedPast) record.past.shift()
    record.member = rumor.member
    record.version = rumor.version
    outdate()
    setStatus(record, rumor.status, now)
    return 'news'
  }

  const mergeSame = (record: MemberRecord, rumor: Rumor, now: number): Merge => {
    const left = rumor.member.state === 'leaving' && setLeaving(record)
    const ahead = record.member.state === 'leaving' && rumor.member.state === 'live'
    const version = rumor.version === unversioned ? record.version : rumor.version
    if (version < record.version) return left ? 'news' : 'outdated'
    if (record.version === unversioned && rumor.status === 'alive') {
      record.version = version
      return left ? 'news' : 'known'
    }
    const worse = statusRank[rumor.status] > statusRank[record.status]
    if (version > record.version || worse) {
      record.version = version
      setStatus(record, rumor.status, now)
      return 'news'
    }
    if (left) return 'news'
    return ahead || statusRank[rumor.status] < statusRank[record.status] ? 'outdated' : 'known'
  }

  const merge = (rumor: Rumor, now: number): Merge => {
    const { member, version } = rumor
    const record = records.get(member.id)
    if (record === undefined) {
      if (rumor.status === 'dead') return 'known'
      setStatus(add(member, version, now), rumor.status, now)
      return 'news'
    }
    if (record.member.incarnation === member.incarnation) return mergeSame(record, rumor, now)
    if (member.incarnation === '') return 'known'
    if (record.past.includes(member.incarnation)) return 'outdated'
    const newer = version > record.version || (version === record.version && member.incarnation > record.member.incarnation)
    if (record.member.incarnation === '' || newer) return supersede(record, rumor, now)
    return 'outdated'
  }

  const endangered = (id: string): readonly string[] => {
    const dataCentre = records.get(id)?.member.dataCentre
    const neighbours = [...records.values()].filter(({ member }) => member.dataCentre === dataCentre)
    const living = neighbours.filter(({ status }) => status === 'alive')
    return neighbours.length - living.length < correlated ? [] : living.map(({ member }) => member.id)
  }

  return {
    records,
    get: id => records.get(id),
    add,
    remove: id => {
      records.delete(id)
      outdate()
    },
    merge,
    setStatus,
    setLeaving,
    setAddress: (record, { address, peer, dataCentre }) => {
      record.member = { ...record.member, address, peer, dataCentre }
      outdate()
    },
    peers: () => current().peers,
    endangered,
    deadIds: () => current().dead,
    members: () => current().members,
    alive: () => current().alive,
    sum: () => {
      sum ??= buildSum()
      return sum
    },
    setSelf: member => {
      self = member
      outdate()
    }
  }
}
