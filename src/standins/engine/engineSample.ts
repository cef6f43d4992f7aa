/**
 * What a request asks the engine to generate. Every token is a fixed function
 * of the prompt, the seed, the weights and its position, so that a continuation
 * of the same answer can be told from another sample.
 */
import { z } from 'zod'
import type { Hash } from '../../hash.js'
import { bytesPerToken } from '../../prefix/prefixTypes.js'

const maxGenerated = 100_000 // tokens
const defaultGenerated = 32 // tokens

const bodySchema = z.object({
  model: z.string(),
  stream: z.literal(true),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1).optional(),
  prompt: z.string().optional(),
  max_tokens: z.number().int().positive().max(maxGenerated).nullish(),
  max_completion_tokens: z.number().int().positive().max(maxGenerated).nullish(),
  seed: z.number().int().default(0),
  continue_final_message: z.boolean().default(false),
  x_continue_tokens: z.number().int().nonnegative().default(0)
})

/** A request body that the engine understands. */
export type CompletionBody = z.infer<typeof bodySchema>

/** What is to be generated. */
export interface Sample {
  readonly chat: boolean
  readonly model: string
  /** The prompt's levels, with the part of the answer that is to be continued. */
  readonly texts: readonly string[]
  /** Equal for equal samples. */
  readonly key: string
  /** Position in the sample of the first token to generate. */
  readonly from: number
  readonly maxTokens: number
}

const words = [
  'able', 'bay', 'calm', 'door', 'east', 'fair', 'gate', 'hall', 'inn', 'jam', 'key', 'lane', 'mill', 'near', 'oak', 'park',
  'quay', 'road', 'sun', 'tree', 'unit', 'view', 'west', 'yard', 'zone', 'arch', 'barn', 'cove', 'dale', 'edge', 'farm', 'glen'
]
const trailingWord = / [a-z]+$/

/**
 * Counts tokens.
 *
 * @param texts - the prompt's levels
 * @returns the number of tokens
 */
export const countTokens = (texts: readonly string[]): number =>
  Math.ceil(texts.reduce((bytes, text) => bytes + Buffer.byteLength(text), 0) / bytesPerToken)

const withoutWords = (text: string, count: number): string => {
  let rest = text
  for (let index = 0; index < count; index++) rest = rest.replace(trailingWord, '')
  return rest
}

const originalTexts = (body: CompletionBody, texts: readonly string[]): readonly string[] => {
  if (body.messages === undefined) return texts.map(text => withoutWords(text, body.x_continue_tokens))
  const continued = body.continue_final_message && body.messages.at(-1)?.role === 'assistant'
  return continued ? texts.slice(0, -1) : texts
}

/**
 * Reads a request's body.
 *
 * @param json - the parsed body
 * @param weightVersion - the weights that will serve it
 * @returns what to generate, or the schema's complaint
 */
export const parseSample = (json: unknown, weightVersion: string): { readonly sample: Sample } | { readonly complaint: string } => {
  const parsed = bodySchema.safeParse(json)
  if (!parsed.success) return { complaint: parsed.error.message }
  const body = parsed.data
  const texts = body.messages?.map(({ content }) => content) ?? (body.prompt === undefined ? undefined : [body.prompt])
  if (texts === undefined) return { complaint: 'neither messages nor prompt' }
  const key = JSON.stringify([originalTexts(body, texts), body.seed, body.model, weightVersion])
  const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? defaultGenerated
  return { sample: { chat: body.messages !== undefined, model: body.model, texts, key, from: body.x_continue_tokens, maxTokens } }
}

/**
 * Creates the token function of a sample.
 *
 * @param hash - hash functions
 * @param key - the sample's key
 * @returns the token at a position, with the space before it
 */
export const createTokenFunction = (hash: Hash, key: string): (position: number) => string => {
  const seed = hash.h32(key)
  return position => ` ${words[hash.h32(String(position), seed) % words.length]}`
}
