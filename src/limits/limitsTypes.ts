/** Admission of requests: workspace limits, deadlines, fairness and retries. */
import type { Result } from 'neverthrow'
import type { Hash } from '../hash.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import type { WorkspaceLimit } from '../rules/rulesTypes.js'
import type { LimitsMessage } from './limitsMessages.js'

/** Milliseconds over which rates are averaged. */
export const limitWindow = 1000

/** Inputs of limits. */
export type LimitsInput = Tick | PeerInput<LimitsMessage>

/** Messages to the other entries of a workspace. */
export type LimitsEffect = PeerEffect<LimitsMessage>

/** A request that asks to be admitted. */
export interface AdmissionRequest {
  readonly workspace: string
  readonly limit: WorkspaceLimit
  readonly priority: number
  readonly worth: number
  /** The time by which the first token is due, in ms. */
  readonly deadline: number
  /** Expected time to the first token, in ms; from routing's choice. */
  readonly expectedWait: number
  /** Prompt plus expected generated tokens; 0 for a service call. */
  readonly tokens: number
}

/** A request that was let in; it must be given to `finished` once. */
export interface Admission {
  readonly workspace: string
  readonly tokens: number
  readonly admittedAt: number
  readonly expectedWait: number
  readonly deadline: number
  ended: boolean
}

/** Why a request was refused; nothing of it has run. */
export interface Refusal {
  readonly kind: 'refused'
  readonly reason: 'requests' | 'tokens' | 'concurrency' | 'deadline' | 'fairShare'
  /** When to come back, in ms from now; jittered. */
  readonly retryAfter: number
}

/** Why an attempt must not be repeated. */
export interface RetryRefusal {
  readonly kind: 'noRetry'
  readonly reason: 'budget' | 'retryOfRetry' | 'deadline'
}

/** A failed attempt that asks to be repeated. */
export interface RetryRequest {
  readonly workspace: string
  /** Whether the failed attempt was itself a retry, here or at the caller. */
  readonly retried: boolean
  readonly deadline: number
  /** Expected time to the first token of the new attempt, in ms. */
  readonly expectedWait: number
}

/** Settings of limits. */
export interface LimitsOptions {
  readonly hash: Hash
  /** This entry's id, as its peers know it. */
  readonly self: string
  readonly incarnation: string
  readonly random: Random
  /** Ids of the entries that serve a workspace, this one included if it does. */
  readonly instancesOf: (workspace: string) => readonly string[]
  /** Relative share of a workspace when there is not enough for all; 1 is ordinary. */
  readonly weightOf: (workspace: string) => number
  /** How strongly worth decides what is refused first under pressure; 0 leaves it out. */
  readonly worthExponent: number
  /** Retries per first attempt. */
  readonly retryFraction: number
}

/** Settings that suit either deployment. */
export const limitsDefaults = {
  weightOf: () => 1,
  worthExponent: 0,
  retryFraction: 0.1
} as const satisfies Partial<LimitsOptions>

/** One workspace's state, for the dump. */
export interface WorkspaceSummary {
  readonly workspace: string
  readonly fraction: number
  readonly demand: number
  readonly inFlight: number
  readonly overShare: boolean
  readonly admitted: number
  readonly refused: Readonly<Record<string, number>>
}

/** The limits of one instance. */
export interface Limits {
  readonly handle: (input: LimitsInput, now: number) => readonly LimitsEffect[]
  readonly admit: (question: AdmissionRequest, now: number) => Result<Admission, Refusal>
  /** Compares the time to the first token with what was expected. */
  readonly firstToken: (admission: Admission, now: number) => void
  /** Ends an admitted request; `usedTokens` corrects the estimate, undefined leaves it. */
  readonly finished: (admission: Admission, usedTokens: number | undefined, now: number) => void
  readonly retry: (question: RetryRequest, now: number) => Result<void, RetryRefusal>
  readonly dump: () => { readonly workspaces: readonly WorkspaceSummary[], readonly headroom: number, readonly pressure: number }
}
