/** Builds the answer of a request that did not ask for a stream. */
import type { StreamRelay } from './streamRelay.js'

/** What the answer names besides the text. */
export interface CompletionMetadata {
  readonly id: string
  readonly path: '/v1/chat/completions' | '/v1/completions'
  readonly model: string
  /** When the request arrived, in ms. */
  readonly arrived: number
}

const msPerSecond = 1000

const choiceOf = (frame: CompletionMetadata, relay: StreamRelay): Record<string, unknown> => {
  const { delta, text: _text, ...rest } = relay.choice
  const finish = { index: 0, finish_reason: relay.finishReason ?? null }
  if (frame.path === '/v1/completions') return { ...rest, ...finish, text: relay.text }
  const message = { role: 'assistant', content: null, ...(delta as object | undefined) }
  return { ...rest, ...finish, message }
}

const usageOf = (relay: StreamRelay): Record<string, unknown> | undefined => {
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
 * Turns a finished stream into one JSON answer.
 *
 * @param frame - what the answer names
 * @param relay - the finished stream
 * @returns JSON text
 */
export const buildCompletionBody = (frame: CompletionMetadata, relay: StreamRelay): string => JSON.stringify({
  id: frame.id,
  object: frame.path === '/v1/completions' ? 'text_completion' : 'chat.completion',
  created: Math.floor(frame.arrived / msPerSecond),
  model: frame.model,
  choices: [choiceOf(frame, relay)],
  usage: usageOf(relay)
})
