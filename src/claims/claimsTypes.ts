/**
 * The interface between claims and the rest of the node. Claims ensure
 * at-most-once execution of non-idempotent calls. A call is identified by its
 * workspace and its idempotency key; each arrival of the call at an instance is
 * an attempt.
 */
import type { Hash } from '../hash.js'
import type { PartitionDump } from './claimsPartition.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import type { Answer, ClaimsMessage } from './claimsMessages.js'

/** Number of partitions, each with its own stream. Must be the same on every instance; otherwise one key could be claimed on two streams. */
export const partitionCount = 64

/** Age in ms, by the log's own time, at which a key is no longer accepted. Must be the same on every instance. */
export const keyWindow = 300_000

/** Greatest difference in ms between any two clocks, including those of callers and of the log. Must be the same on every instance. */
export const clockSkew = 30_000

/** Why an attempt was not run. */
export type NotRunReason =
  | 'logUnavailable'
  /** No holder of the call's partition returned a verdict within the claim timeout. */
  | 'claimTimeout'
  | 'deadlinePassed'
  | 'abandoned'
  /** An earlier attempt of the call was given up, but it still owned the call when this attempt's claim was read. */
  | 'superseded'
  | 'overloaded'
  /** The key is not a UUID of version 7. */
  | 'keyMalformed'
  /** The key's time is further in the future than the clock skew allows. */
  | 'keyAhead'

/** Why the outcome of a call is unknown. */
export type UnknownReason =
  /** The instance that claimed the call has gone or restarted, or does not have the endpoint's answer. */
  | 'answerLost'
  /** The key is too old to determine whether an earlier attempt ran. */
  | 'keyExpired'
  /** The log may no longer keep the records that show whether an earlier attempt ran. */
  | 'recordsExpired'

/** Why an attempt is not dispatched. Whatever the kind, this attempt has not run and will not run. */
export type Refusal =
  | {
    readonly kind: 'notRun'
    readonly reason: NotRunReason
    /**
     * `call`: no other attempt of the call had run either. `attempt`: an earlier
     * attempt with this key may have run; a retry with the same key is safe.
     */
    readonly scope: 'call' | 'attempt'
    /** Ms after which a retry may succeed; absent if a retry cannot succeed. */
    readonly retryAfter?: number
  }
  /** An earlier attempt ran; `answer` is absent if no instance has it any longer. */
  | { readonly kind: 'ran', readonly answer?: Answer }
  /** An earlier attempt may have run; the call will not be run again. */
  | { readonly kind: 'unknown', readonly reason: UnknownReason }
  /** Another attempt owns the call, and its outcome is not known yet. */
  | { readonly kind: 'inProgress', readonly retryAfter: number }
  /** The key was first used for a different request. */
  | { readonly kind: 'fingerprintMismatch' }

/** The outcome of a dispatched attempt. */
export type Outcome =
  | { readonly kind: 'ran', readonly answer: Answer }
  /** No byte of the request reached an endpoint. */
  | { readonly kind: 'notRun' }
  /** An endpoint may have received the request, but its answer is missing. */
  | { readonly kind: 'unknown' }

/** An instance in the current membership, which may hold partitions or have made claims. */
export interface ClaimsInstance {
  readonly id: string
  readonly incarnation: string
  readonly state: 'live' | 'leaving'
}

/** Starts an attempt: requests the right to dispatch a call. */
export interface BeginInput {
  readonly kind: 'claims.begin'
  /** Unique on this instance. */
  readonly request: number
  readonly workspace: string
  /** The caller's idempotency key, a UUID of version 7. */
  readonly key: string
  /** Hash of method, path and body. */
  readonly fingerprint: string
  /** Absolute time, in ms. */
  readonly deadline: number
}

/** An input to the claims state machine. */
export type ClaimsInput =
  | BeginInput
  /** A dispatched attempt has ended. */
  | { readonly kind: 'claims.settle', readonly request: number, readonly outcome: Outcome }
  /** A dispatch certainly sent no byte; `mayDispatch` may return true once more. */
  | { readonly kind: 'claims.unsent', readonly request: number }
  /** The caller disconnected before the dispatch. No effect after the dispatch. */
  | { readonly kind: 'claims.abandon', readonly request: number }
  /** The membership has changed. */
  | { readonly kind: 'claims.members', readonly instances: readonly ClaimsInstance[] }
  | LogInput
  | PeerInput
  | Tick

/** An effect requested by the claims state machine. */
export type ClaimsEffect =
  /** The call may be dispatched once, if `mayDispatch` returns true. */
  | { readonly kind: 'claims.granted', readonly request: number }
  /** The attempt has ended; no further effect concerns it. */
  | { readonly kind: 'claims.refused', readonly request: number, readonly refusal: Refusal }
  | LogEffect
  | PeerEffect<ClaimsMessage>

/** Settings of the claims of one instance. */
export interface ClaimsOptions {
  /** Id of this instance. */
  readonly self: string
  /** Unique to this start of the instance: never used before with the same id. */
  readonly incarnation: string
  readonly hash: Hash
  readonly random: Random
  /** Least time in ms for which the log keeps a record. */
  readonly retention: number
  /** Greatest total size in bytes of the answers cached for duplicates. */
  readonly answerBytes?: number
  /** Overrides `keyWindow` in tests. */
  readonly window?: number
  /** Overrides `clockSkew` in tests. */
  readonly skew?: number
}

/** The claims state for the state dump, without the bodies of answers. */
export interface ClaimsDump {
  readonly attempts: readonly { readonly request: number, readonly workspace: string, readonly key: string, readonly attempt: string, readonly phase: string }[]
  readonly ended: number
  readonly answers: number
  readonly answerBytes: number
  readonly pendingCloses: number
  readonly partitions: readonly PartitionDump[]
  /** Number of messages that did not match their schema. */
  readonly malformed: number
}
