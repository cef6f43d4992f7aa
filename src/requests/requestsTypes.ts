/** Requests of callers, from their arrival to their outcome. */
import { z } from 'zod'
import type { Choice, Flight, Question } from '../routing/routingTypes.js'
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

/** Body of `POST /v1/chat/completions`; keys not named here go to the engine unread. */
export const chatBodySchema = z.looseObject({ ...common, messages: z.array(message).min(1) })

/** Body of `POST /v1/completions`. */
export const completionBodySchema = z.looseObject({ ...common, prompt: z.string() })

/** A chat body. */
export type ChatBody = z.infer<typeof chatBodySchema>
/** A plain completion body. */
export type CompletionBody = z.infer<typeof completionBodySchema>

/** A checked model request. */
export interface ModelCall {
  readonly kind: 'model'
  readonly path: '/v1/chat/completions' | '/v1/completions'
  readonly body: Readonly<Record<string, unknown>>
  readonly model: string
  readonly adapter?: string
  readonly stream: boolean
  /** Generated tokens at most, if the caller names a maximum. */
  readonly maxTokens?: number
  /** Prompt texts, one per message. */
  readonly prompt: readonly string[]
}

/** A checked call to a plain service. */
export interface ServiceCall {
  readonly kind: 'service'
  readonly service: string
  readonly method: string
  /** Path at the service, with query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
  readonly idempotencyKey?: string
}

/** What every request has. */
interface RequestBase {
  readonly request: number
  readonly workspace: string
  /** Hash of method, path and body. */
  readonly fingerprint: string
  readonly arrived: number
  /** Absolute, in ms: first token of a stream, whole answer of a service call. */
  readonly deadline: number
  readonly decision: RuleDecision
  /** Endpoints tried without success. */
  readonly tried: string[]
  /** When the caller went away, in ms. */
  disconnectedAt: number | undefined
}

/** One dispatch to a worker. */
export interface ModelAttempt {
  readonly kind: 'model'
  readonly attempt: number
  readonly request: number
  readonly endpoint: string
  readonly engineRequest: string
  readonly incarnation: string
  readonly weightVersion: string
  /** Position in the caller's stream of the engine's event 0. */
  readonly base: number
  /** Absent for a stream taken up again at the engine that runs it. */
  readonly flight?: Flight
  /** What all resume tokens of this attempt share; empty if resuming is off. */
  readonly resumeTokenPrefix: string
  /** In ms. */
  readonly startedAt: number
  headReceived: boolean
}

/** A model request that is not finished. */
export interface ModelRequest extends RequestBase {
  readonly kind: 'model'
  readonly call: ModelCall
  readonly routingQuery: Question
  readonly relay: StreamRelay
  /** Events before this position are not sent to the caller, who has them. */
  readonly forwardFrom: number
  readonly resume?: ResumePoint
  /** Tells the limits when the first token came. */
  readonly sawFirstToken: (now: number) => void
  readonly release: (promptTokens: number, completionTokens: number, now: number) => void
  publicId: string
  attempt: ModelAttempt | undefined
  weightVersion: string | undefined
  /** Whether some byte of some attempt left, so that a worker may have run it. */
  sent: boolean
  /** Recoveries of the stream so far. */
  recoveries: number
  streamOpened: boolean
  blocked: boolean
  firstTokenAt: number | undefined
  lastTokenAt: number | undefined
}

/** One dispatch to a plain service. */
export interface ServiceAttempt {
  readonly kind: 'service'
  readonly attempt: number
  readonly request: number
  readonly endpoint: string
}

/** A service call that is not finished. */
export interface ServiceRequest extends RequestBase {
  readonly kind: 'service'
  readonly call: ServiceCall
  readonly release: (promptTokens: number, completionTokens: number, now: number) => void
  attempt: ServiceAttempt | undefined
  /** Whether some byte of some attempt left. */
  sent: boolean
  /** Set once the caller has its answer, while the endpoint's is still awaited. */
  answered: boolean
}

/** A request that is not finished. */
export type ActiveRequest = ModelRequest | ServiceRequest

/** A dispatch that is not finished. */
export type ActiveAttempt = ModelAttempt | ServiceAttempt

/** A worker chosen for a request. */
export type { Choice }
