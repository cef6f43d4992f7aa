/** Types of the reach of workers. */
import type { Random } from '../random.js'
import type { Worker } from '../workers/workersTypes.js'
import type { FleetMessage } from '../fleet/fleetMessages.js'

/** Messages about the reach of workers between instances. */
export type ReachMessage = Extract<FleetMessage, { kind: 'fleet.reachQuestion' | 'fleet.reachAnswer' }>

/** What is known of the way to the workers of a service: some are reached, it is being found out, or none is although others reach them. */
export type Reach = 'reached' | 'uncertain' | 'cutOff'

/** A log event of the reach of workers; each is one log line. */
export type ReachLogEvent =
  /** This instance reaches none of the service's workers, and `peers` other instances do; found `after` ms after the first failure. */
  | { readonly kind: 'serviceCutOff', readonly service: string, readonly peers: number, readonly after: number }
  /** It reaches them again, after `after` ms. */
  | { readonly kind: 'serviceReached', readonly service: string, readonly after: number }

/** What the reach of workers depends on; times in ms. */
export interface WorkerReachOptions {
  readonly serviceOf: (worker: string) => string | undefined
  readonly liveWorkers: (service: string) => readonly Worker[]
  /** Probes a worker by opening a connection, unless that is under way. */
  readonly probe: (worker: string, now: number) => void
  /** Number of live instances, this one included. */
  readonly instances: () => number
  readonly random: Random
  /** Returns some of the live instances, others with each `turn`. */
  readonly somePeers: (count: number, turn: number) => readonly string[]
  /** Whether this instance can take requests of others. */
  readonly acceptsRelays: () => boolean
  readonly send: (to: string, message: ReachMessage) => void
  /** Called when this instance has been cut off from a service, or reaches it again. */
  readonly onChange: (service: string, reach: Reach) => void
  readonly log: (event: ReachLogEvent) => void
}

/** Who found that a worker is out of reach: this instance by its own requests, or another one that told it. */
export type Finding = 'own' | 'alsoByPeer'

/** The reach of workers of one instance; times in ms. */
export interface WorkerReach {
  /** Records that a connection to the worker was opened. */
  readonly noteConnected: (worker: string, now: number) => void
  /** Records that the worker has sent something for a request. */
  readonly noteHeard: (worker: string, now: number) => void
  /** Records that no connection to the worker could be opened, and who found it first. */
  readonly noteUnreachable: (worker: string, finding: Finding, now: number) => void
  readonly reachOf: (service: string) => Reach
  /** Whether it is still being found out if this instance is cut off from the service. */
  readonly mayBeCutOff: (service: string) => boolean
  /** Number of services from which this instance is cut off. */
  readonly cutOffCount: () => number
  /** The other instances that have reached workers of the service lately; none unless this one is cut off from it. */
  readonly relaysFor: (service: string, now: number) => readonly string[]
  /** Records that another instance does not take relayed requests. */
  readonly dropRelay: (peer: string) => void
  readonly receive: (from: string, message: ReachMessage, now: number) => void
  readonly tick: (now: number) => void
  readonly dump: (now: number) => unknown
}
