/** Types of the administration API: the features that operations use, their calls and their answers. */
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

/** Features and settings of the instance that the operations use. */
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
  /** Builds the routing request of a model request without sending it. */
  readonly createRoutingRequest: (authorised: { readonly workspace: string, readonly decision: RuleDecision, readonly deadline: number }, call: { readonly model: string, readonly adapter?: string, readonly prompt: readonly string[], readonly maxTokens?: number }) => RoutingRequest
  readonly dump: () => unknown
}

/** Inputs that an operation may pass to other features of the instance. */
export type AdminCommand =
  | ConfigInput
  | { readonly kind: 'endpoints.drain', readonly endpoint: string }
  | { readonly kind: 'drain.start' }

/** Passes a command of an operation to another feature. */
export type Emit = (effect: { readonly kind: 'admin.ask', readonly input: AdminCommand }) => void

/** Result of an operation: a JSON answer, or `later` for a publish, which is answered once its result is known. */
export type AdminAnswer<Body = unknown> =
  | { readonly kind: 'json', readonly status: number, readonly body: Body }
  | { readonly kind: 'later' }

/** A call of an operator with validated query and body. */
export interface AdminCall<Query = unknown, Body = unknown> {
  readonly request: number
  readonly operator: Operator | undefined
  readonly params: Readonly<Record<string, string | undefined>>
  readonly query: Query
  readonly body: Body
}

/** Format of the request body of an operation. */
export type BodyFormat =
  | { readonly kind: 'none' }
  | { readonly kind: 'text' }
  | { readonly kind: 'json', readonly schema: z.ZodType }
