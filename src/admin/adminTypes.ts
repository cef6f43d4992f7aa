/** The administration API: who may call what, and what goes wrong. */
import type { z } from 'zod'
import type { Drain } from '../addresses/drain.js'
import type { Claims } from '../claims/claimsMachine.js'
import type { Config } from '../config/configMachine.js'
import type { ConfigInput } from '../config/configTypes.js'
import type { Endpoints } from '../endpoints/endpointsMachine.js'
import type { Limits } from '../limits/limitsTypes.js'
import type { Membership } from '../membership/membershipTypes.js'
import type { Metrics } from '../metrics/metrics.js'
import type { Orders } from '../orders/ordersMachine.js'
import type { Requests } from '../requests/requestsMachine.js'
import type { RoutingRequest, Routing } from '../routing/routingTypes.js'
import type { Operator, RuleDecision } from '../rules/rulesTypes.js'
import type { Settings } from '../settings/settingsSchema.js'

export type { AdminError, RequiredRole } from './adminSchemas.js'

/** The instance, as the API sees it. */
export interface AdminNode {
  readonly settings: Settings
  readonly membership: Membership
  readonly config: Config
  readonly endpoints: Endpoints
  readonly limits: Limits
  readonly routing: Routing
  readonly claims: Claims
  readonly orders: Orders
  readonly drain: Drain
  readonly metrics: Metrics
  readonly requests: Requests
  /** What routing would be asked for a model request. */
  readonly createRoutingQuery: (admittee: { readonly workspace: string, readonly decision: RuleDecision, readonly deadline: number }, call: { readonly model: string, readonly adapter?: string, readonly prompt: readonly string[], readonly maxTokens?: number }) => RoutingRequest
  readonly dump: () => unknown
}

/** What an operation may ask of other features. */
export type AdminCommand =
  | ConfigInput
  | { readonly kind: 'endpoints.drain', readonly endpoint: string }
  | { readonly kind: 'drain.start' }

/** Passes what an operation asks of other features. */
export type Emit = (effect: { readonly kind: 'admin.ask', readonly input: AdminCommand }) => void

/** An operation's answer: JSON at once, or a publish that is answered later. */
export type AdminAnswer<Body = unknown> =
  | { readonly kind: 'json', readonly status: number, readonly body: Body }
  | { readonly kind: 'later' }

/** One call of an operator, its parts checked. */
export interface AdminCall<Query = unknown, Body = unknown> {
  readonly request: number
  readonly operator: Operator | undefined
  readonly params: Readonly<Record<string, string | undefined>>
  readonly query: Query
  readonly body: Body
}

/** What an operation takes as its body. */
export type BodyForm =
  | { readonly kind: 'none' }
  | { readonly kind: 'text' }
  | { readonly kind: 'json', readonly schema: z.ZodType }
