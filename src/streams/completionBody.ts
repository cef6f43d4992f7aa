/** Builds the response body of a completion request without streaming. */
import type { StreamRelay } from './streamRelay.js'

/** Fields of the response that do not come from the stream. */
export interface CompletionMetadata {
  readonly id: string
  readonly path: '/v1/chat/completions' | '/v1/completions'
  readonly model: string
  /** When the request arrived, in ms. */
  readonly arrived: number
}

const msPerSecond = 1000

const buildChoice = (metadata: CompletionMetadata, relay: StreamRelay): Record<string, unknown> => {
  const { delta, text: _text, ...rest } = relay.choice
  const finish = { index: 0, finish_reason: relay.finishReason ?? null }
  if (metadata.path === '/v1/completions') return { ...rest, ...finish, text: relay.text }
  const message = { role: 'assistant', content: null, ...(delta as object | undefined) }
  return { ...rest, ...finish, message }
}

const buildUsage = (relay: StreamRelay): Record<string, unknown> | undefined => {
  if (relay.usage === undefined) return undefined
  const { promptTokens, completionTokens, cachedTokens } = relay.usage
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens }
  }
}

/**
 * Builds the JSON response body from a finished stream, in the format of the OpenAI API.
 *
 * @param metadata - id, path, model and arrival time of the request
 * @param relay - relay state of the finished stream
 * @returns JSON text
 */
export const buildCompletionBody = (metadata: CompletionMetadata, relay: StreamRelay): string => JSON.stringify({
  id: metadata.id,
  object: metadata.path === '/v1/completions' ? 'text_completion' : 'chat.completion',
  created: Math.floor(metadata.arrived / msPerSecond),
  model: metadata.model,
  choices: [buildChoice(metadata, relay)],
  usage: buildUsage(relay)
})
