/**
 * This instance's own record: the version that it raises to refute suspicion,
 * and the rule by which one of two processes with the same id gives way.
 */
import { unversioned } from './membershipDb.js'
import type { InstanceMember, Rumor } from './membershipMessages.js'

/** What a rumor about this instance's id calls for. */
export type IdentityChange =
  | { readonly kind: 'none' }
  /** The own record changed and has to spread. */
  | { readonly kind: 'raised' }
  /** Another process holds the id for good. */
  | { readonly kind: 'superseded', readonly by: string }

/** This instance's own record. */
export interface Identity {
  readonly member: () => InstanceMember
  readonly rumor: () => Rumor
  readonly version: () => number
  readonly hear: (rumor: Rumor, now: number) => IdentityChange
  /** Marks this instance as leaving; false if it was already. */
  readonly leave: () => boolean
}

/** How long a process may take its id over from an earlier one that is dead, in ms. */
const takeoverTerm = 60_000
/** How long a new process waits for an earlier one to be found dead, in ms. */
const rivalTerm = 10_000

/**
 * Creates the record. The first version is the start time, so that a later
 * process of the same id outranks an earlier one.
 *
 * @param own - this instance
 * @param startedAt - when this process started, in ms
 */
export const createIdentity = (own: InstanceMember, startedAt: number): Identity => {
  let member = own
  let version = startedAt
  let rivalSince: number | undefined
  let superseded = false

  const raise = (above: number): IdentityChange => {
    version = Math.max(version, above + 1)
    return { kind: 'raised' }
  }

  const giveWay = (by: string): IdentityChange => {
    if (superseded) return { kind: 'none' }
    superseded = true
    return { kind: 'superseded', by }
  }

  const hearOfRival = (rumor: Rumor, now: number): IdentityChange => {
    const isYoung = now - startedAt < takeoverTerm
    if (rumor.status === 'dead') return isYoung ? raise(rumor.version) : { kind: 'none' }
    rivalSince ??= now
    if (isYoung && now - rivalSince < rivalTerm) return { kind: 'none' }
    return giveWay(rumor.member.incarnation)
  }

  const hear = (rumor: Rumor, now: number): IdentityChange => {
    const isOwn = rumor.member.incarnation === member.incarnation
    const isOld = rumor.version < version && !(isOwn && rumor.version === unversioned)
    if (rumor.member.incarnation === '' || isOld) return { kind: 'none' }
    if (!isOwn) return hearOfRival(rumor, now)
    return rumor.status === 'alive' ? { kind: 'none' } : raise(Math.max(version, rumor.version))
  }

  const leave = (): boolean => {
    if (member.state === 'leaving') return false
    member = { ...member, state: 'leaving' }
    raise(version)
    return true
  }

  return {
    member: () => member,
    rumor: () => ({ member, version, status: 'alive' }),
    version: () => version,
    hear,
    leave
  }
}
