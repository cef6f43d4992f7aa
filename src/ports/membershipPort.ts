/** Port for the platform's membership list of live and leaving instances and endpoints. The list may be out of date. */
import type { Address } from '../endpoints/endpointsTypes.js'

/** One entry of the membership list. */
export interface Member {
  readonly id: string
  readonly kind: 'entry' | 'worker' | 'service'
  readonly incarnation: string
  /** Address for callers of an instance, or for dispatches to an endpoint. */
  readonly address: Address
  /** Address for other instances; set for members of kind `entry`. */
  readonly peer?: Address
  readonly dataCentre: string
  readonly state: 'live' | 'leaving'
  /** Relative size of the machine; 1 is the standard size. */
  readonly size: number
}

/** Requests of the core to the membership service. */
export type MembershipEffect =
  | { readonly kind: 'membership.fetch' }
  /** Publishes the state of this instance. */
  | { readonly kind: 'membership.announce', readonly member: Member }

/** Responses of the membership service. */
export type MembershipInput =
  | { readonly kind: 'membership.list', readonly members: readonly Member[] }
  | { readonly kind: 'membership.failed' }
