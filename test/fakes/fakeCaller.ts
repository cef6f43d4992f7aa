/**
 * A caller in virtual time: asks which addresses to use, sends a request,
 * reads the answer as a client library would, and comes back when told to.
 */
import type { CallerEffect, CallerInput } from '../../src/ports/callerPort.js'

/** One answer, as the caller saw it. */
export type ReceivedAnswer =
  | { readonly kind: 'whole', readonly status: number, readonly body: string }
  | { readonly kind: 'error', readonly status: number, readonly type: string, readonly outcome: string, readonly retryAfter: number | undefined }
  /** The connection broke before the answer was complete. */
  | { readonly kind: 'cut' }

/** What the caller sends, and what it has heard so far. */
export interface Conversation {
  readonly name: string
  readonly workspace: string
  readonly method: string
  readonly path: string
  readonly body: string
  readonly headers: Readonly<Record<string, string>>
  /** Text of a stream over all its parts. */
  text: string
  lastEventId: string | undefined
  tries: number
  readonly heard: ReceivedAnswer[]
  /** Set when nothing more is to be done. */
  result: ReceivedAnswer | undefined
}

/** One exchange on one connection. */
export interface Exchange {
  readonly input: Extract<CallerInput, { kind: 'caller.request' }>
  /** Takes an effect; answers with what was heard once the answer is over. */
  readonly handleEffect: (effect: CallerEffect) => ReceivedAnswer | undefined
}

const parseError = (status: number, body: string): ReceivedAnswer => {
  const { error } = JSON.parse(body) as { error: { type: string, outcome: string, retry_after_ms?: number } }
  return { kind: 'error', status, type: error.type, outcome: error.outcome, retryAfter: error.retry_after_ms }
}

const okLimit = 300

/**
 * Starts an exchange.
 *
 * @param conversation - who asks for what; streams add their text to it
 * @param request - number of the request at the instance
 */
export const createExchange = (conversation: Conversation, request: number): Exchange => {
  let streamed = false
  let ended = false

  const takeEvent = (data: string): ReceivedAnswer | undefined => {
    const id = /^id: (.*)$/m.exec(data)?.[1]
    const payload = /^data: (.*)$/m.exec(data)?.[1] ?? ''
    if (data.startsWith('event: error')) return parseError(200, payload)
    if (payload === '[DONE]') {
      ended = true
      return undefined
    }
    const event = JSON.parse(payload) as { choices: { delta: { content?: string } }[] }
    conversation.text += event.choices[0]?.delta.content ?? ''
    if (id !== undefined) conversation.lastEventId = id
    return undefined
  }

  const take = (effect: CallerEffect): ReceivedAnswer | undefined => {
    switch (effect.kind) {
      case 'caller.answer': {
        const body = typeof effect.body === 'string' ? effect.body : Buffer.from(effect.body).toString()
        return effect.status < okLimit ? { kind: 'whole', status: effect.status, body } : parseError(effect.status, body)
      }
      case 'caller.open':
        streamed = true
        return undefined
      case 'caller.write': return takeEvent(effect.data)
      case 'caller.end': return streamed && ended ? { kind: 'whole', status: 200, body: conversation.text } : { kind: 'cut' }
      case 'caller.abort': return { kind: 'cut' }
    }
  }

  const resume: Record<string, string> = conversation.lastEventId === undefined ? {} : { 'last-event-id': conversation.lastEventId }
  const { method, path, headers, body } = conversation
  return { input: { kind: 'caller.request', request, method, path, headers: { ...headers, ...resume }, body: Buffer.from(body), remote: '127.0.0.1' }, handleEffect: take }
}

/** A streamed chat request. */
export interface ChatRequest {
  readonly name: string
  readonly workspace: string
  readonly prompt: readonly string[]
  readonly tokens: number
  readonly stream?: boolean
}

const conversation = (name: string, workspace: string, path: string, body: string, headers: Record<string, string>): Conversation => ({
  name,
  workspace,
  method: 'POST',
  path,
  body,
  headers: { authorization: `Bearer demo-key-${workspace}`, ...headers },
  text: '',
  lastEventId: undefined,
  tries: 0,
  heard: [],
  result: undefined
})

/**
 * A chat request.
 *
 * @param order - who asks for what
 */
export const chat = ({ name, workspace, prompt, tokens, stream = true }: ChatRequest): Conversation => {
  const messages = prompt.map((content, index) => ({ role: index === prompt.length - 1 ? 'user' : 'system', content }))
  return conversation(name, workspace, '/v1/chat/completions', JSON.stringify({ model: 'drafter', stream, max_tokens: tokens, messages }), {})
}

/**
 * A call that may not be repeated.
 *
 * @param name - of the caller
 * @param workspace - the caller's workspace
 * @param key - idempotency key
 */
export const booking = (name: string, workspace: string, key: string): Conversation =>
  conversation(name, workspace, '/v1/services/bookings/bookings', JSON.stringify({ slot: key }), { 'idempotency-key': key })
