/** What the handling of requests needs from the rest of the node. */
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { EndpointsInput } from '../endpoints/endpointsContext.js'
import type { ClaimsInput } from '../claims/claimsTypes.js'
import type { Limits } from '../limits/limitsTypes.js'
import type { Metrics } from '../metrics/metrics.js'
import type { CallerEffect } from '../ports/callerPort.js'
import type { EndpointEffect } from '../ports/endpointPort.js'
import type { PrefixHasher } from '../prefix/prefixTypes.js'
import type { Random } from '../random.js'
import type { Routing } from '../routing/routingTypes.js'
import type { Ruleset } from '../rules/rulesTypes.js'
import type { RequestsDb } from './requestsDb.js'

/** What requests ask of the outside and of other features. */
export type RequestsEffect =
  | CallerEffect
  | EndpointEffect
  | { readonly kind: 'requests.evidence', readonly input: Extract<EndpointsInput, { kind: 'endpoints.evidence' }> }
  | { readonly kind: 'requests.claims', readonly input: Extract<ClaimsInput, { kind: `claims.${string}` }> }

/** Settings of request handling; times in ms. */
export interface RequestsOptions {
  /** Starts every id that this process gives to an engine. */
  readonly idPrefix: string
  readonly expectedTokens: number
  readonly resumeGrace: number
  readonly resumeWindow: number
  /** Silence in a begun stream after which its worker is given up. */
  readonly stallTimeout: number
  /** The first signs, all verify. */
  readonly resumeKeys: () => readonly string[]
  readonly inFlight: number
}

/** The node, as request handling sees it. */
export interface RequestsContext {
  readonly options: RequestsOptions
  readonly db: RequestsDb
  readonly random: Random
  readonly prefix: PrefixHasher
  readonly routing: Routing
  readonly limits: Limits
  readonly metrics: Metrics
  readonly endpoints: () => readonly Endpoint[]
  readonly endpoint: (id: string) => Endpoint | undefined
  /** Endpoints that serve a plain service by name. */
  readonly serviceEndpoints: (service: string) => readonly string[]
  /** The rules in force, or undefined while none may be relied on. */
  readonly ruleset: (now: number) => Ruleset | undefined
  /** Whether a granted call may still be dispatched. */
  readonly mayDispatch: (request: number, now: number) => boolean
  readonly emit: (effect: RequestsEffect) => void
}
