/**
 * Builds the request body for an engine: the caller's body, or, when a stream
 * continues at another worker, the same body with the tokens relayed so far
 * appended to the prompt, so that no token is sampled twice.
 */
import type { StreamRelay } from '../streams/streamRelay.js'
import type { ModelCall } from './requestsTypes.js'

const remainingTokens = (call: ModelCall, relay: StreamRelay): Record<string, number> => {
  if (call.maxTokens === undefined) return {}
  const maxTokens = Math.max(1, call.maxTokens - relay.tokens)
  return call.body.max_completion_tokens === undefined ? { max_tokens: maxTokens } : { max_completion_tokens: maxTokens }
}

/**
 * Builds the body of an engine request, which always requests a stream that reports token usage.
 *
 * @param call - the caller's request
 * @param relay - the stream relayed so far
 * @returns the body, ready to be serialised as JSON
 */
export const buildEngineBody = (call: ModelCall, relay: StreamRelay): Readonly<Record<string, unknown>> => {
  const streamingBody = { ...call.body, stream: true, stream_options: { include_usage: true } }
  if (relay.text === '') return streamingBody
  const continuationBody = { ...streamingBody, ...remainingTokens(call, relay), x_continue_tokens: relay.tokens }
  if (call.path === '/v1/completions') return { ...continuationBody, prompt: `${String(call.body.prompt)}${relay.text}` }
  const messages = [...(call.body.messages as unknown[]), { role: 'assistant', content: relay.text }]
  return { ...continuationBody, messages, continue_final_message: true, add_generation_prompt: false }
}
