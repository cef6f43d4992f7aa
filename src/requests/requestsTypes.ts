/** Types of caller requests and of their attempts, and the schemas of the accepted bodies. */
import { z } from 'zod'
import type { WorkerChoice, InFlightRequest, RoutingRequest } from '../routing/routingTypes.js'
import type { RuleDecision } from '../rules/rulesTypes.js'
import type { StreamRelay } from '../streams/streamRelay.js'
import type { ResumePoint } from '../streams/streamsTypes.js'

const contentPart = z.looseObject({ type: z.string(), text: z.string().optional() })

const message = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(contentPart)]).nullish()
})

const common = {
  model: z.string().min(1),
  adapter: z.string().min(1).optional(),
  stream: z.boolean().nullish(),
  n: z.literal(1, { error: 'only one choice per request is served' }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish()
}

/** Body of `POST /v1/chat/completions`; keys not named here are passed to the engine unchecked. */
export const chatBodySchema = z.looseObject({ ...common, messages: z.array(message).min(1) })

/** Body of `POST /v1/completions`; keys not named here are passed to the engine unchecked. */
export const completionBodySchema = z.looseObject({ ...common, prompt: z.string() })

/** A validated body of `POST /v1/chat/completions`. */
export type ChatBody = z.infer<typeof chatBodySchema>
/** A validated body of `POST /v1/completions`. */
export type CompletionBody = z.infer<typeof completionBodySchema>

/** A validated model request. */
export interface ModelCall {
  readonly kind: 'model'
  readonly path: '/v1/chat/completions' | '/v1/completions'
  readonly body: Readonly<Record<string, unknown>>
  readonly model: string
  readonly adapter?: string
  readonly stream: boolean
  /** Maximum number of generated tokens, if the caller sets one. */
  readonly maxTokens?: number
  /** Prompt texts: one per chat message, or the single prompt of a completion. */
  readonly prompt: readonly string[]
}

/** A validated call to a plain service. */
export interface ServiceCall {
  readonly kind: 'service'
  readonly service: string
  readonly method: string
  /** Path at the service, including the query string. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
  readonly idempotencyKey?: string
}

/** Fields shared by model requests and service calls. */
interface RequestBase {
  readonly request: number
  readonly workspace: string
  /** SHA-256 of method, path and body, in hexadecimal. */
  readonly fingerprint: string
  /** Time of arrival, in ms. */
  readonly arrived: number
  /** Absolute time in ms by which a model request needs its first token, or a service call its whole answer. */
  readonly deadline: number
  readonly decision: RuleDecision
  /** Ids of endpoints that were tried without success. */
  readonly tried: string[]
  /** Time at which the caller disconnected, in ms; undefined while it is connected. */
  disconnectedAt: number | undefined
}

/** One dispatch of a model request to a worker. */
export interface ModelAttempt {
  readonly kind: 'model'
  readonly attempt: number
  readonly request: number
  readonly endpoint: string
  /** Request id at the engine, which the engine echoes on every event. */
  readonly engineRequest: string
  readonly incarnation: string
  readonly weightVersion: string
  /** Position of the engine's event 0 in the caller's stream. */
  readonly base: number
  /** Routing's record of the dispatch; absent when a running stream is resumed at its engine. */
  readonly flight?: InFlightRequest
  /** Signed prefix of all resume tokens of this attempt; empty for a request without streaming or when no resume key is configured. */
  readonly resumeTokenPrefix: string
  /** Time of the dispatch, in ms. */
  readonly startedAt: number
  /** Whether the answer's head arrived and passed the identity check. */
  headReceived: boolean
}

/** Maximum number of failed attempts of a model request; after that the caller gets an error. */
export const maxRecoveries = 4

/** An unfinished model request. */
export interface ModelRequest extends RequestBase {
  readonly kind: 'model'
  readonly call: ModelCall
  readonly routingRequest: RoutingRequest
  readonly relay: StreamRelay
  /** Position of the first event to send; the caller already has the events before it. */
  readonly forwardFrom: number
  /** Set if the caller resumes a stream. */
  readonly resume?: ResumePoint
  /** Reports the time of the first token to admission control. */
  readonly onFirstToken: (now: number) => void
  /** Ends the admission and reports the tokens used. */
  readonly release: (promptTokens: number, completionTokens: number, now: number) => void
  /** Id in the answer to the caller: the engine request id of the first attempt. */
  publicId: string
  attempt: ModelAttempt | undefined
  /** Another attempt while the current one is silent; neither has brought an event since it began. */
  second: ModelAttempt | undefined
  /** Earliest time of the next search for a second attempt, in ms. */
  nextSecondAt: number
  weightVersion: string | undefined
  /** Whether any byte of any attempt was sent, so that a worker may have run the request. */
  sent: boolean
  /** Number of failed attempts that recovery has handled so far. */
  recoveries: number
  /** Whether the response head was sent to the caller. */
  streamOpened: boolean
  /** Whether the caller reads too slowly, so that the attempt is paused. */
  blocked: boolean
  /** Time since which the caller reads again after it was blocked, in ms. */
  readyAt: number | undefined
  /** Time of the first token, in ms. */
  firstTokenAt: number | undefined
  /** Time of the latest token, in ms. */
  lastTokenAt: number | undefined
}

/** One dispatch of a call to a plain service. */
export interface ServiceAttempt {
  readonly kind: 'service'
  readonly attempt: number
  readonly request: number
  readonly endpoint: string
}

/** An unfinished service call. */
export interface ServiceRequest extends RequestBase {
  readonly kind: 'service'
  readonly call: ServiceCall
  /** Ends the admission; a service call reports no tokens. */
  readonly release: (promptTokens: number, completionTokens: number, now: number) => void
  attempt: ServiceAttempt | undefined
  /** Whether any byte of any attempt was sent. */
  sent: boolean
  /** Whether the caller has its answer; the endpoint's answer may still be pending. */
  answered: boolean
}

/** An unfinished model request or service call. */
export type ActiveRequest = ModelRequest | ServiceRequest

/** An unfinished attempt of either kind. */
export type ActiveAttempt = ModelAttempt | ServiceAttempt

/** A worker chosen for a request. */
export type { WorkerChoice as Choice }
