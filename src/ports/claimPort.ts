/**
 * A log stream on which instances claim a duty. An append succeeds only at the
 * offset that its writer expects to be the end, so that of several claims made
 * on the same knowledge exactly one is accepted.
 */

/** What the core asks of the stream. */
export type ClaimEffect =
  | { readonly kind: 'claim.read', readonly token: number, readonly from: number }
  | { readonly kind: 'claim.append', readonly token: number, readonly at: number, readonly claim: unknown }

/** One record of the stream. */
export interface ClaimRecord {
  readonly offset: number
  /** Decoded, not yet checked. */
  readonly claim: unknown
}

/** What the stream answers. */
export type ClaimInput =
  | { readonly kind: 'claim.records', readonly token: number, readonly records: readonly ClaimRecord[], readonly end: number }
  /** The append was accepted at the expected offset. */
  | { readonly kind: 'claim.accepted', readonly token: number }
  /** The stream ends elsewhere. */
  | { readonly kind: 'claim.refused', readonly token: number, readonly end: number }
  /** No answer; an append may have been accepted. */
  | { readonly kind: 'claim.failed', readonly token: number }
