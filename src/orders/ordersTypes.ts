/** What goes into the orders feature and what comes out of it. */
import { z } from 'zod'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { Hash } from '../hash.js'
import type { EndpointEffect, EndpointInput } from '../ports/endpointPort.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { Member } from '../ports/membershipPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'

/** A model version that the rules want on workers. */
export interface DesiredModel {
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
  readonly workers: readonly string[] | 'all'
}

/** A role that the rules want of a worker. */
export interface DesiredRole {
  readonly worker: string
  readonly role: 'mixed' | 'prefill' | 'decode'
}

/** The desired state of all workers, from the rules in force. */
export interface OrdersDesired {
  readonly kind: 'orders.desired'
  readonly models: readonly DesiredModel[]
  readonly roles?: readonly DesiredRole[]
}

/** A record of the stream `orders`: its offset is the holder's fencing number. */
export const orderClaimSchema = z.object({
  kind: z.literal('orders.claim'),
  holder: z.string(),
  incarnation: z.string()
})

/** A claim to give orders. */
export type OrderClaim = z.infer<typeof orderClaimSchema>

/** Messages of the orders feature. */
export const ordersMessageSchema = z.discriminatedUnion('kind', [
  /** The holder with this fencing number gives no more orders. */
  z.object({ kind: z.literal('orders.resign'), fence: z.number() })
])

/** A message of the orders feature. */
export type OrdersMessage = z.infer<typeof ordersMessageSchema>

/** What the orders feature reacts to; inputs of other kinds are ignored. */
export type OrdersInput =
  | Tick
  | OrdersDesired
  | { readonly kind: 'membership.changed', readonly members: readonly Member[] }
  | Extract<EndpointInput, { kind: 'endpoint.ordered' }>
  | LogInput
  | PeerInput

/** What the orders feature asks for. */
export type OrdersEffect =
  | Extract<EndpointEffect, { kind: 'endpoint.order' }>
  | LogEffect
  | PeerEffect<OrdersMessage>

/** What the orders feature needs. */
export interface OrdersOptions {
  readonly self: Member
  readonly random: Random
  readonly hash: Hash
  /** The registry's list. */
  readonly endpoints: () => readonly Endpoint[]
  /** Weight loads that the store bears at once. */
  readonly maxConcurrentLoads: number
}

/** Whether this instance gives orders. */
export type OrdersPhase =
  | { readonly kind: 'standby' }
  | { readonly kind: 'claiming' }
  /** Orders are given from `actFrom` on, while the log was read after `verifiedAt`. */
  | { readonly kind: 'holding', readonly fence: number, readonly actFrom: number }
