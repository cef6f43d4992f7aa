/** Types of the fleet of gateways in virtual time: its options, what it plays, and what reached workers and callers. */
import type { Catalog } from '../../src/catalog/catalogTypes.js'
import type { GatewayLogEvent } from '../../src/gateway/gatewayTypes.js'
import type { Hash } from '../../src/hash.js'
import type { AnswerHead, Call } from '../../src/ports/forwardPort.js'
import type { Worker } from '../../src/workers/workersTypes.js'
import type { BatchingWorkers } from './batchingWorkers.js'
import type { FakeNetwork } from './fakeNetwork.js'
import type { VirtualTime } from './virtualTime.js'

/** A request that reached a worker; `at` in ms. */
export interface WorkerArrival {
  readonly call: string
  readonly worker: string
  readonly instance: string
  readonly at: number
  readonly resumed: boolean
}

/** An event of a stream that a caller received. */
export interface ReceivedEvent {
  readonly worker: string
  readonly id: string
}

/** A request of a caller, and what the caller has received. */
export interface FakeCall {
  readonly call: Call
  readonly instance: string
  readonly events: ReceivedEvent[]
  /** Status of the response; undefined before it. */
  status: number | undefined
  headers: readonly string[]
  /** Whether the response is complete, or has been cut off. */
  state: 'open' | 'whole' | 'broken'
}

/** How the links of instances to workers are cut. */
export interface LinkCut {
  readonly mode: 'refused' | 'hangs' | 'openLiveOn'
  /** The service whose workers are out of reach; all if undefined. */
  readonly service?: string
  /** The workers that are out of reach; all of the service if undefined. */
  readonly workers?: readonly string[]
}

/** A connection that an instance opened to a worker to find out whether it is in reach; `at` in ms. */
export interface FakeProbe {
  readonly instance: string
  readonly worker: string
  readonly at: number
}

/** Options of the fleet. */
export interface FakeGatewaysOptions {
  readonly hash: Hash
  readonly instances: number
  readonly catalog: Catalog
  readonly workers: readonly Worker[]
  readonly seed?: number
  /** Time of day minus the steady time, in ms; workers of the fixtures started at 1. */
  readonly wallOffset?: number
  /** Whether the network counts bytes. */
  readonly countBytes?: boolean
  /** What the worker states in its responses in addition to their usual heads. */
  readonly statements?: (worker: Worker, now: number) => Partial<AnswerHead>
  /** Number of events in a stream. */
  readonly streamEvents?: number
  /** Whether the worker crashes soon after it has begun to write an answer to the request. */
  readonly crashes?: (call: Call, now: number) => boolean
  /** Runs the requests of model workers; by default each worker runs any number of requests at once. */
  readonly batching?: (time: VirtualTime, endWorker: (worker: string) => void) => BatchingWorkers
  /** Called when a worker has crashed under a request. */
  readonly onCrash?: (call: Call) => void
}

/** A fleet in virtual time; all times in ms. */
export interface FakeGateways {
  readonly time: VirtualTime
  readonly network: FakeNetwork
  readonly arrivals: readonly WorkerArrival[]
  readonly probes: readonly FakeProbe[]
  readonly logEvents: readonly { readonly instance: string, readonly at: number, readonly event: GatewayLogEvent }[]
  /** Times of the calls about records of streams that reached the store. */
  readonly recordCalls: readonly number[]
  readonly live: () => readonly string[]
  readonly send: (instance: string, call: Call) => FakeCall
  /** Closes the connection of a request's caller; has no effect once its response is complete. */
  readonly hangUp: (call: FakeCall) => void
  /** Ends an instance at once; its callers' responses break off. */
  readonly kill: (instance: string) => void
  /** Stops an instance for a while; what arrives meanwhile is handled when it goes on, before its next tick. */
  readonly freeze: (instance: string, duration: number) => void
  /** Asks an instance to shut down; it goes on for as long as its grace period until it is killed. */
  readonly leave: (instance: string) => void
  /** Starts an instance that was killed, without state. */
  readonly start: (instance: string) => void
  /** Stops reading the store at an instance, or reads it again. */
  readonly setStoreReachable: (instance: string, reachable: boolean) => void
  /** Announces a worker, or a change of it. */
  readonly register: (worker: Worker) => void
  /** Announces weights of a model to all live instances. */
  readonly announceWeights: (model: string, version: number) => void
  /** Ends a worker at once; its streams break off and its record is removed. */
  readonly endWorker: (worker: string) => void
  /** Ends a worker and starts it anew under its id; its streams break off. */
  readonly restartWorker: (worker: string) => void
  /** Ends a worker without a word: its connections are closed at once and new ones refused, its record expires, and it starts anew at its address under a new id. */
  readonly crashWorker: (worker: string) => boolean
  /** Cuts the links of instances to all workers, or to those of one service: connections are reset and new ones refused, or both hang, or open ones live on and new ones are refused. Links between instances work. */
  readonly cutLinks: (instances: readonly string[], cut: LinkCut) => void
  /** Lets all links work again. */
  readonly healLinks: () => void
  /** Closes the connections of a worker, which goes on. */
  readonly resetConnections: (worker: string) => void
}
