/** The type of a request in the engine's record. */

/**
 * A request that the engine accepted at `at`, in ms. `from` is the position in
 * the sample of the first generated token, `generated` the number of tokens
 * generated so far; `lost` means that the engine crashed before the request ended.
 */
export interface ServedRequest {
  readonly kind: 'request'
  readonly id: string
  readonly workspace: string
  readonly salt: string
  readonly model: string
  readonly weightVersion: string
  readonly at: number
  readonly promptTokens: number
  readonly from: number
  cachedTokens: number
  generated: number
  outcome: 'open' | 'finished' | 'cancelled' | 'lost'
}
