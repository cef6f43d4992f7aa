/**
 * Parses the response of a model engine: headers, server-sent events and the end
 * marker. A response that violates the protocol becomes a typed failure.
 */
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage } from 'eventsource-parser'
import type { EndpointFailure, EndpointInput } from '../ports/endpointPort.js'
import type { ExchangeListener } from './httpExchange.js'

/** One attempt and the callbacks for its response. */
export interface ResponseListenerOptions {
  readonly attempt: number
  /** Position of the first event, used if events carry no id. */
  readonly from: number
  readonly emit: (input: EndpointInput) => void
  /** Called once, after the last input. */
  readonly done: () => void
  /** Closes the connection, whose remaining data is no longer reliable. */
  readonly abort: () => void
}

const endMarker = '[DONE]'
const maxEventLength = 1024 * 1024 // characters
const maxErrorBodyBytes = 1024 * 1024

/** Engines usually write the id first, so that the event's JSON is parsed only if they do not. */
const leadingRequestId = /^\{\s*"id"\s*:\s*"([^"\\]*)"/

const parseRequestId = (data: string): string | undefined => {
  try {
    const event: unknown = JSON.parse(data)
    if (typeof event !== 'object' || event === null || !('id' in event)) return undefined
    return typeof event.id === 'string' ? event.id : undefined
  } catch {
    return undefined
  }
}

const requestIdOf = (data: string): string | undefined => leadingRequestId.exec(data)?.[1] ?? parseRequestId(data)

const positionOf = (id: string | undefined, nextPosition: number): number | undefined => {
  if (id === undefined) return nextPosition
  return /^\d{1,15}$/.test(id) ? Number(id) : undefined
}

/**
 * Creates the listener of one exchange with a model engine. A response with
 * status 200 must be an event stream with the identity headers, and each event
 * must carry a request id and a valid position; otherwise the attempt fails as
 * `garbled` and the connection is closed. A stream that ends before its end
 * marker fails as `cut`. Any other status is emitted as `endpoint.answer` with
 * the complete body, of 1 MiB at most.
 *
 * @param options - the attempt and its callbacks
 * @returns a listener for the exchange
 */
export const createModelResponseListener = ({ attempt, from, emit, done, abort }: ResponseListenerOptions): ExchangeListener => {
  const decoder = new TextDecoder()
  const errorChunks: Buffer[] = []
  let errorBytes = 0
  let status = 0
  let headers: Readonly<Record<string, string>> = {}
  let nextPosition = from
  let finished = false

  const finish = (input: EndpointInput): void => {
    if (finished) return
    finished = true
    emit(input)
    done()
  }

  const fail = (failure: EndpointFailure): void => {
    if (finished) return
    finish({ kind: 'endpoint.failed', attempt, failure, sent: true })
    abort()
  }

  const onEvent = ({ id, data }: EventSourceMessage): void => {
    if (finished) return
    if (data === endMarker) return finish({ kind: 'endpoint.end', attempt })
    const position = positionOf(id, nextPosition)
    const requestId = requestIdOf(data)
    if (position === undefined || requestId === undefined) return fail('garbled')
    nextPosition = position + 1
    emit({ kind: 'endpoint.chunk', attempt, requestId, position, data })
  }

  const parser = createParser({ onEvent, onError: () => fail('garbled'), maxBufferSize: maxEventLength })

  const collectErrorBody = (chunk: Buffer): void => {
    errorBytes += chunk.length
    if (errorBytes > maxErrorBodyBytes) return fail('garbled')
    errorChunks.push(chunk)
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
    finish({ kind: 'endpoint.answer', attempt, requestId: headers['x-request-id'] ?? '', status, headers, body: Buffer.concat(errorChunks) })
  }

  return {
    head,
    data: chunk => {
      if (finished) return
      if (status === 200) return parser.feed(decoder.decode(chunk, { stream: true }))
      collectErrorBody(chunk)
    },
    end,
    failed: (failure, sent) => finish({ kind: 'endpoint.failed', attempt, failure, sent })
  }
}
