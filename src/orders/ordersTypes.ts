/** Inputs, effects, messages and stored records of the orders feature. */
import { z } from 'zod'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { Hash } from '../hash.js'
import type { EndpointEffect, EndpointInput } from '../ports/endpointPort.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { Member } from '../ports/membershipPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'

/** A model version that workers should have loaded, according to the rules. */
export interface DesiredModel {
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
  /** Ids of the target workers, or `all`. */
  readonly workers: readonly string[] | 'all'
}

/** The role that a worker should have, according to the rules. */
export interface DesiredRole {
  readonly worker: string
  readonly role: 'mixed' | 'prefill' | 'decode'
}

/** The desired state of all workers, derived from the rules in force. */
export interface OrdersDesired {
  readonly kind: 'orders.desired'
  readonly models: readonly DesiredModel[]
  readonly roles?: readonly DesiredRole[]
}

/** Schema of a record of the stream `orders`. The offset of the record is the holder's fencing token. */
export const orderClaimSchema = z.object({
  kind: z.literal('orders.claim'),
  holder: z.string(),
  incarnation: z.string()
})

/** A claim of an instance to the orders lease. */
export type OrderClaim = z.infer<typeof orderClaimSchema>

/** Schema of the messages that instances exchange about orders. */
export const ordersMessageSchema = z.discriminatedUnion('kind', [
  /** The holder with this fencing token has released the lease and sends no more orders. */
  z.object({ kind: z.literal('orders.resign'), fence: z.number() })
])

/** A message between instances about orders. */
export type OrdersMessage = z.infer<typeof ordersMessageSchema>

/** An input of the orders feature. Answers and messages for other features are ignored. */
export type OrdersInput =
  | Tick
  | OrdersDesired
  | { readonly kind: 'membership.changed', readonly members: readonly Member[] }
  | Extract<EndpointInput, { kind: 'endpoint.ordered' }>
  | LogInput
  | PeerInput

/** An effect that the orders feature requests. */
export type OrdersEffect =
  | Extract<EndpointEffect, { kind: 'endpoint.order' }>
  | LogEffect
  | PeerEffect<OrdersMessage>

/** Dependencies and limits of the orders feature. */
export interface OrdersOptions {
  readonly self: Member
  readonly random: Random
  readonly hash: Hash
  /** Returns the endpoints of the registry; the array is the same until an endpoint changes in more than its load. */
  readonly endpoints: () => readonly Endpoint[]
  /** Maximum number of concurrent weight loads, given by the capacity of the weight store. */
  readonly maxConcurrentLoads: number
}

/** Whether this instance holds the orders lease. */
export type OrdersPhase =
  | { readonly kind: 'standby' }
  | { readonly kind: 'claiming' }
  /**
   * The lease is held with the fencing token `fence`. Orders may be sent from
   * `actFrom` on, in ms, while a recent read of the log has confirmed the claim.
   */
  | { readonly kind: 'holding', readonly fence: number, readonly actFrom: number }
