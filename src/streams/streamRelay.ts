/**
 * Relays one engine stream: checks that every event belongs to the request and
 * directly follows the previous one, and accumulates the generated text, so that
 * the stream can be continued on another worker or returned as a single response.
 */
import { mergeDelta } from './deltaMerge.js'
import { streamEventSchema, type RelayResult, type StreamEvent, type Usage } from './streamsTypes.js'

/** State of one relayed stream. */
export interface StreamRelay {
  /** Position of the next event to forward. */
  next: number
  /** Text generated so far. */
  text: string
  /** Number of events with text. */
  tokens: number
  /** The first choice, with all deltas merged. */
  readonly choice: Record<string, unknown>
  finishReason: string | undefined
  usage: Usage | undefined
}

/**
 * Creates the relay state at the start of a stream.
 *
 * @returns relay state without any events
 */
export const createRelay = (): StreamRelay =>
  ({ next: 0, text: '', tokens: 0, choice: {}, finishReason: undefined, usage: undefined })

const parseEvent = (data: string): StreamEvent | undefined => {
  try {
    const parsed = streamEventSchema.safeParse(JSON.parse(data))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

const textOf = (choice: NonNullable<StreamEvent['choices']>[number] | undefined): string =>
  choice?.delta?.content ?? choice?.text ?? ''

const usageOf = (event: StreamEvent): Usage | undefined => {
  const usage = event.usage
  if (usage === undefined || usage === null) return undefined
  return {
    promptTokens: usage.prompt_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    completionTokens: usage.completion_tokens
  }
}

const appendEvent = (relay: StreamRelay, event: StreamEvent): void => {
  const choice = event.choices?.[0]
  const text = textOf(choice)
  if (choice !== undefined) mergeDelta(relay.choice, choice)
  relay.next++
  relay.text += text
  if (text !== '') relay.tokens++
  relay.finishReason = choice?.finish_reason ?? relay.finishReason
  relay.usage = usageOf(event) ?? relay.usage
}

/**
 * Checks one event and, if it is the next one, appends it to the relay state.
 *
 * @param relay - relay state, which is modified
 * @param engineRequest - engine request id that the event must have
 * @param requestId - engine request id that the event has
 * @param position - position of the event in the stream
 * @param data - JSON text of the event
 * @returns the event to forward, or the reason for not forwarding it
 */
export const relayEvent = (relay: StreamRelay, engineRequest: string, requestId: string, position: number, data: string): RelayResult => {
  if (requestId !== engineRequest) return { kind: 'crossed' }
  if (position < relay.next) return { kind: 'duplicate' }
  if (position > relay.next) return { kind: 'gap', expected: relay.next }
  const event = parseEvent(data)
  if (event === undefined) return { kind: 'garbled' }
  appendEvent(relay, event)
  return { kind: 'forward', event, position }
}
