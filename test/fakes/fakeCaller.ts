/**
 * A caller in virtual time. It builds requests and reads their answers as a client library does,
 * including server-sent events and the `last-event-id` header of a resumed stream. The fake fleet
 * sends the requests and retries them.
 */
import type { CallerEffect, CallerInput } from '../../src/ports/callerPort.js'

/** One answer as the caller received it; `whole` is a complete answer, and `retryAfter` is in ms. */
export type ReceivedAnswer =
  | { readonly kind: 'whole', readonly status: number, readonly body: string }
  | { readonly kind: 'error', readonly status: number, readonly type: string, readonly outcome: string, readonly retryAfter: number | undefined }
  /** The connection was closed before the answer was complete. */
  | { readonly kind: 'cut' }

/** A request with all of its retries, and the answers received so far. */
export interface Conversation {
  readonly name: string
  readonly workspace: string
  readonly method: string
  readonly path: string
  readonly body: string
  readonly headers: Readonly<Record<string, string>>
  /** Generated text of a stream, concatenated over its resumptions. */
  text: string
  /** Id of the last event received; sent as `last-event-id` on the next attempt. */
  lastEventId: string | undefined
  /** Requests sent so far. */
  tries: number
  /** Answers received, one for each request. */
  readonly answers: ReceivedAnswer[]
  /** The final answer, set when no further retry follows. */
  result: ReceivedAnswer | undefined
}

/** One request and its answer on one connection. */
export interface Exchange {
  readonly input: Extract<CallerInput, { kind: 'caller.request' }>
  /** Handles an effect for this request; returns the answer once it has ended, undefined before. */
  readonly handleEffect: (effect: CallerEffect) => ReceivedAnswer | undefined
}

const parseError = (status: number, body: string): ReceivedAnswer => {
  const { error } = JSON.parse(body) as { error: { type: string, outcome: string, retry_after_ms?: number } }
  return { kind: 'error', status, type: error.type, outcome: error.outcome, retryAfter: error.retry_after_ms }
}

/** Lowest HTTP status that is not a success. */
const okLimit = 300

/**
 * Creates an exchange.
 *
 * @param conversation - the conversation; text and event ids of a stream are added to it
 * @param request - request number at the instance
 */
export const createExchange = (conversation: Conversation, request: number): Exchange => {
  let streamed = false
  let doneReceived = false

  const handleEvent = (data: string): ReceivedAnswer | undefined => {
    const id = /^id: (.*)$/m.exec(data)?.[1]
    const payload = /^data: (.*)$/m.exec(data)?.[1] ?? ''
    if (data.startsWith('event: error')) return parseError(200, payload)
    if (payload === '[DONE]') {
      doneReceived = true
      return undefined
    }
    const event = JSON.parse(payload) as { choices: { delta: { content?: string } }[] }
    conversation.text += event.choices[0]?.delta.content ?? ''
    if (id !== undefined) conversation.lastEventId = id
    return undefined
  }

  const handleEffect = (effect: CallerEffect): ReceivedAnswer | undefined => {
    switch (effect.kind) {
      case 'caller.answer': {
        const body = typeof effect.body === 'string' ? effect.body : Buffer.from(effect.body).toString()
        return effect.status < okLimit ? { kind: 'whole', status: effect.status, body } : parseError(effect.status, body)
      }
      case 'caller.open':
        streamed = true
        return undefined
      case 'caller.write': return handleEvent(effect.data)
      case 'caller.end': return streamed && doneReceived ? { kind: 'whole', status: 200, body: conversation.text } : { kind: 'cut' }
      case 'caller.abort': return { kind: 'cut' }
    }
  }

  const resume: Record<string, string> = conversation.lastEventId === undefined ? {} : { 'last-event-id': conversation.lastEventId }
  const { method, path, headers, body } = conversation
  return { input: { kind: 'caller.request', request, method, path, headers: { ...headers, ...resume }, body: Buffer.from(body), remote: '127.0.0.1' }, handleEffect }
}

/** A chat request, streamed unless `stream` is false. */
export interface ChatRequest {
  readonly name: string
  readonly workspace: string
  /** Messages; the last is the user's, the others are system messages. */
  readonly prompt: readonly string[]
  /** Maximum number of tokens to generate. */
  readonly tokens: number
  readonly stream?: boolean
}

const createConversation = (name: string, workspace: string, path: string, body: string, headers: Record<string, string>): Conversation => ({
  name,
  workspace,
  method: 'POST',
  path,
  body,
  headers: { authorization: `Bearer demo-key-${workspace}`, ...headers },
  text: '',
  lastEventId: undefined,
  tries: 0,
  answers: [],
  result: undefined
})

/**
 * Creates a chat request to the model `drafter`.
 *
 * @param request - name of the caller, workspace, prompt and number of tokens
 */
export const chat = ({ name, workspace, prompt, tokens, stream = true }: ChatRequest): Conversation => {
  const messages = prompt.map((content, index) => ({ role: index === prompt.length - 1 ? 'user' : 'system', content }))
  return createConversation(name, workspace, '/v1/chat/completions', JSON.stringify({ model: 'drafter', stream, max_tokens: tokens, messages }), {})
}

/**
 * Creates a call of the bookings service, which may run at most once.
 *
 * @param name - name of the caller
 * @param workspace - workspace of the caller
 * @param key - idempotency key
 */
export const booking = (name: string, workspace: string, key: string): Conversation =>
  createConversation(name, workspace, '/v1/services/bookings/bookings', JSON.stringify({ slot: key }), { 'idempotency-key': key })
