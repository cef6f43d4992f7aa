/** What goes into the membership feature and what comes out of it. */
import type { Hash } from '../hash.js'
import type { Member, MembershipEffect, MembershipInput } from '../ports/membershipPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import type { MembershipMessage, MemberStatus } from './membershipMessages.js'

/** What the membership needs. */
export interface MembershipOptions {
  readonly self: Member
  /** Instances of the settings; their incarnations are not known. */
  readonly seeds: readonly Member[]
  readonly random: Random
  readonly hash: Hash
  /** When this process started, in ms; it orders the incarnations of one id. */
  readonly startedAt: number
}

/** What the membership reacts to. */
export type MembershipFeatureInput = Tick | MembershipInput | PeerInput

/** What the membership asks for. */
export type MembershipFeatureEffect =
  | PeerEffect<MembershipMessage>
  | MembershipEffect
  /** The instances that may get new work changed. */
  | { readonly kind: 'membership.changed', readonly members: readonly Member[] }
  /** A later process has taken this instance's id; this one has to stop. */
  | { readonly kind: 'membership.superseded', readonly by: string }

/** The state of another instance as this one sees it. */
export type InstanceState = MemberStatus | 'leaving' | 'unknown'

/** One instance in the state dump. */
export interface MemberDump {
  readonly id: string
  readonly incarnation: string
  readonly state: InstanceState
  readonly version: number
  readonly heardAt: number
}

/** The membership. */
export interface Membership {
  readonly handle: (input: MembershipFeatureInput, now: number) => readonly MembershipFeatureEffect[]
  /** Instances that may get new work; the array is the same one until it changes. */
  readonly alive: () => readonly Member[]
  /** Instances that are not dead, leaving ones included. */
  readonly members: () => readonly Member[]
  readonly self: () => Member
  /** Announces that this instance leaves; repeating it changes nothing. */
  readonly leave: (now: number) => readonly MembershipFeatureEffect[]
  readonly stateOf: (id: string) => InstanceState
  readonly dump: () => { readonly self: Member, readonly version: number, readonly members: readonly MemberDump[] }
}
