/**
 * One instance's view of which instances are alive. Merging records gives the
 * same view in any order: the higher version wins, then the worse status; the
 * state `leaving` is final for an incarnation; a superseded incarnation never
 * becomes current again.
 */
import type { Hash } from '../hash.js'
import type { Member } from '../ports/membershipPort.js'
import type { InstanceMember, MemberStatus, Rumor } from './membershipMessages.js'

/** The record of another instance. Times are in ms. */
export interface MemberRecord {
  member: InstanceMember
  version: number
  status: MemberStatus
  /** Superseded incarnations, newest last. */
  readonly past: string[]
  /** When a suspect is declared dead. */
  deadAt: number
  /** When this instance last received a message from it, or when the record was added if it has not. */
  heardAt: number
  /** When it was declared dead. */
  diedAt: number
  /** Whether it is named in the settings. */
  seed: boolean
  /** Whether the latest platform list contains it. */
  listed: boolean
}

/** The outcome of a merge: the record changed, nothing changed, or the rumor is older than the record. */
export type MergeOutcome = 'changed' | 'unchanged' | 'outdated'

/** The view. Times are in ms. */
export interface MembershipDb {
  /** Records of the other instances, by id. */
  readonly records: ReadonlyMap<string, MemberRecord>
  /** Returns the record of another instance, or undefined if there is none. */
  readonly get: (id: string) => MemberRecord | undefined
  /** Adds a record with the status `alive`, unless there is one with this id; returns the present record. */
  readonly add: (member: InstanceMember, version: number, now: number) => MemberRecord
  readonly remove: (id: string) => void
  /** Merges a rumor about another instance. */
  readonly merge: (rumor: Rumor, now: number) => MergeOutcome
  readonly setStatus: (record: MemberRecord, status: MemberStatus, now: number) => void
  /** Marks the instance as leaving; returns false if it was leaving already. */
  readonly setLeaving: (record: MemberRecord) => boolean
  /** Replaces the addresses and the data centre by those of `member`. */
  readonly setAddress: (record: MemberRecord, member: InstanceMember) => void
  /** Ids of the other instances that are not dead. */
  readonly peers: () => readonly string[]
  /** Ids of the alive instances in the data centre of `id`, if `correlatedFailureThreshold` instances there are suspect or dead; otherwise none. */
  readonly possiblyFailedWith: (id: string) => readonly string[]
  /** Ids of the other instances that are dead. */
  readonly deadIds: () => readonly string[]
  /** Instances that are not dead, including this one. */
  readonly members: () => readonly Member[]
  /** Instances that may get new work, including this one unless it is leaving. */
  readonly alive: () => readonly Member[]
  /** Checksum of the instances that are not dead. Dead ones are left out because an instance that starts later never learns of them. */
  readonly sum: () => number
  /** Replaces the record of this instance. */
  readonly setSelf: (member: InstanceMember) => void
}

/**
 * Version of an instance that is known only from the settings or the platform's list. In a rumor about
 * a known incarnation it stands for the receiver's present version.
 */
export const unversioned = 0
/** Order of the statuses, the worse one higher. */
const statusRank = { alive: 0, suspect: 1, dead: 2 } as const
/** Maximum number of superseded incarnations kept per instance. */
const maxPastIncarnations = 16
/** Number of suspect or dead instances in one data centre at which the other instances there may have failed too. */
const correlatedFailureThreshold = 3
/** How long a suspect has to refute the suspicion before it is declared dead, in ms. */
export const suspicionTimeout = 3_000

/**
 * Returns the rumor that spreads a record.
 *
 * @param record - the record
 * @returns its member, version and status
 */
export const rumorOf = ({ member, version, status }: MemberRecord): Rumor => ({ member, version, status })

/** Lists derived from the records, cached until a record changes. */
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
 * @param hash - the hash function of the checksum, equal on every instance
 * @returns the view
 */
export const createMembershipDb = (own: InstanceMember, hash: Hash): MembershipDb => {
  const records = new Map<string, MemberRecord>()
  let self = own
  let views: Views | undefined
  let lastMembers: readonly Member[] | undefined
  let lastAlive: readonly Member[] | undefined
  let sum: number | undefined

  const invalidate = (): void => {
    views = undefined
    sum = undefined
  }

  /** Returns the previous array if its content has not changed, so that callers can compare by identity. */
  const reuseIfEqual = (previous: readonly Member[] | undefined, next: readonly Member[]): readonly Member[] => {
    const same = previous?.length === next.length && next.every((member, index) => member === previous[index])
    return same ? previous : next
  }

  const buildViews = (): Views => {
    const all = [...records.values()]
    const present = all.filter(({ status }) => status !== 'dead')
    const members = reuseIfEqual(lastMembers, [self, ...present.map(({ member }) => member)].sort(byId))
    const alive = reuseIfEqual(lastAlive, members.filter(({ state }) => state === 'live'))
    lastMembers = members
    lastAlive = alive
    return {
      peers: present.map(({ member }) => member.id),
      dead: all.filter(({ status }) => status === 'dead').map(({ member }) => member.id),
      members,
      alive
    }
  }

  const currentViews = (): Views => {
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
    if (status === 'suspect') record.deadAt = now + suspicionTimeout
    record.status = status
    invalidate()
  }

  const setLeaving = (record: MemberRecord): boolean => {
    if (record.member.state === 'leaving') return false
    record.member = { ...record.member, state: 'leaving' }
    invalidate()
    return true
  }

  const add = (member: InstanceMember, version: number, now: number): MemberRecord => {
    const present = records.get(member.id)
    if (present !== undefined) return present
    const record: MemberRecord = { member, version, status: 'alive', past: [], deadAt: 0, heardAt: now, diedAt: 0, seed: false, listed: false }
    records.set(member.id, record)
    invalidate()
    return record
  }

  const supersede = (record: MemberRecord, rumor: Rumor, now: number): MergeOutcome => {
    const previous = record.member.incarnation
    if (previous !== '') record.past.push(previous)
    if (record.past.length > maxPastIncarnations) record.past.shift()
    record.member = rumor.member
    record.version = rumor.version
    invalidate()
    setStatus(record, rumor.status, now)
    return 'changed'
  }

  const mergeSameIncarnation = (record: MemberRecord, rumor: Rumor, now: number): MergeOutcome => {
    const left = rumor.member.state === 'leaving' && setLeaving(record)
    const senderMissesLeaving = record.member.state === 'leaving' && rumor.member.state === 'live'
    const version = rumor.version === unversioned ? record.version : rumor.version
    if (version < record.version) return left ? 'changed' : 'outdated'
    if (record.version === unversioned && rumor.status === 'alive') {
      record.version = version
      return left ? 'changed' : 'unchanged'
    }
    const worse = statusRank[rumor.status] > statusRank[record.status]
    if (version > record.version || worse) {
      record.version = version
      setStatus(record, rumor.status, now)
      return 'changed'
    }
    if (left) return 'changed'
    return senderMissesLeaving || statusRank[rumor.status] < statusRank[record.status] ? 'outdated' : 'unchanged'
  }

  const merge = (rumor: Rumor, now: number): MergeOutcome => {
    const { member, version } = rumor
    const record = records.get(member.id)
    if (record === undefined) {
      if (rumor.status === 'dead') return 'unchanged'
      setStatus(add(member, version, now), rumor.status, now)
      return 'changed'
    }
    if (record.member.incarnation === member.incarnation) return mergeSameIncarnation(record, rumor, now)
    if (member.incarnation === '') return 'unchanged'
    if (record.past.includes(member.incarnation)) return 'outdated'
    const newer = version > record.version || (version === record.version && member.incarnation > record.member.incarnation)
    if (record.member.incarnation === '' || newer) return supersede(record, rumor, now)
    return 'outdated'
  }

  const possiblyFailedWith = (id: string): readonly string[] => {
    const dataCentre = records.get(id)?.member.dataCentre
    const inDataCentre = [...records.values()].filter(({ member }) => member.dataCentre === dataCentre)
    const alive = inDataCentre.filter(({ status }) => status === 'alive')
    return inDataCentre.length - alive.length < correlatedFailureThreshold ? [] : alive.map(({ member }) => member.id)
  }

  return {
    records,
    get: id => records.get(id),
    add,
    remove: id => {
      records.delete(id)
      invalidate()
    },
    merge,
    setStatus,
    setLeaving,
    setAddress: (record, { address, peer, dataCentre }) => {
      record.member = { ...record.member, address, peer, dataCentre }
      invalidate()
    },
    peers: () => currentViews().peers,
    possiblyFailedWith,
    deadIds: () => currentViews().dead,
    members: () => currentViews().members,
    alive: () => currentViews().alive,
    sum: () => {
      sum ??= buildSum()
      return sum
    },
    setSelf: member => {
      self = member
      invalidate()
    }
  }
}
