/** The engine's record of what it took up. */

/** A request that the engine took up. */
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
