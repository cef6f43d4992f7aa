/**
 * Single HTTP exchanges over kept-alive connections. One exchange is one
 * attempt: nothing here sends a request a second time, and a failure tells
 * whether any byte of the request can have left.
 */
import { Agent, errors } from 'undici'
import type { Dispatcher } from 'undici'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Address } from '../endpoints/endpointsTypes.js'

/** Certificates and key in PEM form; set, all exchanges go over TLS. */
export interface TlsMaterial {
  readonly ca?: string
  readonly cert?: string
  readonly key?: string
}

/** Settings of the client; times in ms. */
export interface HttpClientOptions {
  readonly connectTimeout?: number
  /** Longest wait for the response's headers. */
  readonly headersTimeout?: number
  /** Longest silence inside a response's body. */
  readonly bodyTimeout?: number
  readonly tls?: TlsMaterial
}

/** Why an exchange failed. */
export type ExchangeFailure = 'refused' | 'cut' | 'timeout' | 'garbled'

/** An exchange without an answer. */
export interface FailedExchange {
  readonly kind: ExchangeFailure
}

/** A request as it goes out. */
export interface HttpRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string | Uint8Array
}

/** What an exchange reports, in this order; `failed` ends it at any point. */
export interface ExchangeListener {
  readonly head: (status: number, headers: Readonly<Record<string, string>>) => void
  readonly data: (chunk: Buffer) => void
  readonly end: () => void
  readonly failed: (failure: ExchangeFailure, sent: boolean) => void
}

/** A running exchange. */
export interface Exchange {
  /** Closes the connection; the listener hears nothing more. */
  readonly abort: () => void
  readonly pause: () => void
  readonly resume: () => void
}

/** A JSON response. */
export interface JsonAnswer {
  readonly status: number
  readonly body: unknown
}

/** A client for exchanges with any number of addresses. */
export interface HttpClient {
  readonly start: (address: Address, request: HttpRequest, listener: ExchangeListener) => Exchange
  /** A whole JSON exchange that fails after `timeout` ms. */
  readonly json: (address: Address, request: HttpRequest, timeout: number) => Promise<Result<JsonAnswer, FailedExchange>>
  readonly close: () => Promise<void>
}

const defaultConnectTimeout = 2_000 // ms
const defaultHeadersTimeout = 120_000 // ms
const defaultBodyTimeout = 60_000 // ms
const idleTimeout = 4_000 // ms that an unused connection is kept
const maxJsonBytes = 16 * 1024 * 1024

/** The reason given to the HTTP library for closing an exchange on request. */
class ExchangeAborted extends Error {
  override readonly name = 'ExchangeAborted'
}

const timeoutCodes = new Set(['UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'ETIMEDOUT'])
const garbledCodes = new Set(['UND_ERR_HEADERS_OVERFLOW', 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH', 'UND_ERR_INVALID_ARG'])

const codeOf = (error: Error): string => 'code' in error && typeof error.code === 'string' ? error.code : ''

const failureOf = (error: Error, sent: boolean): ExchangeFailure => {
  const code = codeOf(error)
  if (timeoutCodes.has(code)) return 'timeout'
  if (garbledCodes.has(code) || error instanceof errors.HTTPParserError) return 'garbled'
  return sent ? 'cut' : 'refused'
}

const flat = (headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> => {
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
 * Creates a client. Each busy exchange has a connection of its own, so that no
 * request waits behind another's answer.
 *
 * @param options - timeouts in ms and TLS material
 * @returns the client
 */
export const createHttpClient = (options: HttpClientOptions = {}): HttpClient => {
  const agent = new Agent({
    pipelining: 1,
    keepAliveTimeout: idleTimeout,
    headersTimeout: options.headersTimeout ?? defaultHeadersTimeout,
    bodyTimeout: options.bodyTimeout ?? defaultBodyTimeout,
    connect: { timeout: options.connectTimeout ?? defaultConnectTimeout, ...options.tls }
  })

  const start = (address: Address, request: HttpRequest, listener: ExchangeListener): Exchange => {
    let controller: Dispatcher.DispatchController | undefined
    let sent = false
    let over = false
    let paused = false
    let returned = false

    const fail = (failure: ExchangeFailure): void => {
      if (over) return
      over = true
      if (returned) return listener.failed(failure, sent)
      setImmediate(() => listener.failed(failure, sent))
    }

    const abort = (): void => {
      over = true
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
        if (over) return abort()
        sent = true
      },
      onResponseStart: (_, status, headers) => {
        if (over || status < 200) return
        listener.head(status, flat(headers))
        if (paused) controller?.pause()
      },
      onResponseData: (_, chunk) => {
        if (!over) listener.data(chunk)
      },
      onResponseEnd: () => {
        if (over) return
        over = true
        listener.end()
      },
      onResponseError: (_, error) => fail(failureOf(error, sent))
    })
    returned = true

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

  const json = (address: Address, request: HttpRequest, timeout: number): Promise<Result<JsonAnswer, FailedExchange>> =>
    new Promise(resolve => {
      let status = 0
      let size = 0
      const chunks: Buffer[] = []
      const settle = (result: Result<JsonAnswer, FailedExchange>): void => {
        clearTimeout(timer)
        resolve(result)
      }
      const stop = (failure: ExchangeFailure): void => {
        exchange.abort()
        settle(err({ kind: failure }))
      }
      const timer = setTimeout(() => stop('timeout'), timeout)
      const exchange = start(address, request, {
        head: code => { status = code },
        data: chunk => {
          size += chunk.length
          if (size > maxJsonBytes) return stop('garbled')
          chunks.push(chunk)
        },
        end: () => settle(parse(status, Buffer.concat(chunks))),
        failed: failure => settle(err({ kind: failure }))
      })
    })

  return { start, json, close: () => agent.destroy() }
}

const parse = (status: number, bytes: Buffer): Result<JsonAnswer, FailedExchange> => {
  if (bytes.length === 0) return ok({ status, body: undefined })
  try {
    return ok({ status, body: JSON.parse(bytes.toString('utf8')) })
  } catch {
    return err({ kind: 'garbled' })
  }
}

/**
 * Builds a request that carries JSON.
 *
 * @param method - HTTP method
 * @param path - path with query
 * @param body - JSON value; undefined sends no body
 * @returns the request
 */
export const jsonRequest = (method: string, path: string, body?: unknown): HttpRequest => ({
  method,
  path,
  headers: body === undefined ? {} : { 'content-type': 'application/json' },
  body: body === undefined ? undefined : JSON.stringify(body)
})
