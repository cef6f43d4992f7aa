/** Types of streams from an engine to a caller, and of resuming them. */
import { z } from 'zod'

/** Schema of the stream identity in a resume token. */
export const streamIdentitySchema = z.strictObject({
  workspace: z.string(),
  endpoint: z.string(),
  /** Id of the request at the engine. */
  engineRequest: z.string(),
  incarnation: z.string(),
  weightVersion: z.string(),
  /** Fingerprint of the caller's request. */
  fingerprint: z.string(),
  /** When the request arrived, in ms. */
  arrived: z.number(),
  /** Position of the engine's event 0 in the caller's stream; absent if the engine began the answer. */
  base: z.number().optional()
})

/** Identity of a stream, by which any instance can find it at its engine. */
export type StreamIdentity = z.infer<typeof streamIdentitySchema>

/** Point at which a stream can be resumed. */
export interface ResumePoint {
  readonly identity: StreamIdentity
  /** Position of the last event that the caller received. */
  readonly position: number
}

/** Reason for rejecting a resume token. */
export type ResumeRefusal =
  | { readonly kind: 'malformedToken' }
  | { readonly kind: 'wrongSignature' }
  | { readonly kind: 'otherWorkspace' }
  | { readonly kind: 'otherRequest' }
  | { readonly kind: 'expiredToken' }

/** Schema of the fields of an engine event that the relay uses. */
export const streamEventSchema = z.looseObject({
  id: z.string().optional(),
  choices: z.array(z.looseObject({
    index: z.number().optional(),
    text: z.string().optional(),
    delta: z.looseObject({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish()
  })).optional(),
  usage: z.looseObject({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
    prompt_tokens_details: z.looseObject({ cached_tokens: z.number().nullish() }).nullish()
  }).nullish()
})

/** A validated engine event. */
export type StreamEvent = z.infer<typeof streamEventSchema>

/** Token counts of one response. */
export interface Usage {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly completionTokens: number
}

/** Result of relaying one event. */
export type RelayResult =
  | { readonly kind: 'forward', readonly event: StreamEvent, readonly position: number }
  /** The event has been received before and is dropped. */
  | { readonly kind: 'duplicate' }
  /** Events are missing before this one; `expected` is the position of the first missing one. */
  | { readonly kind: 'gap', readonly expected: number }
  /** The event belongs to another request. */
  | { readonly kind: 'crossed' }
  /** The event is not valid JSON or does not match the schema. */
  | { readonly kind: 'garbled' }
