/**
 * HTTP server for callers and operators. It reads complete requests within the
 * configured limits, writes responses, and reports callers that read too slowly
 * or disconnect.
 */
import { createServer as createPlainServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { Server as NetServer, type Socket } from 'node:net'
import type { CallerEffect } from '../ports/callerPort.js'
import { errorAnswer, type CallerError } from '../requests/requestsErrors.js'
import type { Credentials } from './credentials.js'
import { listen, type ReportAdapterError } from './listening.js'
import { afterNextRead } from './nextRead.js'
import { followUsedConnections } from './usedConnections.js'

/** A request that was received completely. */
export interface ReceivedRequest {
  /** Number of the request, unique within the server. */
  readonly request: number
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Headers with names in lower case. */
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
  /** IP address of the client. */
  readonly remote: string
}

/** Events of the server. */
export interface HttpServerEvents {
  /** A complete request was received. */
  readonly arrived: (request: ReceivedRequest) => void
  /** The connection closed before the response was fully written. */
  readonly gone: (request: number) => void
  /** More than `writeBuffer` bytes of the response are buffered, because the caller reads too slowly. */
  readonly blocked: (request: number) => void
  /** The write buffer of a blocked response was drained. */
  readonly ready: (request: number) => void
  /** The server itself answered a request with an error. */
  readonly refused: (error: CallerError) => void
  /** Receives unexpected errors, with the place. */
  readonly reportError?: ReportAdapterError
}

/** Address and limits of the server; sizes in bytes, times in ms. */
export interface HttpServerOptions {
  readonly host: string
  readonly port: number
  readonly bodyLimit: number
  readonly headerLimit: number
  /** Time limit for receiving a request, and for receiving its headers. */
  readonly receiveTimeout: number
  /** Size of the buffered data above which a response is reported as blocked. */
  readonly writeBuffer: number
  /** Set to serve over TLS. */
  readonly credentials?: Credentials
}

/** HTTP server for callers or operators. */
export interface HttpServer {
  /** Starts to listen; resolves to the port. */
  readonly listen: () => Promise<number>
  /** Performs an effect on a request; ignored if the request has ended. */
  readonly perform: (effect: CallerEffect) => void
  /** Sends `Connection: close` with every further response, so that callers do not reuse their connections. */
  readonly setClosing: () => void
  /** Stops accepting connections, after those that wait to be accepted, and closes idle ones; requests in progress are completed. */
  readonly closeListener: () => void
  /**
   * After `closeListener`: resolves once no connection is open on which a request is being read or answered, or may come.
   * It does not wait for a caller that takes nothing of its whole answer for the receive timeout.
   */
  readonly flushed: () => Promise<void>
  /** Number of requests in progress. */
  readonly busy: () => number
  /** Closes all connections. */
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

const answerOnSocket = (socket: Socket, error: CallerError): void => {
  if (!socket.writable) return
  const { status, headers, body } = errorAnswer(error)
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.end(`HTTP/1.1 ${status} Error\r\n${lines}content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
}

const callerErrorOf = (code: string | undefined): CallerError => {
  if (code === 'HPE_HEADER_OVERFLOW') return { kind: 'header_too_large' }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return { kind: 'request_timeout' }
  return { kind: 'malformed_request', place: 'HTTP', reason: 'the request is not valid HTTP/1.1' }
}

/**
 * Creates a server.
 *
 * @param options - address and limits
 * @param events - receives the requests and their state changes
 * @returns the server, which is not listening yet
 */
export const createHttpServer = (options: HttpServerOptions, events: HttpServerEvents): HttpServer => {
  const responses = new Map<number, ServerResponse>()
  const blocked = new Set<number>()
  const newestRequests = new WeakMap<Socket, number>()
  let lastRequest = 0
  let closing = false
  let flushing = false
  let listenerClosing: Promise<void> | undefined

  const readBody = (message: IncomingMessage, response: ServerResponse, request: number): void => {
    const chunks: Buffer[] = []
    let size = 0
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= options.bodyLimit) chunks.push(chunk)
    })
    message.on('end', () => {
      if (size > options.bodyLimit) return refuse(response, { kind: 'body_too_large', limit: options.bodyLimit })
      if (responses.get(request) !== response) return
      events.arrived({ request, method: message.method ?? 'GET', path: message.url ?? '/', headers: headersOf(message), body: Buffer.concat(chunks), remote: message.socket.remoteAddress ?? '' })
    })
    message.on('error', () => { /* The response's close event reports that the caller is gone. */ })
  }

  const refuse = (response: ServerResponse, error: CallerError): void => {
    events.refused(error)
    const { status, headers, body } = errorAnswer(error)
    answer(response, status, { ...headers, connection: 'close' }, body)
  }

  const handleRequest = (message: IncomingMessage, response: ServerResponse): void => {
    const request = ++lastRequest
    // The server does not close responses that wait for the one before them on a closed connection.
    const close = (): void => {
      connections.end(message.socket, close)
      blocked.delete(request)
      if (responses.delete(request) && !response.writableFinished) events.gone(request)
    }
    connections.begin(message.socket, close)
    newestRequests.set(message.socket, request)
    response.on('close', close)
    const declared = Number(message.headers['content-length'] ?? 0)
    if (declared > options.bodyLimit) return refuse(response, { kind: 'body_too_large', limit: options.bodyLimit })
    responses.set(request, response)
    response.on('drain', () => {
      if (blocked.delete(request)) events.ready(request)
    })
    readBody(message, response, request)
  }

  const limits = { maxHeaderSize: options.headerLimit, requestTimeout: options.receiveTimeout, headersTimeout: options.receiveTimeout, connectionsCheckingInterval: 1_000 }
  const server: Server = options.credentials === undefined
    ? createPlainServer(limits, handleRequest)
    : createTlsServer({ ...limits, ...options.credentials.server }, handleRequest)
  const connections = followUsedConnections(server, options.credentials === undefined ? 'connection' : 'secureConnection')
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const callerError = callerErrorOf(error.code)
    if (error.code !== 'ECONNRESET') events.refused(callerError)
    answerOnSocket(socket, callerError)
  })

  /** Responses to earlier requests of a connection must not announce its end. */
  const announceClose = (request: number, response: ServerResponse): void => {
    if (closing && newestRequests.get(response.req.socket) === request) response.shouldKeepAlive = false
  }

  const boundFlush = (socket: Socket): void => {
    if (flushing) socket.setTimeout(options.receiveTimeout)
  }

  /** Whether a request of the connection is being read or has no whole answer yet. */
  const hasWork = (socket: Socket): boolean =>
    !socket.writableEnded && [...responses.values()].some(response => response.req.socket === socket && !response.writableEnded)

  // Nothing has been sent or received for the keep-alive timeout or, while flushing, the receive timeout.
  server.on('timeout', (socket: Socket) => { if (!hasWork(socket)) socket.destroy() })

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
      case 'caller.answer': {
        announceClose(effect.request, response)
        answer(response, effect.status, effect.headers, effect.body)
        return boundFlush(response.req.socket)
      }
      case 'caller.open': {
        announceClose(effect.request, response)
        response.writeHead(effect.status, effect.headers)
        response.flushHeaders()
        return
      }
      case 'caller.write': return write(effect.request, response, effect.data)
      case 'caller.end': {
        response.end()
        return boundFlush(response.req.socket)
      }
      case 'caller.abort': {
        response.destroy()
      }
    }
  }

  const startListening = async (): Promise<number> => {
    const port = await listen(server, options, events.reportError ?? (() => { /* Not reported. */ }))
    options.credentials?.onReload(renewed => 'setSecureContext' in server && (server as unknown as { setSecureContext: (context: object) => void }).setSecureContext(renewed.server))
    return port
  }

  const closeListener = (): void => {
    closing = true
    connections.closeIdle()
    // What waits in the kernel to be accepted would be reset.
    listenerClosing ??= new Promise(resolve => afterNextRead(() => {
      // The method of the HTTP server would also close connections whose response has been given whole but not sent.
      NetServer.prototype.close.call(server)
      connections.closeIdle()
      resolve()
    }))
  }

  const flushed = async (): Promise<void> => {
    await listenerClosing
    flushing = true
    for (const socket of connections.list()) boundFlush(socket)
    while (connections.size() > 0) {
      connections.closeIdle()
      await connections.nextEnd()
    }
  }

  return { listen: startListening, perform, setClosing: () => { closing = true }, closeListener, flushed, busy: () => responses.size, destroy: () => server.closeAllConnections() }
}
