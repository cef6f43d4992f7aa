/** The platform's membership list of live and leaving instances and endpoints; it lags. */
import type { Address } from '../endpoints/endpointsTypes.js'

/** One row of the membership list. */
export interface Member {
  readonly id: string
  readonly kind: 'entry' | 'worker' | 'service'
  readonly incarnation: string
  /** Where callers, or dispatches, connect. */
  readonly address: Address
  /** Where other instances connect; set for entries. */
  readonly peer?: Address
  readonly dataCentre: string
  readonly state: 'live' | 'leaving'
  /** Relative size of the machine; 1 is ordinary. */
  readonly size: number
}

/** What the core asks of the list. */
export type MembershipEffect =
  | { readonly kind: 'membership.fetch' }
  /** Announces this instance's own state. */
  | { readonly kind: 'membership.announce', readonly member: Member }

/** What the list answers. */
export type MembershipInput =
  | { readonly kind: 'membership.list', readonly members: readonly Member[] }
  | { readonly kind: 'membership.failed' }
