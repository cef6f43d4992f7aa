/** Inputs, effects and log events of the core of a gateway. */
import type { CoordinatorLogEvent } from '../coordination/coordinatorTrust.js'
import type { FleetMessage } from '../fleet/fleetMessages.js'
import type { ForwardLogEvent } from '../forwarding/forwardingTypes.js'
import type { ClaimEffect, ClaimInput } from '../ports/claimPort.js'
import type { Dependency, FeedEffect, FeedInput, FleetMember, StoreReadMode, StreamStoreEffect, StreamStoreInput } from '../ports/feedPort.js'
import type { CallStage, ConnectionEnd, ForwardEffect, ForwardInput } from '../ports/forwardPort.js'
import type { OrderEffect, OrderInput } from '../ports/orderPort.js'
import type { PeerEffect, PeerInput, PeerReset, Tick } from '../ports/peerPort.js'
import type { PoisonLogEvent } from '../poisonRequests/poisonLog.js'
import type { QuotaLogEvent } from '../quotas/quotaLog.js'
import type { ReachLogEvent } from '../workerReach/workerReachTypes.js'
import type { StreamLogEvent } from '../streamOrigins/streamOriginsTypes.js'
import type { LeaseEvent } from '../rollout/leaseEvents.js'
import type { RolloutEvent } from '../rollout/rolloutMachine.js'
import type { WorkerChange } from '../workers/workersDb.js'

/** An input from an adapter to the core. */
export type GatewayInput =
  | ForwardInput
  | FeedInput
  | StreamStoreInput
  | ClaimInput
  | OrderInput
  | PeerInput
  | Tick
  /** The instance has been asked to shut down; `signalledAt` is when the process received the signal, on the steady clock, in ms. */
  | { readonly kind: 'gateway.leave', readonly signalledAt?: number }

/** An effect that the core requests from an adapter. */
export type GatewayEffect =
  | ForwardEffect
  | FeedEffect
  | StreamStoreEffect
  | ClaimEffect
  | OrderEffect
  | PeerEffect<FleetMessage>
  | PeerReset
  /** Sets the other instances to which messages may be sent. */
  | { readonly kind: 'gateway.peers', readonly members: readonly FleetMember[] }
  /** Applies new limits for callers; sizes in bytes, timeouts in ms. */
  | { readonly kind: 'gateway.limits', readonly bodyBytes: number, readonly idleTimeout: number, readonly headerTimeout: number }
  /** Asks callers not to reuse their connections. */
  | { readonly kind: 'gateway.closing' }
  /** Stops accepting connections from callers, and closes idle ones. */
  | { readonly kind: 'gateway.closeFront' }
  /** Ends the process once no request of a caller is being read or answered, at the latest after `within` ms. */
  | { readonly kind: 'gateway.exit', readonly within: number }
  /** Counts an unexpected error and logs it with a bound; the input that caused it has no further effect. */
  | { readonly kind: 'gateway.error', readonly place: string, readonly error: unknown }
  /** Writes a log event and counts it for the metrics. */
  | { readonly kind: 'gateway.note', readonly note: GatewayLogEvent }

/** A log event; each is written as one line. */
export type GatewayLogEvent =
  | ForwardLogEvent
  | RolloutEvent
  | LeaseEvent
  /** The connection of a request ended while the request was not in the core: before it was delivered, or after its response was complete. */
  | { readonly kind: 'cutOff', readonly id: string, readonly stage: CallStage, readonly reason: ConnectionEnd }
  | PoisonLogEvent
  | ReachLogEvent
  | QuotaLogEvent
  | StreamLogEvent
  | CoordinatorLogEvent
  | { readonly kind: 'configurationInForce', readonly version: number, readonly source: 'store' | 'peer', readonly proofAge: number, /** Number of workspaces that share no cached prompt parts. */ readonly isolated: number }
  | { readonly kind: 'weightsNamed', readonly model: string, readonly version: number }
  | { readonly kind: 'workerChanged', readonly change: Exclude<WorkerChange['kind'], 'updated'>, readonly worker: string, readonly service: string, readonly address: string, readonly startedAt: number }
  | { readonly kind: 'peerChanged', readonly peer: string, readonly change: string }
  | { readonly kind: 'storeRestored', readonly era: number }
  | { readonly kind: 'dependencyLost', readonly dependency: Dependency, readonly reason: string }
  | { readonly kind: 'dependencyRegained', readonly dependency: Dependency }
  | { readonly kind: 'partStoreRestarted' }
  | { readonly kind: 'strainChanged', readonly strained: boolean }
  | { readonly kind: 'readingChanged', readonly reading: StoreReadMode }
  /** The shutdown began; the signal may have come up to `heldUp` ms earlier, while the event loop was busy. */
  | { readonly kind: 'leaving', readonly requests: number, readonly heldUp: number, readonly grace: number }
  | { readonly kind: 'frontClosed', readonly requests: number }
  | { readonly kind: 'garbledPeerMessage', readonly from: string }

/** Figures of the core's present state, for the metrics. */
export interface GatewayGauges {
  /** Requests in progress. */
  readonly requests: number
  /** Requests in the admission queue. */
  readonly waiting: number
  /** Time since the configuration was last confirmed, in ms; exported as -1 where it is not finite. */
  readonly proofAge: number
  /** Configuration version in force. */
  readonly configuration: number
  /** Known instances. */
  readonly instances: number
  /** Known workers. */
  readonly workers: number
  /** Workers that state a limit. */
  readonly limitedWorkers: number
  /** Parts of prompts that are kept away from workers. */
  readonly blockedParts: number
  /** Whole requests that are kept away from workers. */
  readonly blockedRequests: number
  /** Services whose workers are out of this instance's reach although others reach them. */
  readonly cutOffServices: number
  /** Requests in flight that this instance counts as the coordinator of their workers. */
  readonly coordinatedRequests: number
  /** Coordinators that this instance does not ask, as they did not answer. */
  readonly avoidedCoordinators: number
  /** Runs without a connection whose places this instance counts as taken, as a coordinator. */
  readonly abandonedRuns: number
  /** Workspaces with requests that were lately refused for want of credit of their quota. */
  readonly deniedWorkspaces: number
  /** Workspaces for which this instance grants the credit of their quota. */
  readonly grantedWorkspaces: number
  /** Largest fraction of recent requests to one service that were short of room, 0 to 1; 0 for services for which it is not measured. */
  readonly shortage: number
  /** Streams that this instance is to record and the store has not accepted yet. */
  readonly unrecordedStreams: number
  /** Fencing token with which this instance may order workers to load weights; 0 if it may not. */
  readonly rolloutFence: number
}
