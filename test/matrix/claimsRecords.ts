/** The records of the claims scenario: runs at the service and replies to callers. */
import type { Refusal } from '../../src/claims/claimsTypes.js'

/** One run at the service, as recorded by the service itself. */
export interface ServiceRun {
  readonly key: string
  readonly attempt: string
  /** Virtual time, in ms since the epoch. */
  readonly at: number
  readonly body: string
}

/** The reply to an attempt's caller, recorded even if the caller had disconnected. */
export interface CallerReply {
  readonly key: string
  readonly attempt: string
  /** Virtual time, in ms since the epoch. */
  readonly at: number
  readonly answer: { readonly kind: 'answered', readonly body: string } | { readonly kind: 'outcomeUnknown' } | Refusal
}

/** A call as made by its caller. */
export interface Call {
  readonly key: string
  readonly fingerprint: string
  /** Id of the instance that receives the first attempt. */
  readonly at: string
  /** Time in ms after which the caller disconnects from the first attempt. */
  readonly disconnectsAfter?: number
}
