/**
 * This instance's own record: the version that it increases to refute a
 * suspicion, and the rule that decides which of two processes with the same id
 * has to stop.
 */
import { unversioned } from './membershipDb.js'
import type { InstanceMember, Rumor } from './membershipMessages.js'

/** The change that a rumor about this instance's id requires. */
export type IdentityChange =
  | { readonly kind: 'none' }
  /** The version of the own record was increased; the record has to be gossiped. */
  | { readonly kind: 'raised' }
  /** The process with the incarnation `by` keeps the id; this process has to stop. Returned once. */
  | { readonly kind: 'superseded', readonly by: string }

/** This instance's own record. */
export interface Identity {
  readonly member: () => InstanceMember
  readonly rumor: () => Rumor
  readonly version: () => number
  /** Handles a rumor about this instance's id; `now` is in ms. */
  readonly handleRumor: (rumor: Rumor, now: number) => IdentityChange
  /** Marks this instance as leaving; returns false if it was leaving already. */
  readonly leave: () => boolean
}

/** Time after its start within which a process may take its id over from an earlier, dead process, in ms. */
const takeoverPeriod = 60_000
/** How long a new process waits for an earlier process of its id to be declared dead, in ms. */
const earlierProcessTimeout = 10_000

/**
 * Creates the record. Its first version is the start time, so that a later
 * process of the same id supersedes an earlier one.
 *
 * @param own - this instance
 * @param startedAt - when this process started, in ms
 * @returns the record
 */
export const createIdentity = (own: InstanceMember, startedAt: number): Identity => {
  let member = own
  let version = startedAt
  let otherProcessSince: number | undefined
  let superseded = false

  const increaseVersion = (above: number): IdentityChange => {
    version = Math.max(version, above + 1)
    return { kind: 'raised' }
  }

  const supersedeBy = (by: string): IdentityChange => {
    if (superseded) return { kind: 'none' }
    superseded = true
    return { kind: 'superseded', by }
  }

  const handleOtherProcess = (rumor: Rumor, now: number): IdentityChange => {
    const mayTakeOver = now - startedAt < takeoverPeriod
    if (rumor.status === 'dead') return mayTakeOver ? increaseVersion(rumor.version) : { kind: 'none' }
    otherProcessSince ??= now
    if (mayTakeOver && now - otherProcessSince < earlierProcessTimeout) return { kind: 'none' }
    return supersedeBy(rumor.member.incarnation)
  }

  const handleRumor = (rumor: Rumor, now: number): IdentityChange => {
    const isOwn = rumor.member.incarnation === member.incarnation
    const isOld = rumor.version < version && !(isOwn && rumor.version === unversioned)
    if (rumor.member.incarnation === '' || isOld) return { kind: 'none' }
    if (!isOwn) return handleOtherProcess(rumor, now)
    return rumor.status === 'alive' ? { kind: 'none' } : increaseVersion(Math.max(version, rumor.version))
  }

  const leave = (): boolean => {
    if (member.state === 'leaving') return false
    member = { ...member, state: 'leaving' }
    increaseVersion(version)
    return true
  }

  return {
    member: () => member,
    rumor: () => ({ member, version, status: 'alive' }),
    version: () => version,
    handleRumor,
    leave
  }
}
