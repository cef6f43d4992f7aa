/**
 * Relays one engine stream: checks that every event belongs to the request and
 * follows the one before it, and keeps the text so far, so that the stream can
 * continue elsewhere or be answered as a whole.
 */
import { mergeDelta } from './deltaMerge.js'
import { streamEventSchema, type RelayResult, type StreamEvent, type Usage } from './streamsTypes.js'

/** The state of one stream. */
export interface StreamRelay {
  /** Position of the next event to forward. */
  next: number
  text: string
  /** Events that carried text. */
  tokens: number
  /** The first choice, with all deltas merged. */
  readonly choice: Record<string, unknown>
  finishReason: string | undefined
  usage: Usage | undefined
}

/**
 * Starts a relay at the stream's first event.
 *
 * @returns the relay
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

const record = (relay: StreamRelay, event: StreamEvent): void => {
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
 * Takes one event.
 *
 * @param relay - the stream, which is advanced
 * @param engineRequest - the id that the event must carry
 * @param requestId - the id that the event carries
 * @param position - its position
 * @param data - its JSON text
 * @returns whether to forward it, or what is wrong
 */
export const relayEvent = (relay: StreamRelay, engineRequest: string, requestId: string, position: number, data: string): RelayResult => {
  if (requestId !== engineRequest) return { kind: 'crossed' }
  if (position < relay.next) return { kind: 'duplicate' }
  if (position > relay.next) return { kind: 'gap', expected: relay.next }
  const event = parseEvent(data)
  if (event === undefined) return { kind: 'garbled' }
  record(relay, event)
  return { kind: 'forward', event, position }
}
