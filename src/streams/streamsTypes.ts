/** What is known of one stream from an engine to a caller. */
import { z } from 'zod'

/** What identifies a stream in a resume token. */
export const streamIdentitySchema = z.strictObject({
  workspace: z.string(),
  endpoint: z.string(),
  /** The id under which the engine knows the stream. */
  engineRequest: z.string(),
  incarnation: z.string(),
  weightVersion: z.string(),
  /** Fingerprint of the caller's request. */
  fingerprint: z.string(),
  /** When the request arrived, in ms. */
  arrived: z.number()
})

/** A stream, as any instance can find it again. */
export type StreamIdentity = z.infer<typeof streamIdentitySchema>

/** Where a stream can be taken up again. */
export interface ResumePoint {
  readonly identity: StreamIdentity
  /** Position of the last event that the caller has. */
  readonly position: number
}

/** Why a resume token is not accepted. */
export type ResumeRefusal =
  | { readonly kind: 'malformedToken' }
  | { readonly kind: 'wrongSignature' }
  | { readonly kind: 'otherWorkspace' }
  | { readonly kind: 'otherRequest' }
  | { readonly kind: 'expiredToken' }

/** One engine event, as far as the relay reads it. */
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

/** A checked engine event. */
export type StreamEvent = z.infer<typeof streamEventSchema>

/** Token counts of one answer. */
export interface Usage {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly completionTokens: number
}

/** What the relay makes of one event. */
export type RelayResult =
  | { readonly kind: 'forward', readonly event: StreamEvent, readonly position: number }
  /** Seen before; dropped. */
  | { readonly kind: 'duplicate' }
  /** Events are missing before it. */
  | { readonly kind: 'gap', readonly expected: number }
  /** Belongs to another request. */
  | { readonly kind: 'crossed' }
  | { readonly kind: 'garbled' }
