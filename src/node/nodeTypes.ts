/** Inputs and effects of the node, the core of one instance. */
import type { DrainEffect } from '../addresses/drain.js'
import type { CallerEffect, CallerInput } from '../ports/callerPort.js'
import type { EndpointEffect, EndpointInput } from '../ports/endpointPort.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { MembershipEffect, MembershipInput, Member } from '../ports/membershipPort.js'
import type { OperatorEffect, OperatorInput } from '../ports/operatorPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'

/** An input that an adapter passes to the node. */
export type NodeInput =
  | CallerInput
  | EndpointInput
  | LogInput
  | MembershipInput
  | OperatorInput
  | PeerInput
  | Tick
  /** A termination signal: this instance drains and leaves the membership. */
  | { readonly kind: 'drain.start' }

/** An effect that an adapter carries out for the node. */
export type NodeEffect =
  | CallerEffect
  | EndpointEffect
  | LogEffect
  | MembershipEffect
  | OperatorEffect
  | PeerEffect
  | DrainEffect
  /** The members with the addresses at which other instances are reached. */
  | { readonly kind: 'node.peers', readonly members: readonly Member[] }
  /** An unexpected error; the feature that failed does nothing further with the input. */
  | { readonly kind: 'node.error', readonly place: string, readonly error: unknown }
  /** A change of state that is logged. */
  | { readonly kind: 'node.changed', readonly change: StateChange }

/** A change of state that is logged. */
export type StateChange =
  | { readonly kind: 'configInForce', readonly version: number, readonly publisher: string }
  | { readonly kind: 'endpointChanged', readonly endpoint: string, readonly reason: string }
  | { readonly kind: 'membersChanged', readonly alive: number }
  | { readonly kind: 'drainStarted' }
  | { readonly kind: 'superseded', readonly by: string }
