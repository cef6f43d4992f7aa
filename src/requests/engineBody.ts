/**
 * The engine's request body: the caller's own, or, where a stream has to go on
 * at another worker, the same with the tokens already relayed put after the
 * prompt, so that no token is sampled twice.
 */
import type { StreamRelay } from '../streams/streamRelay.js'
import type { ModelCall } from './requestsTypes.js'

const remaining = (call: ModelCall, relay: StreamRelay): Record<string, number> => {
  if (call.maxTokens === undefined) return {}
  const left = Math.max(1, call.maxTokens - relay.tokens)
  return call.body.max_completion_tokens === undefined ? { max_tokens: left } : { max_completion_tokens: left }
}

/**
 * Builds the body.
 *
 * @param call - the caller's request
 * @param relay - what has been relayed so far
 * @returns the JSON body for the engine, always as a stream with usage
 */
export const buildEngineBody = (call: ModelCall, relay: StreamRelay): Readonly<Record<string, unknown>> => {
  const streaming = { ...call.body, stream: true, stream_options: { include_usage: true } }
  if (relay.text === '') return streaming
  const shared = { ...streaming, ...remaining(call, relay), x_continue_tokens: relay.tokens }
  if (call.path === '/v1/completions') return { ...shared, prompt: `${String(call.body.prompt)}${relay.text}` }
  const messages = [...(call.body.messages as unknown[]), { role: 'assistant', content: relay.text }]
  return { ...shared, messages, continue_final_message: true, add_generation_prompt: false }
}
