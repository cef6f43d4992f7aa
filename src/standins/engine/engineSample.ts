/**
 * Parsing of completion requests and deterministic token generation. Every token
 * is a function of the prompt, the seed, the model, the weight version and its
 * position, so a test can distinguish the continuation of a sample from another
 * sample.
 */
import { z } from 'zod'
import type { Hash } from '../../hash.js'
import { bytesPerToken } from '../../prefix/prefixTypes.js'

const maxCompletionTokens = 100_000 // tokens
const defaultCompletionTokens = 32 // tokens

const bodySchema = z.object({
  model: z.string(),
  stream: z.literal(true),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1).optional(),
  prompt: z.string().optional(),
  max_tokens: z.number().int().positive().max(maxCompletionTokens).nullish(),
  max_completion_tokens: z.number().int().positive().max(maxCompletionTokens).nullish(),
  seed: z.number().int().default(0),
  continue_final_message: z.boolean().default(false),
  x_continue_tokens: z.number().int().nonnegative().default(0)
})

/** A validated body of a completion request. */
export type CompletionBody = z.infer<typeof bodySchema>

/** The parameters of a sample, that is of the token sequence to generate for a request. */
export interface Sample {
  /** Whether the request is a chat completion. */
  readonly chat: boolean
  readonly model: string
  /** The texts of the prompt's levels, including the partial output to continue. */
  readonly texts: readonly string[]
  /** Identifies the token sequence: requests with the same key get the same tokens. */
  readonly key: string
  /** Position in the sample of the first token to generate. */
  readonly from: number
  /** Maximum number of tokens to generate. */
  readonly maxTokens: number
}

const vocabulary = [
  'able', 'bay', 'calm', 'door', 'east', 'fair', 'gate', 'hall', 'inn', 'jam', 'key', 'lane', 'mill', 'near', 'oak', 'park',
  'quay', 'road', 'sun', 'tree', 'unit', 'view', 'west', 'yard', 'zone', 'arch', 'barn', 'cove', 'dale', 'edge', 'farm', 'glen'
]
const trailingWordPattern = / [a-z]+$/

/**
 * Estimates the number of prompt tokens from the length in bytes.
 *
 * @param texts - the texts of the prompt's levels
 * @returns the number of tokens
 */
export const countTokens = (texts: readonly string[]): number =>
  Math.ceil(texts.reduce((bytes, text) => bytes + Buffer.byteLength(text), 0) / bytesPerToken)

const removeTrailingWords = (text: string, count: number): string => {
  let rest = text
  for (let index = 0; index < count; index++) rest = rest.replace(trailingWordPattern, '')
  return rest
}

const originalTexts = (body: CompletionBody, texts: readonly string[]): readonly string[] => {
  if (body.messages === undefined) return texts.map(text => removeTrailingWords(text, body.x_continue_tokens))
  const continued = body.continue_final_message && body.messages.at(-1)?.role === 'assistant'
  return continued ? texts.slice(0, -1) : texts
}

/**
 * Parses the body of a completion request.
 *
 * @param json - the parsed JSON body
 * @param weightVersion - the weight version that will serve the request
 * @returns the sample to generate, or a message that says why the body is not valid
 */
export const parseSample = (json: unknown, weightVersion: string): { readonly sample: Sample } | { readonly complaint: string } => {
  const parsed = bodySchema.safeParse(json)
  if (!parsed.success) return { complaint: parsed.error.message }
  const body = parsed.data
  const texts = body.messages?.map(({ content }) => content) ?? (body.prompt === undefined ? undefined : [body.prompt])
  if (texts === undefined) return { complaint: 'the body has neither messages nor prompt' }
  const key = JSON.stringify([originalTexts(body, texts), body.seed, body.model, weightVersion])
  const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? defaultCompletionTokens
  return { sample: { chat: body.messages !== undefined, model: body.model, texts, key, from: body.x_continue_tokens, maxTokens } }
}

/**
 * Creates the token function of a sample.
 *
 * @param hash - hash functions
 * @param key - the sample's key
 * @returns a function that returns the token at a position, with a leading space
 */
export const createTokenFunction = (hash: Hash, key: string): (position: number) => string => {
  const seed = hash.h32(key)
  return position => ` ${vocabulary[hash.h32(String(position), seed) % vocabulary.length]}`
}
