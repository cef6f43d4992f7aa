/** What the policy bench runs: deployments, workloads and policies. */
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { Hash } from '../../src/hash.js'
import type { EndpointEffect, EndpointInput } from '../../src/ports/endpointPort.js'
import type { PeerEffect, PeerInput } from '../../src/ports/peerPort.js'
import type { PrefixChain } from '../../src/prefix/prefixTypes.js'
import type { Random } from '../../src/random.js'
import type { Objective, Usage } from '../../src/routing/routingTypes.js'
import type { FakeWorker } from './fakeWorker.js'

/** Speeds and sizes of a fake worker. */
export interface WorkerProfile {
  /** Prompt tokens computed in one ms. */
  readonly prefillRate: number
  /** Time per generated token with an empty batch, in ms; twice that with a full one. */
  readonly tokenTime: number
  readonly slots: number
  /** Tokens that the prefix cache holds. */
  readonly cacheTokens: number
}

/** A fleet and how its users measure it. */
export interface Deployment {
  readonly name: 'harrowgate' | 'wspolnyTor'
  readonly dataCentres: readonly string[]
  readonly workers: readonly WorkerProfile[]
  readonly entries: number
  /** Entries that serve one workspace. */
  readonly entriesPerWorkspace: number
  readonly workspaces: readonly WorkspaceShape[]
  /** Part of the workers' speed at which the all-knowing chooser still meets the targets. */
  readonly utilisation: number
  readonly objective: Objective
  readonly worthExponent: number
  readonly primaryMetric: 'ttftP99' | 'worthServed'
}

/** The traffic of one workspace. */
export interface WorkspaceShape {
  readonly name: string
  /** Part of all requests. */
  readonly share: number
  readonly branches: number
  readonly items: number
  readonly guidanceTokens: number
  readonly branchTokens: number
  readonly itemTokens: number
}

/** One caller's request. */
export interface Call {
  readonly at: number
  readonly workspace: string
  readonly texts: readonly string[]
  readonly completionTokens: number
  readonly worth: number
  readonly priority: number
  /** Time from arrival to the first token that the caller wants, in ms. */
  readonly target: number
}

/** Something that happens to the fleet. */
export type Incident =
  | { readonly kind: 'crash', readonly at: number, readonly worker: number, readonly downFor: number }
  | { readonly kind: 'herdRestart', readonly at: number }
  | { readonly kind: 'loseDataCentre', readonly at: number, readonly dataCentre: string, readonly downFor: number }
  | { readonly kind: 'platformAway', readonly at: number, readonly downFor: number }

/** A seeded workload. */
export interface Workload {
  readonly name: string
  readonly calls: readonly Call[]
  readonly incidents: readonly Incident[]
  readonly duration: number
  /** Calls before this time warm the caches and are not counted, in ms. */
  readonly measureFrom: number
  /** When the disturbance comes, for the figures before and after it. */
  readonly disturbedAt?: number
  /** A workspace that floods; the others must not notice. */
  readonly flooder?: string
  /** Cache events: part of the batches that get lost, and delay added to all, in ms. */
  readonly eventFaults?: { readonly lost: number, readonly delay: number }
  /** Relative sizes of entries; 1 each if absent. */
  readonly entrySizes?: readonly number[]
}

/** What an entry's policy hears of an attempt. */
export interface AttemptListener {
  readonly firstToken?: (now: number) => void
  readonly finished?: (usage: Usage, now: number) => void
  readonly failed?: (now: number) => void
}

/** What an entry does with a call. */
export type Decision =
  | { readonly kind: 'dispatch', readonly endpoint: string, readonly expectedWait?: number, readonly priority: number, readonly attempt: AttemptListener }
  | { readonly kind: 'refuse', readonly reason: string, readonly retryAfter: number }

/** What an entry's policy is asked. */
export interface PolicyRequest {
  readonly call: Call
  readonly chain: PrefixChain
  readonly deadline: number
  readonly exclude: readonly string[]
  /** Whether an attempt at this entry has failed before. */
  readonly retried: boolean
}

/** The decisions of one entry instance. */
export interface EntryPolicy {
  readonly choose: (request: PolicyRequest, endpoints: readonly Endpoint[], now: number) => Decision
  readonly handle?: (input: Extract<EndpointInput, { kind: 'endpoint.events' | 'endpoint.unreachable' }> | PeerInput | { readonly kind: 'tick' }, now: number) => readonly (EndpointEffect | PeerEffect)[]
  /** Bytes of knowledge held, for comparison. */
  readonly bytes?: () => number
}

/** What an entry's policy is made from. */
export interface EntryContext {
  readonly hash: Hash
  readonly self: string
  readonly incarnation: string
  readonly random: Random
  readonly deployment: Deployment
  readonly entriesOf: (workspace: string) => readonly string[]
  /** The endpoints as this entry sees them now. */
  readonly endpoints: () => readonly Endpoint[]
  /** The workers themselves; only the all-knowing chooser looks at them. */
  readonly workers: readonly FakeWorker[]
}

/** A policy under test. */
export interface Policy {
  readonly name: string
  readonly create: (context: EntryContext) => EntryPolicy
}

/** What became of one call. */
export interface Outcome {
  readonly call: Call
  /** Time from arrival to the first token, in ms; undefined if there was none. */
  ttft: number | undefined
  /** The same from the moment at which the answering attempt was asked for. */
  admittedTtft: number | undefined
  finished: boolean
  cachedTokens: number
  promptTokens: number
  /** Tokens computed, over all attempts. */
  computedTokens: number
  /** Those of them that some worker had computed before. */
  recomputedTokens: number
  firstAttempts: number
  retries: number
  readonly refusals: string[]
}

/** What one run saw. */
export interface RunResult {
  readonly outcomes: readonly Outcome[]
  /** Cache events sent to entries. */
  readonly eventsDelivered: number
  /** Bytes of cache knowledge per entry at the end. */
  readonly cacheIndexBytes: number
}
