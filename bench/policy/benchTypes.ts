/** Types of the policy bench: deployments, workloads, policies and their results. */
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { Hash } from '../../src/hash.js'
import type { EndpointEffect, EndpointInput } from '../../src/ports/endpointPort.js'
import type { PeerEffect, PeerInput } from '../../src/ports/peerPort.js'
import type { PrefixChain } from '../../src/prefix/prefixTypes.js'
import type { Random } from '../../src/random.js'
import type { Objective, Usage } from '../../src/routing/routingTypes.js'
import type { FakeWorker } from './fakeWorker.js'

/** Speed, slots and cache size of a fake worker. */
export interface WorkerProfile {
  /** Prompt tokens computed per ms. */
  readonly prefillRate: number
  /** Time per generated token with an empty batch, in ms; twice that with a full one. */
  readonly tokenTime: number
  /** Requests that run at the same time. */
  readonly slots: number
  /** Capacity of the prefix cache in tokens. */
  readonly cacheTokens: number
}

/** A fleet, its workspaces and the metric that its users rank policies by. */
export interface Deployment {
  readonly name: 'harrowgate' | 'wspolnyTor'
  readonly dataCentres: readonly string[]
  readonly workers: readonly WorkerProfile[]
  /** Number of entry instances. */
  readonly entries: number
  /** Entry instances that serve one workspace. */
  readonly entriesPerWorkspace: number
  readonly workspaces: readonly WorkspaceShape[]
  /** Fraction of the workers' nominal throughput that counts as capacity: at this load the oracle policy still meets the targets. */
  readonly utilisation: number
  readonly objective: Objective
  /** Exponent of a request's worth over the mean worth in load shedding; 0 ignores worth. */
  readonly worthExponent: number
  readonly primaryMetric: 'ttftP99' | 'worthServed'
}

/** The traffic of one workspace. Its prompts have four levels: guidance, which all of them share, a branch, an item, and a question unique to the call. */
export interface WorkspaceShape {
  readonly name: string
  /** Fraction of all requests. */
  readonly share: number
  /** Number of distinct texts of the second prompt level. */
  readonly branches: number
  /** Number of distinct texts of the third prompt level under each branch. */
  readonly items: number
  readonly guidanceTokens: number
  readonly branchTokens: number
  readonly itemTokens: number
}

/** One caller's request. */
export interface Call {
  /** Arrival in virtual time, in ms. */
  readonly at: number
  readonly workspace: string
  /** Prompt texts by level. */
  readonly texts: readonly string[]
  readonly completionTokens: number
  readonly worth: number
  readonly priority: number
  /** Target for the time from arrival to the first token, in ms. */
  readonly target: number
}

/** A fault or a restart that the bench applies to the fleet; `at` is in virtual time, and both it and `downFor` are in ms. */
export type Incident =
  /** A worker, given by index, crashes. */
  | { readonly kind: 'crash', readonly at: number, readonly worker: number, readonly downFor: number }
  /** All entry instances restart at the same time and lose their state. */
  | { readonly kind: 'herdRestart', readonly at: number }
  /** All workers and entry instances of a data centre are down. */
  | { readonly kind: 'loseDataCentre', readonly at: number, readonly dataCentre: string, readonly downFor: number }
  /** The membership list is not updated, as during an outage of the platform. */
  | { readonly kind: 'platformAway', readonly at: number, readonly downFor: number }

/** A seeded workload; times are in ms of virtual time. */
export interface Workload {
  readonly name: string
  readonly calls: readonly Call[]
  readonly incidents: readonly Incident[]
  readonly duration: number
  /** Calls before this time only warm up the caches and are not counted. */
  readonly measureFrom: number
  /** Time of the disturbance that the figures before and after it refer to. */
  readonly disturbedAt?: number
  /** The workspace that sends excess load; it must not affect the other workspaces. */
  readonly flooder?: string
  /** Faults of cache events: fraction of the batches that are lost, and delay added to every batch in ms. */
  readonly eventFaults?: { readonly lost: number, readonly delay: number }
  /** Relative sizes of the entry instances, by index; 1 each if absent. */
  readonly entrySizes?: readonly number[]
}

/** Callbacks by which the driver reports the progress of an attempt to the policy. */
export interface AttemptListener {
  readonly firstToken?: (now: number) => void
  readonly finished?: (usage: Usage, now: number) => void
  readonly failed?: (now: number) => void
}

/** Decision of an entry instance on a call; `expectedWait` and `retryAfter` are in ms. */
export type Decision =
  | { readonly kind: 'dispatch', readonly endpoint: string, readonly expectedWait?: number, readonly priority: number, readonly attempt: AttemptListener }
  | { readonly kind: 'refuse', readonly reason: string, readonly retryAfter: number }

/** The input of a routing decision. */
export interface PolicyRequest {
  readonly call: Call
  readonly chain: PrefixChain
  /** Time by which the first token is due, in ms of virtual time. */
  readonly deadline: number
  /** Endpoints at which an attempt of this arrival has failed. */
  readonly exclude: readonly string[]
  /** Whether an attempt of this arrival at this entry instance has failed before. */
  readonly retried: boolean
}

/** The routing policy of one entry instance. */
export interface EntryPolicy {
  readonly choose: (request: PolicyRequest, endpoints: readonly Endpoint[], now: number) => Decision
  readonly handle?: (input: Extract<EndpointInput, { kind: 'endpoint.events' | 'endpoint.unreachable' }> | PeerInput | { readonly kind: 'tick' }, now: number) => readonly (EndpointEffect | PeerEffect)[]
  /** Memory of the policy's cache index in bytes, for comparison between variants. */
  readonly bytes?: () => number
}

/** Inputs for creating the policy of an entry instance. */
export interface EntryContext {
  readonly hash: Hash
  readonly self: string
  readonly incarnation: string
  readonly random: Random
  readonly deployment: Deployment
  /** Returns the entry instances that serve a workspace. */
  readonly entriesOf: (workspace: string) => readonly string[]
  /** Returns the endpoints as this entry instance sees them now. */
  readonly endpoints: () => readonly Endpoint[]
  /** The workers themselves; only the oracle policy reads them. */
  readonly workers: readonly FakeWorker[]
}

/** A policy under test. */
export interface Policy {
  readonly name: string
  readonly create: (context: EntryContext) => EntryPolicy
}

/** Result of one call. */
export interface Outcome {
  readonly call: Call
  /** Time from the caller's first arrival to the first token, in ms; undefined if there was none. */
  ttft: number | undefined
  /** Time from the arrival that was answered (the first one or a caller's retry) to the first token, in ms; undefined if there was none. */
  admittedTtft: number | undefined
  finished: boolean
  cachedTokens: number
  promptTokens: number
  /** Prompt tokens computed, over all attempts. */
  computedTokens: number
  /** Computed prompt tokens that some worker had already computed. */
  recomputedTokens: number
  /** Arrivals that were dispatched. */
  firstAttempts: number
  /** Dispatches after a failed attempt. */
  retries: number
  readonly refusals: string[]
}

/** Result of one run. */
export interface RunResult {
  readonly outcomes: readonly Outcome[]
  /** Number of cache events sent to entry instances. */
  readonly eventsDelivered: number
  /** Mean memory of the cache index per entry instance at the end, in bytes. */
  readonly cacheIndexBytes: number
}
