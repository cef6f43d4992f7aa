/**
 * Reads a model engine's answer: response headers, server-sent events, end
 * marker. What does not have the agreed form becomes a typed failure.
 */
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage } from 'eventsource-parser'
import type { EndpointFailure, EndpointInput } from '../ports/endpointPort.js'
import type { ExchangeListener } from './httpExchange.js'

/** Settings of one reading. */
export interface StreamReading {
  readonly attempt: number
  /** The first event's position where events carry none. */
  readonly from: number
  readonly emit: (input: EndpointInput) => void
  /** Called once, after the last input. */
  readonly done: () => void
  /** Closes the connection, which can't be trusted any more. */
  readonly abort: () => void
}

const endMarker = '[DONE]'
const maxEventLength = 1024 * 1024 // characters
const maxRefusalBytes = 1024 * 1024

/** Engines write the id first; the whole event is parsed only where they do not. */
const leadingIdentifier = /^\{\s*"id"\s*:\s*"([^"\\]*)"/

const parsedIdentifier = (data: string): string | undefined => {
  try {
    const event: unknown = JSON.parse(data)
    if (typeof event !== 'object' || event === null || !('id' in event)) return undefined
    return typeof event.id === 'string' ? event.id : undefined
  } catch {
    return undefined
  }
}

const identifierOf = (data: string): string | undefined => leadingIdentifier.exec(data)?.[1] ?? parsedIdentifier(data)

const positionOf = (id: string | undefined, next: number): number | undefined => {
  if (id === undefined) return next
  return /^\d{1,15}$/.test(id) ? Number(id) : undefined
}

/**
 * Creates the listener of one model exchange.
 *
 * @param reading - the attempt and where its inputs go
 * @returns a listener for the exchange
 */
export const readModelAnswer = ({ attempt, from, emit, done, abort }: StreamReading): ExchangeListener => {
  const decoder = new TextDecoder()
  const refusal: Buffer[] = []
  let refusalBytes = 0
  let status = 0
  let headers: Readonly<Record<string, string>> = {}
  let next = from
  let over = false

  const finish = (input: EndpointInput): void => {
    if (over) return
    over = true
    emit(input)
    done()
  }

  const fail = (failure: EndpointFailure): void => {
    if (over) return
    finish({ kind: 'endpoint.failed', attempt, failure, sent: true })
    abort()
  }

  const onEvent = ({ id, data }: EventSourceMessage): void => {
    if (over) return
    if (data === endMarker) return finish({ kind: 'endpoint.end', attempt })
    const position = positionOf(id, next)
    const requestId = identifierOf(data)
    if (position === undefined || requestId === undefined) return fail('garbled')
    next = position + 1
    emit({ kind: 'endpoint.chunk', attempt, requestId, position, data })
  }

  const parser = createParser({ onEvent, onError: () => fail('garbled'), maxBufferSize: maxEventLength })

  const refuse = (chunk: Buffer): void => {
    refusalBytes += chunk.length
    if (refusalBytes > maxRefusalBytes) return fail('garbled')
    refusal.push(chunk)
  }

  const head = (code: number, received: Readonly<Record<string, string>>): void => {
    status = code
    headers = received
    if (status !== 200) return
    const requestId = headers['x-request-id']
    const incarnation = headers['x-incarnation']
    const weightVersion = headers['x-weight-version']
    const isStream = headers['content-type']?.startsWith('text/event-stream') === true
    if (!isStream || requestId === undefined || incarnation === undefined || weightVersion === undefined) return fail('garbled')
    emit({ kind: 'endpoint.head', attempt, status, requestId, incarnation, weightVersion })
  }

  const end = (): void => {
    if (status === 200) return fail('cut')
    finish({ kind: 'endpoint.answer', attempt, requestId: headers['x-request-id'] ?? '', status, headers, body: Buffer.concat(refusal) })
  }

  return {
    head,
    data: chunk => {
      if (over) return
      if (status === 200) return parser.feed(decoder.decode(chunk, { stream: true }))
      refuse(chunk)
    },
    end,
    failed: (failure, sent) => finish({ kind: 'endpoint.failed', attempt, failure, sent })
  }
}
