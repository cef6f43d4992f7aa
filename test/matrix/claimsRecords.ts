/** What the claims scenario records: runs at the service, and what callers were told. */
import type { Refusal } from '../../src/claims/claimsTypes.js'

/** One run at the service, by its own record. */
export interface ServiceRun {
  readonly key: string
  readonly attempt: string
  readonly at: number
  readonly body: string
}

/** What an attempt's caller was told, or would have been had it stayed. */
export interface CallerReply {
  readonly key: string
  readonly attempt: string
  readonly at: number
  readonly answer: { readonly kind: 'answered', readonly body: string } | { readonly kind: 'outcomeUnknown' } | Refusal
}

/** A call as its caller makes it. */
export interface Call {
  readonly key: string
  readonly fingerprint: string
  /** The instance first asked. */
  readonly at: string
  /** Ms after which the caller leaves the first attempt. */
  readonly leavesAfter?: number
}
