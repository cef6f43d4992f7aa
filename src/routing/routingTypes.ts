/** Which worker gets a request, and what the decision was based on. */
import type { Result } from 'neverthrow'
import type { Cache, PrefixMatch } from '../cache/cacheTypes.js'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { Hash } from '../hash.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import type { Random } from '../random.js'

/** A model request that needs a worker. */
export interface RoutingRequest {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  /** The weight version that must answer; undefined takes any that a live worker holds. */
  readonly weightVersion?: string
  readonly chain: PrefixChain
  readonly promptTokens: number
  /** Tokens that the answer is expected to have. */
  readonly expectedTokens: number
  readonly priority: number
  readonly worth: number
  /** The time by which the first token is due, in ms. */
  readonly deadline: number
  /** Endpoints that must not be chosen, such as those tried before. */
  readonly exclude: readonly string[]
  /** Endpoints that the rules admit; undefined admits all. */
  readonly allowed?: readonly string[]
}

/** A call to a plain service that needs an endpoint. */
export interface ServiceRoutingRequest {
  /** The name under which the endpoint's `models` list the service. */
  readonly service: string
  readonly exclude: readonly string[]
  readonly allowed?: readonly string[]
}

/** Why a worker was chosen. */
export type ChoiceReason = 'cached' | 'placed' | 'spilled' | 'alone'

/** A worker for a request. */
export interface WorkerChoice {
  readonly endpoint: string
  readonly incarnation: string
  /** The weight version that the chosen worker holds. */
  readonly weightVersion: string
  /** Expected time from dispatch to the first token, in ms. */
  readonly expectedWait: number
  readonly expectedCachedTokens: number
  /** Number of leading levels whose placement includes the worker. */
  readonly level: number
  readonly reason: ChoiceReason
  readonly match: PrefixMatch
}

/** An endpoint for a service call. */
export interface ServiceChoice {
  readonly endpoint: string
  readonly incarnation: string
}

/** Why there is no endpoint for a request. */
export type NoEndpoint =
  | { readonly kind: 'noEndpoint', readonly reason: 'notHeld', readonly model: string, readonly weightVersion?: string }
  | { readonly kind: 'noEndpoint', readonly reason: 'allExcluded' }
  | { readonly kind: 'noEndpoint', readonly reason: 'noService', readonly service: string }

/** What an answer cost. */
export interface Usage {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly completionTokens: number
}

/** One dispatched request, from `started` until `finished` or `failed`. */
export interface InFlightRequest {
  readonly request: RoutingRequest
  readonly choice: WorkerChoice
  readonly startedAt: number
  /** Tokens that the worker is expected to compute before this request's first token, its own included. */
  readonly tokensAhead: number
  readonly uncachedTokens: number
  firstTokenAt: number | undefined
  ended: boolean
}

/** One line of an explanation. */
export interface ScoredEndpoint {
  readonly endpoint: string
  readonly incarnation: string
  /** Expected time until the worker starts on the prompt, in ms. */
  readonly wait: number
  readonly cachedTokens: number
  readonly certain: boolean
  /** The worker's own time per uncached token, in ms. */
  readonly prefillCost: number
  readonly expectedWait: number
  /** Number of leading levels whose placement includes the worker. */
  readonly level: number
  /** What decides; the lowest wins, in ms. */
  readonly score: number
}

/** Weights that differ between deployments; everything else is one mechanism. */
export interface Objective {
  /** Weight on each recomputed token, in multiples of the fleet's mean prefill cost; the time to the first token weighs 1. */
  readonly recomputation: number
  /** Weight on each token placed outside the workers of its level, in the same unit. */
  readonly placement: number
}

/** Settings of routing. */
export interface RoutingOptions {
  readonly hash: Hash
  readonly random: Random
  readonly cache: Pick<Cache, 'matched' | 'learned' | 'holders'>
  readonly objective: Objective
  /** The instance's own data centre, preferred for service calls. */
  readonly dataCentre?: string
}

/** The tail of time to first token goes first. */
export const latencyObjective: Objective = { recomputation: 0.2, placement: 0.3 }
/** Worth served per unit of computation goes first. */
export const worthObjective: Objective = { recomputation: 2, placement: 0.5 }

/** The learned state of one worker, for the state dump. */
export interface WorkerSummary {
  readonly endpoint: string
  readonly incarnation: string
  readonly inFlight: number
  readonly pendingTokens: number
  readonly prefillCost: number
  readonly tokenTime: number
  readonly serviceTime: number
}

/** The routing of one instance. */
export interface Routing {
  readonly choose: (question: RoutingRequest, endpoints: readonly Endpoint[], now: number) => Result<WorkerChoice, NoEndpoint>
  readonly chooseService: (question: ServiceRoutingRequest, endpoints: readonly Endpoint[]) => Result<ServiceChoice, NoEndpoint>
  readonly started: (question: RoutingRequest, choice: WorkerChoice, now: number) => InFlightRequest
  readonly firstToken: (flight: InFlightRequest, now: number) => void
  readonly finished: (flight: InFlightRequest, usage: Usage, now: number) => void
  /** The attempt ended without a whole answer. */
  readonly failed: (flight: InFlightRequest) => void
  readonly serviceStarted: (endpoint: string) => void
  readonly serviceEnded: (endpoint: string) => void
  /** The scored candidates, best first. */
  readonly explain: (question: RoutingRequest, endpoints: readonly Endpoint[], now: number) => readonly ScoredEndpoint[]
  readonly dump: () => { readonly workers: readonly WorkerSummary[], readonly services: Readonly<Record<string, number>>, readonly widths: Readonly<Record<string, number>>, readonly beliefs: readonly number[] }
}
