/**
 * Port for the log stream on which instances claim the rollout lease, the right to
 * order changes of weights. An append succeeds only if the stream ends at the
 * offset that the writer expects, so of several claims for the same offset exactly
 * one is accepted.
 */

/** Requests of the core to the stream; `token` identifies the response. */
export type ClaimEffect =
  | { readonly kind: 'claim.read', readonly token: number, readonly from: number }
  | { readonly kind: 'claim.append', readonly token: number, readonly at: number, readonly claim: unknown }

/** One record of the stream. */
export interface ClaimRecord {
  readonly offset: number
  /** Decoded, not yet validated. */
  readonly claim: unknown
}

/** Responses of the stream. `era` rises when the stream was restored from a copy; offsets are valid only within one era. */
export type ClaimInput =
  /** Records in offset order; `end` is the offset after the last of them. */
  | { readonly kind: 'claim.records', readonly token: number, readonly records: readonly ClaimRecord[], readonly end: number, readonly era: number }
  /** The append was accepted at the expected offset. */
  | { readonly kind: 'claim.accepted', readonly token: number, readonly era: number }
  /** The append was rejected because the stream ends at another offset. */
  | { readonly kind: 'claim.refused', readonly token: number, readonly end: number, readonly era: number }
  /** No response was received; an append may have been accepted. */
  | { readonly kind: 'claim.failed', readonly token: number }
