/**
 * At most once for calls that may not be repeated: what the rest of the node
 * asks of claims and what claims answer. A call is named by its workspace and
 * its idempotency key; each arrival of it at an instance is an attempt.
 */
import type { Hash } from '../hash.js'
import type { PartitionDump } from './claimsPartition.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import type { Answer, ClaimsMessage } from './claimsMessages.js'

/** Streams that the claims are spread over; equal on every instance, or the same key would be claimed on two streams. */
export const partitionCount = 64

/** Age in ms at which a key is no longer accepted, by the log's own time; equal on every instance. */
export const keyWindow = 300_000

/** Greatest difference in ms between any two clocks, callers' and the log's included; equal on every instance. */
export const clockSkew = 30_000

/** Why an attempt was not run. */
export type NotRunReason =
  | 'logUnavailable'
  /** No holder of the call's partition said in time what the log decided. */
  | 'claimTimeout'
  | 'deadlinePassed'
  | 'abandoned'
  /** An earlier attempt of the call was given up, and this one came too early to take its place. */
  | 'superseded'
  | 'overloaded'
  /** The key is no UUID of version 7. */
  | 'keyMalformed'
  /** The key's time lies further ahead than clocks may differ. */
  | 'keyAhead'

/** Why the outcome of a call is unknown. */
export type UnknownReason =
  /** The instance that claimed the call is gone, or has lost the endpoint's answer. */
  | 'answerLost'
  /** The key is too old to tell whether an earlier attempt ran. */
  | 'keyExpired'
  /** Records that would tell whether an earlier attempt ran are no longer kept. */
  | 'recordsExpired'

/** Why an attempt is not dispatched. In every case this attempt has not run and will not. */
export type Refusal =
  | {
    readonly kind: 'notRun'
    readonly reason: NotRunReason
    /**
     * `call`: no attempt of the call had run either. `attempt`: an earlier
     * attempt with this key may have; a repeat with the same key is safe.
     */
    readonly scope: 'call' | 'attempt'
    /** Milliseconds after which a repeat makes sense; absent where none does. */
    readonly retryAfter?: number
  }
  /** An earlier attempt ran; its answer is absent when no instance holds it any longer. */
  | { readonly kind: 'ran', readonly answer?: Answer }
  /** An earlier attempt may have run; the call is never run again. */
  | { readonly kind: 'unknown', readonly reason: UnknownReason }
  /** Another attempt holds the claim, and no end of it is known yet. */
  | { readonly kind: 'inProgress', readonly retryAfter: number }
  /** The key was first used for a different request. */
  | { readonly kind: 'fingerprintMismatch' }

/** How a dispatched call ended. */
export type Outcome =
  | { readonly kind: 'ran', readonly answer: Answer }
  /** No byte reached an endpoint. */
  | { readonly kind: 'notRun' }
  | { readonly kind: 'unknown' }

/** An instance that may hold partitions or claims. */
export interface ClaimsInstance {
  readonly id: string
  readonly incarnation: string
  readonly state: 'live' | 'leaving'
}

/** Asks for the right to dispatch a call. */
export interface BeginInput {
  readonly kind: 'claims.begin'
  /** Unique on this instance. */
  readonly request: number
  readonly workspace: string
  /** The caller's idempotency key, a UUID of version 7. */
  readonly key: string
  /** Hash of method, path and body. */
  readonly fingerprint: string
  /** Absolute, in ms. */
  readonly deadline: number
}

/** What claims handle. */
export type ClaimsInput =
  | BeginInput
  | { readonly kind: 'claims.settle', readonly request: number, readonly outcome: Outcome }
  /** A dispatch provably sent no byte; `mayDispatch` may be asked once more. */
  | { readonly kind: 'claims.unsent', readonly request: number }
  /** The caller is gone before the dispatch. Without effect after it. */
  | { readonly kind: 'claims.abandon', readonly request: number }
  | { readonly kind: 'claims.members', readonly instances: readonly ClaimsInstance[] }
  | LogInput
  | PeerInput
  | Tick

/** What claims ask for. */
export type ClaimsEffect =
  /** The call may be dispatched, once, after `mayDispatch` has agreed. */
  | { readonly kind: 'claims.granted', readonly request: number }
  /** Ends the attempt; nothing more is said of it. */
  | { readonly kind: 'claims.refused', readonly request: number, readonly refusal: Refusal }
  | LogEffect
  | PeerEffect<ClaimsMessage>

/** Settings of the claims of one instance. */
export interface ClaimsOptions {
  readonly self: string
  /** Never used before by an instance of this name. */
  readonly incarnation: string
  readonly hash: Hash
  readonly random: Random
  /** The least time in ms for which the log keeps a record. */
  readonly retention: number
  /** Bytes of answers kept for repeats. */
  readonly answerBytes?: number
  /** Replaces `keyWindow` in tests. */
  readonly window?: number
  /** Replaces `clockSkew` in tests. */
  readonly skew?: number
}

/** State of the claims, without the bodies of answers. */
export interface ClaimsDump {
  readonly attempts: readonly { readonly request: number, readonly workspace: string, readonly key: string, readonly attempt: string, readonly phase: string }[]
  readonly ended: number
  readonly answers: number
  readonly answerBytes: number
  readonly pendingCloses: number
  readonly partitions: readonly PartitionDump[]
  /** Messages that did not match their schema. */
  readonly malformed: number
}
