/** Interface between request handling and the other features of an instance. */
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

/** Effects of request handling: outputs to callers and endpoints, and inputs of other features. */
export type RequestsEffect =
  | CallerEffect
  | EndpointEffect
  | { readonly kind: 'requests.evidence', readonly input: Extract<EndpointsInput, { kind: 'endpoints.evidence' }> }
  | { readonly kind: 'requests.claims', readonly input: Extract<ClaimsInput, { kind: `claims.${string}` }> }

/** Settings of request handling; all durations are in ms. */
export interface RequestsOptions {
  /** Prefix of every request id that this process sends to an endpoint. */
  readonly idPrefix: string
  /** Generated tokens assumed for a request, unless its own maximum is lower. */
  readonly expectedTokens: number
  /** How long a stream keeps running after its caller disconnected. */
  readonly resumeGrace: number
  /** Age after which a resume token is refused. */
  readonly resumeWindow: number
  /** Time without a token after which a started stream gets a second attempt, and a multiple of which ends the first. */
  readonly stallTimeout: number
  /** Keys of resume tokens: the first one signs, all of them verify. */
  readonly resumeKeys: () => readonly string[]
  /** Maximum number of unfinished requests. */
  readonly inFlight: number
}

/** State and services of the instance that request handling uses. */
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
  /** Returns the ids of the endpoints that serve a plain service. */
  readonly serviceEndpoints: (service: string) => readonly string[]
  /** Returns the rules in force, or undefined while this instance has no configuration that is safe to use. */
  readonly ruleset: (now: number) => Ruleset | undefined
  /** Returns whether a call whose claim was granted may still be dispatched. */
  readonly mayDispatch: (request: number, now: number) => boolean
  readonly emit: (effect: RequestsEffect) => void
}
