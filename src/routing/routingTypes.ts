/** Types of routing: which endpoint a request goes to, and the figures that the decision was based on. */
import type { Result } from 'neverthrow'
import type { Cache, PrefixMatch } from '../cache/cacheTypes.js'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { Hash } from '../hash.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import type { Random } from '../random.js'

/** A model request to be routed to a worker. */
export interface RoutingRequest {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  /** Required weight version; undefined accepts any that a live worker holds. */
  readonly weightVersion?: string
  readonly chain: PrefixChain
  readonly promptTokens: number
  /** Expected number of completion tokens. */
  readonly expectedTokens: number
  /** Scheduling priority; requests with a higher one go first. */
  readonly priority: number
  /** Value of the request to the operator, as the rules define it. */
  readonly worth: number
  /** Time by which the first token is due, in ms. */
  readonly deadline: number
  /** Ids of endpoints that must not be chosen, such as those tried before. */
  readonly exclude: readonly string[]
  /** Ids of the endpoints that the rules allow; undefined allows all. */
  readonly allowed?: readonly string[]
}

/** A call to a service other than a model, to be routed to an endpoint. */
export interface ServiceRoutingRequest {
  /** The name under which the endpoint's `models` list the service. */
  readonly service: string
  readonly exclude: readonly string[]
  readonly allowed?: readonly string[]
}

/**
 * Why a worker was chosen: `cached` if it is known or estimated to hold a prefix of the
 * prompt, `placed` if it is in the placement of the prompt's levels (the last one may be
 * missing), `spilled` if it is outside it, `alone` if it was the only worker scored.
 */
export type ChoiceReason = 'cached' | 'placed' | 'spilled' | 'alone'

/** The worker chosen for a request. */
export interface WorkerChoice {
  readonly endpoint: string
  readonly incarnation: string
  /** The weight version that the chosen worker holds. */
  readonly weightVersion: string
  /** Expected time from dispatch to the first token, in ms. */
  readonly expectedWait: number
  /** Prompt tokens expected to be in the worker's prefix cache. */
  readonly expectedCachedTokens: number
  /** Number of leading levels whose placement includes the worker. */
  readonly level: number
  readonly reason: ChoiceReason
  /** What was known of the worker's prefix cache for this prompt. */
  readonly match: PrefixMatch
}

/** The endpoint chosen for a service call. */
export interface ServiceChoice {
  readonly endpoint: string
  readonly incarnation: string
}

/**
 * Why there is no endpoint for a request: no live worker holds the model (`notHeld`), all
 * candidates are excluded or not allowed (`allExcluded`), or no live endpoint offers the
 * service (`noService`).
 */
export type NoEndpoint =
  | { readonly kind: 'noEndpoint', readonly reason: 'notHeld', readonly model: string, readonly weightVersion?: string }
  | { readonly kind: 'noEndpoint', readonly reason: 'allExcluded' }
  | { readonly kind: 'noEndpoint', readonly reason: 'noService', readonly service: string }

/** Token counts of a completed response. */
export interface Usage {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly completionTokens: number
}

/** A dispatched request, from `started` until `finished` or `failed`. */
export interface InFlightRequest {
  readonly request: RoutingRequest
  readonly choice: WorkerChoice
  /** Time of dispatch, in ms. */
  readonly startedAt: number
  /** Uncached tokens that the worker is expected to process before this request's first token, this request's included. */
  readonly tokensAhead: number
  /** Prompt tokens of this request expected not to be cached. */
  readonly uncachedTokens: number
  /** Time of the first token, in ms; undefined until it arrives. */
  firstTokenAt: number | undefined
  /** Whether the end of the request has been recorded. */
  ended: boolean
}

/** One scored candidate, as `explain` returns it. */
export interface ScoredEndpoint {
  readonly endpoint: string
  readonly incarnation: string
  /** Expected time until the worker starts to process the prompt, in ms. */
  readonly wait: number
  /** Prompt tokens expected to be in the worker's prefix cache. */
  readonly cachedTokens: number
  /** Whether the cached tokens are known from the worker's own events, without a gap. */
  readonly certain: boolean
  /** Prefill time of the worker per uncached token, in ms. */
  readonly prefillCost: number
  /** Expected time from dispatch to the first token, in ms. */
  readonly expectedWait: number
  /** Number of leading levels whose placement includes the worker. */
  readonly level: number
  /** The score, in ms; the lowest wins. */
  readonly score: number
}

/** Weights of the score. Deployments differ in these only; the mechanism is the same for all. */
export interface Objective {
  /** Weight of each recomputed token, in multiples of the fleet's mean prefill cost; the time to first token has weight 1. */
  readonly recomputation: number
  /** Weight of each prompt token that goes to a worker outside the placement of its level, in the same unit. */
  readonly placement: number
}

/** Dependencies and settings of routing. */
export interface RoutingOptions {
  readonly hash: Hash
  readonly random: Random
  readonly cache: Pick<Cache, 'matched' | 'learned' | 'holders'>
  readonly objective: Objective
  /** The data centre of this instance, preferred for service calls; undefined for no preference. */
  readonly dataCentre?: string
}

/** Favours a low tail of the time to first token over saved computation. */
export const latencyObjective: Objective = { recomputation: 0.2, placement: 0.3 }
/** Favours the worth served per unit of computation over the time to first token. */
export const worthObjective: Objective = { recomputation: 2, placement: 0.5 }

/** The statistics of one worker, for the state dump. */
export interface WorkerSummary {
  readonly endpoint: string
  readonly incarnation: string
  /** Requests of this instance dispatched and not ended. */
  readonly inFlight: number
  /** Uncached tokens of those requests that have had no first token yet. */
  readonly pendingTokens: number
  /** Prefill time per uncached token, in ms. */
  readonly prefillCost: number
  /** Mean time per generated token, in ms; 0 until known. */
  readonly tokenTime: number
  /** Mean time that a request holds a slot, in ms; 0 until known. */
  readonly serviceTime: number
}

/** The routing of one instance. Times are in ms. */
export interface Routing {
  /** Chooses a worker for a model request; changes no request counts. */
  readonly choose: (request: RoutingRequest, endpoints: readonly Endpoint[], now: number) => Result<WorkerChoice, NoEndpoint>
  /** Chooses an endpoint for a service call; changes no request counts. */
  readonly chooseService: (request: ServiceRoutingRequest, endpoints: readonly Endpoint[]) => Result<ServiceChoice, NoEndpoint>
  /** Records that a request was dispatched to the chosen worker. */
  readonly started: (request: RoutingRequest, choice: WorkerChoice, now: number) => InFlightRequest
  /** Records the first token of a request; ignored when repeated. */
  readonly firstToken: (dispatched: InFlightRequest, now: number) => void
  /** Records that the response to a request is complete; ignored once the request has ended. */
  readonly finished: (dispatched: InFlightRequest, usage: Usage, now: number) => void
  /** Records that a request ended without a complete response; ignored once the request has ended. */
  readonly failed: (dispatched: InFlightRequest) => void
  /** Records that a call was dispatched to the service endpoint with this id. */
  readonly serviceStarted: (endpoint: string) => void
  /** Records that a call to the service endpoint with this id ended. */
  readonly serviceEnded: (endpoint: string) => void
  /** Returns the scored candidates, best first. */
  readonly explain: (request: RoutingRequest, endpoints: readonly Endpoint[], now: number) => readonly ScoredEndpoint[]
  /** Returns the state for the dump: workers, service calls in flight by endpoint, level widths, and hit rates of placed workers by level position. */
  readonly dump: () => { readonly workers: readonly WorkerSummary[], readonly services: Readonly<Record<string, number>>, readonly widths: Readonly<Record<string, number>>, readonly beliefs: readonly number[] }
}
