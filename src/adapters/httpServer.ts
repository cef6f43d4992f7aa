/**
 * The HTTP side of callers and operators: gathers whole requests within the
 * limits of the settings, performs answers, and reports slow and gone callers.
 */
import { createServer as createPlainServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { CallerEffect } from '../ports/callerPort.js'
import { errorAnswer, type CallerError } from '../requests/requestsErrors.js'
import type { Credentials } from './credentials.js'

/** A request that arrived whole. */
export interface ArrivedRequest {
  readonly request: number
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
  readonly remote: string
}

/** What the server reports. */
export interface HttpEvents {
  readonly arrived: (request: ArrivedRequest) => void
  readonly gone: (request: number) => void
  readonly blocked: (request: number) => void
  readonly ready: (request: number) => void
  readonly refused: (error: CallerError) => void
}

/** Limits and addresses. Sizes in bytes, times in ms. */
export interface HttpOptions {
  readonly host: string
  readonly port: number
  readonly bodyLimit: number
  readonly headerLimit: number
  readonly receiveTimeout: number
  readonly writeBuffer: number
  readonly credentials?: Credentials
}

/** A listening server. */
export interface HttpServer {
  readonly listen: () => Promise<number>
  readonly perform: (effect: CallerEffect) => void
  /** Accepts no new connection; open ones finish. */
  readonly closeListener: () => void
  /** Connections that still serve a request. */
  readonly busy: () => number
  readonly destroy: () => void
}

const headersOf = (message: IncomingMessage): Record<string, string> => {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(message.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}

const answer = (response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, body: string | Uint8Array): void => {
  if (response.headersSent || response.destroyed) return
  response.writeHead(status, { ...headers, 'content-length': String(Buffer.byteLength(body)) })
  response.end(body)
}

const answerRawSocket = (socket: Socket, error: CallerError): void => {
  if (!socket.writable) return
  const { status, headers, body } = errorAnswer(error)
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.end(`HTTP/1.1 ${status} Error\r\n${lines}content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
}

const parserError = (code: string | undefined): CallerError => {
  if (code === 'HPE_HEADER_OVERFLOW') return { kind: 'header_too_large' }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return { kind: 'request_timeout' }
  return { kind: 'malformed_request', place: 'HTTP', reason: 'the request is not valid HTTP/1.1' }
}

/**
 * Creates a server that does not listen yet.
 *
 * @param options - addresses and limits
 * @param events - where requests and their fates are reported
 * @returns the server
 */
export const createHttpServer = (options: HttpOptions, events: HttpEvents): HttpServer => {
  const responses = new Map<number, ServerResponse>()
  const blocked = new Set<number>()
  let counter = 0
  let draining = false

  const gather = (message: IncomingMessage, response: ServerResponse, request: number): void => {
    const parts: Buffer[] = []
    let size = 0
    message.on('data', (part: Buffer) => {
      size += part.length
      if (size <= options.bodyLimit) parts.push(part)
    })
    message.on('end', () => {
      if (size > options.bodyLimit) return refuse(response, { kind: 'body_too_large', limit: options.bodyLimit })
      if (responses.get(request) !== response) return
      events.arrived({ request, method: message.method ?? 'GET', path: message.url ?? '/', headers: headersOf(message), body: Buffer.concat(parts), remote: message.socket.remoteAddress ?? '' })
    })
    message.on('error', () => { /* The response's close event reports the caller as gone. */ })
  }

  const refuse = (response: ServerResponse, error: CallerError): void => {
    events.refused(error)
    const { status, headers, body } = errorAnswer(error)
    answer(response, status, { ...headers, connection: 'close' }, body)
  }

  const serve = (message: IncomingMessage, response: ServerResponse): void => {
    const declared = Number(message.headers['content-length'] ?? 0)
    if (declared > options.bodyLimit) return refuse(response, { kind: 'body_too_large', limit: options.bodyLimit })
    const request = ++counter
    responses.set(request, response)
    response.on('close', () => {
      responses.delete(request)
      blocked.delete(request)
      if (!response.writableFinished) events.gone(request)
    })
    response.on('drain', () => {
      if (blocked.delete(request)) events.ready(request)
    })
    if (draining) response.setHeader('connection', 'close')
    gather(message, response, request)
  }

  const limits = { maxHeaderSize: options.headerLimit, requestTimeout: options.receiveTimeout, headersTimeout: options.receiveTimeout, connectionsCheckingInterval: 1_000 }
  const server: Server = options.credentials === undefined
    ? createPlainServer(limits, serve)
    : createTlsServer({ ...limits, ...options.credentials.server }, serve)
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const refusal = parserError(error.code)
    if (error.code !== 'ECONNRESET') events.refused(refusal)
    answerRawSocket(socket, refusal)
  })

  const write = (request: number, response: ServerResponse, data: string): void => {
    response.write(data)
    if (response.writableLength <= options.writeBuffer || blocked.has(request)) return
    blocked.add(request)
    events.blocked(request)
  }

  const perform = (effect: CallerEffect): void => {
    const response = responses.get(effect.request)
    if (response === undefined) return
    switch (effect.kind) {
      case 'caller.answer': return answer(response, effect.status, effect.headers, effect.body)
      case 'caller.open': {
        response.writeHead(effect.status, effect.headers)
        response.flushHeaders()
        return
      }
      case 'caller.write': return write(effect.request, response, effect.data)
      case 'caller.end': {
        response.end()
        return
      }
      case 'caller.abort': {
        response.destroy()
      }
    }
  }

  const listen = (): Promise<number> => new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, () => {
      options.credentials?.onReload(renewed => 'setSecureContext' in server && (server as unknown as { setSecureContext: (context: object) => void }).setSecureContext(renewed.server))
      resolve((server.address() as AddressInfo).port)
    })
  })

  const closeListener = (): void => {
    draining = true
    server.close()
    server.closeIdleConnections()
  }

  return { listen, perform, closeListener, busy: () => responses.size, destroy: () => server.closeAllConnections() }
}
