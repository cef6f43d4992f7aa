/** Everything that enters and leaves the core of a gateway. */
import type { FleetMessage } from '../fleet/fleetMessages.js'
import type { ForwardNote } from '../forwarding/forwardingTypes.js'
import type { ClaimEffect, ClaimInput } from '../ports/claimPort.js'
import type { Dependency, FeedEffect, FeedInput, FleetMember, StoreReadMode } from '../ports/feedPort.js'
import type { ForwardEffect, ForwardInput } from '../ports/forwardPort.js'
import type { OrderEffect, OrderInput } from '../ports/orderPort.js'
import type { PeerEffect, PeerInput, PeerReset, Tick } from '../ports/peerPort.js'
import type { RolloutNotice } from '../rollout/rolloutMachine.js'
import type { WorkerChange } from '../workers/workersDb.js'

/** An input from an adapter. */
export type GatewayInput =
  | ForwardInput
  | FeedInput
  | ClaimInput
  | OrderInput
  | PeerInput
  | Tick
  /** The instance is told to leave. */
  | { readonly kind: 'gateway.leave' }

/** An effect for an adapter. */
export type GatewayEffect =
  | ForwardEffect
  | FeedEffect
  | ClaimEffect
  | OrderEffect
  | PeerEffect<FleetMessage>
  | PeerReset
  /** Where the other instances are reached. */
  | { readonly kind: 'gateway.peers', readonly members: readonly FleetMember[] }
  /** Callers' limits are in force. */
  | { readonly kind: 'gateway.limits', readonly bodyBytes: number, readonly idleTimeout: number, readonly headerTimeout: number }
  /** Callers should not use their connections again. */
  | { readonly kind: 'gateway.closing' }
  /** No new connection is accepted; idle ones are closed. */
  | { readonly kind: 'gateway.closeFront' }
  | { readonly kind: 'gateway.exit' }
  | { readonly kind: 'gateway.note', readonly note: GatewayLogEvent }

/** What is logged, one line each. */
export type GatewayLogEvent =
  | ForwardNote
  | RolloutNotice
  | { readonly kind: 'configurationInForce', readonly version: number, readonly source: 'store' | 'peer', readonly proofAge: number }
  | { readonly kind: 'weightsNamed', readonly model: string, readonly version: number }
  | { readonly kind: 'workerChanged', readonly change: Exclude<WorkerChange['kind'], 'updated'>, readonly worker: string, readonly service: string, readonly address: string }
  | { readonly kind: 'peerChanged', readonly peer: string, readonly change: string }
  | { readonly kind: 'dependencyLost', readonly dependency: Dependency, readonly reason: string }
  | { readonly kind: 'dependencyRegained', readonly dependency: Dependency }
  | { readonly kind: 'partStoreRestarted' }
  | { readonly kind: 'strainChanged', readonly strained: boolean }
  | { readonly kind: 'readingChanged', readonly reading: StoreReadMode }
  | { readonly kind: 'leaving', readonly requests: number }
  | { readonly kind: 'frontClosed', readonly requests: number }
  | { readonly kind: 'garbledPeerMessage', readonly from: string }
