/** Types of admission control: workspace limits, deadlines, fairness and retries. */
import type { Result } from 'neverthrow'
import type { Hash } from '../hash.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import type { WorkspaceLimit } from '../rules/rulesTypes.js'
import type { LimitsMessage } from './limitsMessages.js'

/** Time over which request and token rates are averaged, in ms. */
export const limitWindow = 1000

/** Inputs of admission control: ticks and messages of other instances. */
export type LimitsInput = Tick | PeerInput<LimitsMessage>

/** Messages to the other instances that serve a workspace. */
export type LimitsEffect = PeerEffect<LimitsMessage>

/** The figures of a request by which it is admitted or refused. */
export interface AdmissionRequest {
  readonly workspace: string
  readonly limit: WorkspaceLimit
  /** Scheduling priority; below 0, the request is refused at a shorter expected wait. */
  readonly priority: number
  /** Value of the request; one below the mean is refused at a shorter expected wait. */
  readonly worth: number
  /** Time by which the first token is due, in ms. */
  readonly deadline: number
  /** Expected time to the first token on the worker that routing chose, in ms. */
  readonly expectedWait: number
  /** Prompt tokens plus expected completion tokens; 0 for a service call. */
  readonly tokens: number
}

/** An admitted request. It must be passed to `finished` when it ends. */
export interface Admission {
  readonly workspace: string
  /** Tokens charged at admission. */
  readonly tokens: number
  /** Time of admission, in ms. */
  readonly admittedAt: number
  /** Expected time to the first token at admission, in ms. */
  readonly expectedWait: number
  /** Time by which the first token is due, in ms. */
  readonly deadline: number
  /** Whether `finished` has been called. */
  ended: boolean
}

/** The refusal of a request, no part of which has run. */
export interface Refusal {
  readonly kind: 'refused'
  /**
   * What the request exceeds: its workspace's limit of requests, tokens or concurrency, its
   * deadline, or under load its workspace's fair share.
   */
  readonly reason: 'requests' | 'tokens' | 'concurrency' | 'deadline' | 'fairShare'
  /** Jittered time after which the caller may retry, in ms. */
  readonly retryAfter: number
}

/** The refusal of a retry. */
export interface RetryRefusal {
  readonly kind: 'noRetry'
  /** Whether the retry budget is spent, the failed attempt was itself a retry, or the retry would miss the deadline. */
  readonly reason: 'budget' | 'retryOfRetry' | 'deadline'
}

/** The figures of a failed attempt by which a retry is allowed or refused. */
export interface RetryRequest {
  readonly workspace: string
  /** Whether the failed attempt was itself a retry, by this instance or by the caller. */
  readonly retried: boolean
  /** Time by which the first token is due, in ms. */
  readonly deadline: number
  /** Expected time to the first token of the new attempt, in ms. */
  readonly expectedWait: number
}

/** Dependencies and settings of admission control. */
export interface LimitsOptions {
  readonly hash: Hash
  /** Id of this instance, as its peers know it. */
  readonly self: string
  readonly incarnation: string
  readonly random: Random
  /** Returns the ids of the instances that serve a workspace, this one included if it does. */
  readonly instancesOf: (workspace: string) => readonly string[]
  /** Returns the relative share of a workspace when capacity is short; 1 is the default. */
  readonly weightOf: (workspace: string) => number
  /** Exponent of a request's worth over the mean worth, by which requests of little worth are refused first under load; 0 ignores worth. */
  readonly worthExponent: number
  /** Retries allowed per first attempt. */
  readonly retryFraction: number
}

/** Default settings; they suit both example deployments. */
export const limitsDefaults = {
  weightOf: () => 1,
  worthExponent: 0,
  retryFraction: 0.1
} as const satisfies Partial<LimitsOptions>

/** The state of one workspace, for the state dump. */
export interface WorkspaceSummary {
  readonly workspace: string
  /** Fraction of the workspace's limit that this instance may use. */
  readonly fraction: number
  /** Demand at this instance when it was last updated, as a fraction of the limit. */
  readonly demand: number
  /** Requests admitted and not finished. */
  readonly inFlight: number
  /** Whether the last request was held to a shorter wait because the workspace exceeds its fair share. */
  readonly overShare: boolean
  /** Number of requests admitted. */
  readonly admitted: number
  /** Number of requests refused, by reason. */
  readonly refused: Readonly<Record<string, number>>
}

/** Admission control of one instance. Times are in ms. */
export interface Limits {
  /** Handles a tick or a message of another instance, and returns the messages to send. */
  readonly handle: (input: LimitsInput, now: number) => readonly LimitsEffect[]
  /** Admits or refuses a request at once. */
  readonly admit: (request: AdmissionRequest, now: number) => Result<Admission, Refusal>
  /** Records the first token of an admitted request, and whether it came after the deadline. */
  readonly firstToken: (admission: Admission, now: number) => void
  /** Ends an admitted request; ignored when repeated. `usedTokens` replaces the tokens charged at admission, undefined leaves them. */
  readonly finished: (admission: Admission, usedTokens: number | undefined, now: number) => void
  /** Allows or refuses a retry, and takes an allowed one from the budget. */
  readonly retry: (request: RetryRequest, now: number) => Result<void, RetryRefusal>
  /** Returns the state for the dump. */
  readonly dump: () => { readonly workspaces: readonly WorkspaceSummary[], readonly headroom: number, readonly pressure: number }
}
