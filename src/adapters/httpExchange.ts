/**
 * HTTP client for single exchanges over keep-alive connections. An exchange is
 * never retried here, and a failure states whether any byte of the request may
 * have been sent.
 */
import { Agent, errors } from 'undici'
import type { Dispatcher } from 'undici'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Address } from '../endpoints/endpointsTypes.js'
import { createConnector } from './connectionEnds.js'
import { checkHead, InvalidHead } from './responseHead.js'

/** Certificates and key in PEM form, of a client whose exchanges all use TLS. */
export interface TlsMaterial {
  readonly ca?: string
  readonly cert?: string
  readonly key?: string
}

/** Settings of the client; times in ms. */
export interface HttpClientOptions {
  /** Time limit for establishing a connection. */
  readonly connectTimeout?: number
  /** Time limit for the response headers. */
  readonly headersTimeout?: number
  /** Time limit between two chunks of the response body. */
  readonly bodyTimeout?: number
  /** Set to use TLS for all exchanges. */
  readonly tls?: TlsMaterial
}

/**
 * Why an exchange failed: no connection (`refused`), a connection closed before
 * the end of the response (`cut`), a time limit exceeded, or a malformed message
 * (`garbled`).
 */
export type ExchangeFailure = 'refused' | 'cut' | 'timeout' | 'garbled'

/** Error of an exchange that yielded no complete response. */
export interface ExchangeError {
  readonly kind: ExchangeFailure
}

/** An HTTP request to send. */
export interface HttpRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string | Uint8Array
}

/** Callbacks of an exchange, in the order in which they are called; `failed` may end the exchange at any point. */
export interface ExchangeListener {
  readonly head: (status: number, headers: Readonly<Record<string, string>>) => void
  readonly data: (chunk: Buffer) => void
  readonly end: () => void
  readonly failed: (failure: ExchangeFailure, sent: boolean) => void
}

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection; the listener is not called again. */
  readonly abort: () => void
  /** Stops reading the response body until `resume`. */
  readonly pause: () => void
  readonly resume: () => void
}

/** A response with a JSON body; the body is `undefined` if it is empty. */
export interface JsonResponse {
  readonly status: number
  readonly body: unknown
}

/** HTTP client for any number of addresses. */
export interface HttpClient {
  /** Starts an exchange; the listener is first called after `start` has returned. */
  readonly start: (address: Address, request: HttpRequest, listener: ExchangeListener) => Exchange
  /** Performs a complete JSON exchange, which fails if it takes more than `timeout` ms. */
  readonly json: (address: Address, request: HttpRequest, timeout: number) => Promise<Result<JsonResponse, ExchangeError>>
  /** Closes all connections; exchanges in progress fail. */
  readonly close: () => Promise<void>
}

const defaultConnectTimeout = 2_000 // ms
const defaultHeadersTimeout = 120_000 // ms
const defaultBodyTimeout = 60_000 // ms
const idleTimeout = 4_000 // ms; how long an idle connection is kept open
const maxJsonBytes = 16 * 1024 * 1024

/** Error passed to the HTTP library when an exchange is aborted on purpose. */
class ExchangeAborted extends Error {
  override readonly name = 'ExchangeAborted'
}

const timeoutCodes = new Set(['UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'ETIMEDOUT'])
const protocolErrorCodes = new Set(['UND_ERR_HEADERS_OVERFLOW', 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH', 'UND_ERR_INVALID_ARG'])

const errorCode = (error: Error): string => 'code' in error && typeof error.code === 'string' ? error.code : ''

const classifyError = (error: Error, sent: boolean): ExchangeFailure => {
  const code = errorCode(error)
  if (timeoutCodes.has(code)) return 'timeout'
  if (protocolErrorCodes.has(code) || error instanceof errors.HTTPParserError || error instanceof InvalidHead) return 'garbled'
  return sent ? 'cut' : 'refused'
}

const joinHeaderValues = (headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> => {
  const result: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue
    result[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return result
}

const originOf = ({ host, port }: Address, secure: boolean): string =>
  `${secure ? 'https' : 'http'}://${host.includes(':') ? `[${host}]` : host}:${port}`

/**
 * Creates a client. Requests are not pipelined: each exchange in progress has
 * its own connection, so that no request waits for the response to another.
 *
 * @param options - timeouts in ms and TLS credentials
 * @returns the client
 */
export const createHttpClient = (options: HttpClientOptions = {}): HttpClient => {
  const agent = new Agent({
    pipelining: 1,
    keepAliveTimeout: idleTimeout,
    headersTimeout: options.headersTimeout ?? defaultHeadersTimeout,
    bodyTimeout: options.bodyTimeout ?? defaultBodyTimeout,
    connect: createConnector({ timeout: options.connectTimeout ?? defaultConnectTimeout, ...options.tls })
  })

  const start = (address: Address, request: HttpRequest, listener: ExchangeListener): Exchange => {
    let controller: Dispatcher.DispatchController | undefined
    let sent = false
    let finished = false
    let paused = false
    let dispatchReturned = false

    const fail = (failure: ExchangeFailure): void => {
      if (finished) return
      finished = true
      if (dispatchReturned) return listener.failed(failure, sent)
      setImmediate(() => listener.failed(failure, sent))
    }

    const abort = (): void => {
      finished = true
      controller?.abort(new ExchangeAborted())
    }

    agent.dispatch({
      origin: originOf(address, options.tls !== undefined),
      method: request.method,
      path: request.path,
      headers: { ...request.headers },
      body: request.body
    }, {
      onRequestStart: started => {
        controller = started
        if (finished) return abort()
        sent = true
      },
      onResponseStart: (_, status, headers) => {
        checkHead(status, headers['transfer-encoding'])
        if (finished || status < 200) return
        listener.head(status, joinHeaderValues(headers))
        if (paused) controller?.pause()
      },
      onResponseData: (_, chunk) => {
        if (!finished) listener.data(chunk)
      },
      onResponseEnd: () => {
        if (finished) return
        finished = true
        listener.end()
      },
      onResponseError: (_, error) => fail(classifyError(error, sent))
    })
    dispatchReturned = true

    const pause = (): void => {
      paused = true
      controller?.pause()
    }
    const resume = (): void => {
      paused = false
      controller?.resume()
    }
    return { abort, pause, resume }
  }

  const json = (address: Address, request: HttpRequest, timeout: number): Promise<Result<JsonResponse, ExchangeError>> =>
    new Promise(resolve => {
      let status = 0
      let size = 0
      const chunks: Buffer[] = []
      const settle = (result: Result<JsonResponse, ExchangeError>): void => {
        clearTimeout(timer)
        resolve(result)
      }
      const abortWith = (failure: ExchangeFailure): void => {
        exchange.abort()
        settle(err({ kind: failure }))
      }
      const timer = setTimeout(() => abortWith('timeout'), timeout)
      const exchange = start(address, request, {
        head: code => { status = code },
        data: chunk => {
          size += chunk.length
          if (size > maxJsonBytes) return abortWith('garbled')
          chunks.push(chunk)
        },
        end: () => settle(parseJsonResponse(status, Buffer.concat(chunks))),
        failed: failure => settle(err({ kind: failure }))
      })
    })

  return { start, json, close: () => agent.destroy() }
}

const parseJsonResponse = (status: number, bytes: Buffer): Result<JsonResponse, ExchangeError> => {
  if (bytes.length === 0) return ok({ status, body: undefined })
  try {
    return ok({ status, body: JSON.parse(bytes.toString('utf8')) })
  } catch {
    return err({ kind: 'garbled' })
  }
}

/**
 * Builds a request with a JSON body.
 *
 * @param method - HTTP method
 * @param path - path and query
 * @param body - JSON value; if undefined, the request has no body
 * @returns the request
 */
export const jsonRequest = (method: string, path: string, body?: unknown): HttpRequest => ({
  method,
  path,
  headers: body === undefined ? {} : { 'content-type': 'application/json' },
  body: body === undefined ? undefined : JSON.stringify(body)
})
