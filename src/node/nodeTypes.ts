/** Everything that enters and leaves the node, the core of one instance. */
import type { DrainEffect } from '../addresses/drain.js'
import type { CallerEffect, CallerInput } from '../ports/callerPort.js'
import type { EndpointEffect, EndpointInput } from '../ports/endpointPort.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { MembershipEffect, MembershipInput, Member } from '../ports/membershipPort.js'
import type { OperatorEffect, OperatorInput } from '../ports/operatorPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'

/** An input from an adapter. */
export type NodeInput =
  | CallerInput
  | EndpointInput
  | LogInput
  | MembershipInput
  | OperatorInput
  | PeerInput
  | Tick
  /** A signal asks this instance to leave. */
  | { readonly kind: 'drain.start' }

/** An effect for an adapter. */
export type NodeEffect =
  | CallerEffect
  | EndpointEffect
  | LogEffect
  | MembershipEffect
  | OperatorEffect
  | PeerEffect
  | DrainEffect
  /** Where the other instances are reached. */
  | { readonly kind: 'node.peers', readonly members: readonly Member[] }
  /** A change of state worth a log line. */
  | { readonly kind: 'node.changed', readonly change: StateChange }

/** Changes of state that are logged. */
export type StateChange =
  | { readonly kind: 'configInForce', readonly version: number, readonly publisher: string }
  | { readonly kind: 'endpointChanged', readonly endpoint: string, readonly reason: string }
  | { readonly kind: 'membersChanged', readonly alive: number }
  | { readonly kind: 'drainStarted' }
  | { readonly kind: 'superseded', readonly by: string }
