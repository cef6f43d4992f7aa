/** Inputs, effects and interface of the membership feature. */
import type { Hash } from '../hash.js'
import type { Member, MembershipEffect, MembershipInput } from '../ports/membershipPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import type { MembershipMessage, MemberStatus } from './membershipMessages.js'

/** Options of the membership of one instance. */
export interface MembershipOptions {
  /** This instance. */
  readonly self: Member
  /** Instances named in the settings; their incarnations are not known. */
  readonly seeds: readonly Member[]
  /** Source of randomness for probe order and jitter. */
  readonly random: Random
  /** Hash function of the view's checksum, equal on every instance. */
  readonly hash: Hash
  /** When this process started, in ms; it orders the incarnations of one id. */
  readonly startedAt: number
}

/** Inputs of the membership. */
export type MembershipFeatureInput = Tick | MembershipInput | PeerInput

/** Effects of the membership. */
export type MembershipFeatureEffect =
  | PeerEffect<MembershipMessage>
  | MembershipEffect
  /** The instances that may get new work changed to `members`. */
  | { readonly kind: 'membership.changed', readonly members: readonly Member[] }
  /** Another process, with the incarnation `by`, holds this instance's id; this process has to stop. */
  | { readonly kind: 'membership.superseded', readonly by: string }

/** The state of an instance in this instance's view; `unknown` if the view does not contain it. */
export type InstanceState = MemberStatus | 'leaving' | 'unknown'

/** Another instance in the state dump. */
export interface MemberDump {
  readonly id: string
  readonly incarnation: string
  readonly state: InstanceState
  readonly version: number
  /** Time of its last direct message, or of the addition of its record if there was none, in ms. */
  readonly heardAt: number
}

/** The membership of one instance: its view of which instances are alive. */
export interface Membership {
  /** Applies an input at the time `now`, in ms. */
  readonly handle: (input: MembershipFeatureInput, now: number) => readonly MembershipFeatureEffect[]
  /** Instances that may get new work; returns the same array until its content changes. */
  readonly alive: () => readonly Member[]
  /** Instances that are not dead, including leaving ones. */
  readonly members: () => readonly Member[]
  /** This instance. */
  readonly self: () => Member
  /** Marks this instance as leaving and announces it; further calls have no effect. */
  readonly leave: (now: number) => readonly MembershipFeatureEffect[]
  readonly stateOf: (id: string) => InstanceState
  readonly dump: () => { readonly self: Member, readonly version: number, readonly members: readonly MemberDump[] }
}
