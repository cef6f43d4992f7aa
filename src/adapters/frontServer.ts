/**
 * HTTP server for the callers of a gateway. Requests are read completely, decoded
 * and passed to the core; the core's responses are sent byte for byte.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ForwardEffect, ForwardInput } from '../ports/forwardPort.js'
import type { WireCodec } from '../ports/platformPort.js'

/** Effects on requests of callers. */
export type CallEffect = Extract<ForwardEffect, { readonly request: number }>

/** Address and codec of the server. */
export interface FrontServerOptions {
  readonly host: string
  readonly port: number
  /** Maximum size of a request's headers, in bytes. */
  readonly headerBytes: number
  /** Decodes a received request. */
  readonly decode: WireCodec['decodeCall']
}

/** Limits from the configuration. */
export interface FrontLimits {
  /** Maximum size of a request body, in bytes. */
  readonly bodyBytes: number
  /** Keep-alive timeout of an idle connection, in ms. */
  readonly idleTimeout: number
  /** Time limit for receiving the headers, in ms. */
  readonly headerTimeout: number
}

/** HTTP server for callers. */
export interface FrontServer {
  /** Starts to listen; resolves to the port. */
  readonly listen: () => Promise<number>
  /** Performs an effect on a request; ignored if the request has ended. */
  readonly perform: (effect: CallEffect) => void
  /** Replaces the limits. */
  readonly setLimits: (limits: FrontLimits) => void
  /** Sends `Connection: close` with every further response, so that callers do not reuse their connections. */
  readonly setClosing: () => void
  /** Stops accepting connections and closes idle ones; the others are closed after their response. */
  readonly closeListener: () => void
  /** Stops listening and closes all connections at once. */
  readonly destroy: () => void
}

/** Limits until the configuration sets others. */
const defaultLimits: FrontLimits = { bodyBytes: 4_194_304, idleTimeout: 15_000, headerTimeout: 3_000 }
/** Interval at which the header timeout is checked, in ms. */
const checkInterval = 1_000
/** Idle time of a connection before the first TCP keep-alive probe, in ms. */
const keepAliveProbeDelay = 1_000
/** Size of the write buffer of a slow caller above which its response is aborted, in bytes. */
const backlogLimit = 4_194_304
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304])

interface OpenRequest {
  readonly response: ServerResponse
  readonly method: string
  finished: boolean
}

/**
 * Calls `callback` after the sockets have been read once more. After the process
 * was blocked, a request and the close of its connection may be pending together;
 * the delay lets the close be handled first.
 */
const afterNextRead = (callback: () => void): void => { setImmediate(() => setImmediate(callback)) }

const hasHeader = (headers: readonly string[], name: string): boolean =>
  headers.some((header, index) => index % 2 === 0 && header.toLowerCase() === name)

const withoutLength = (headers: readonly string[]): string[] =>
  headers.filter((_, index) => headers[index - index % 2].toLowerCase() !== 'content-length')

/**
 * Creates a server.
 *
 * @param options - address and codec
 * @param emit - receives the requests, and reports of callers that disconnected
 * @returns the server, which is not listening yet
 */
export const createFrontServer = (options: FrontServerOptions, emit: (input: ForwardInput) => void): FrontServer => {
  const openRequests = new Map<number, OpenRequest>()
  let limits = defaultLimits
  let closing = false
  let listenerClosed = false
  let lastRequest = 0

  const handleRequest = (message: IncomingMessage, response: ServerResponse): void => {
    lastRequest++
    const request = lastRequest
    const chunks: Buffer[] = []
    let size = 0
    let bodyDone = false
    let delivered = false
    const openRequest: OpenRequest = { response, method: message.method ?? '', finished: false }
    openRequests.set(request, openRequest)

    const rejectBody = (): void => {
      bodyDone = true
      delivered = true
      response.shouldKeepAlive = false
      emit({ kind: 'call.unreadable', request, problem: { kind: 'bodyTooLarge', limit: limits.bodyBytes } })
    }

    message.on('data', (chunk: Buffer) => {
      if (bodyDone) return
      size += chunk.length
      if (size > limits.bodyBytes) return rejectBody()
      chunks.push(chunk)
    })
    const deliver = (): void => {
      if (message.socket.readableEnded || message.socket.destroyed) return emit({ kind: 'call.left', request })
      const head = { method: openRequest.method, target: message.url ?? '/', headers: message.rawHeaders }
      options.decode(head, chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)).match(
        call => emit({ kind: 'call.arrived', request, call }),
        problem => emit({ kind: 'call.unreadable', request, problem })
      )
      delivered = true
    }
    message.on('end', () => {
      if (bodyDone) return
      bodyDone = true
      afterNextRead(deliver)
    })
    message.on('error', () => { /* Handled by the close event that follows. */ })
    response.on('error', () => { /* Handled by the close event that follows. */ })
    response.on('close', () => {
      // A response whose headers were sent before the shutdown had no `Connection: close`, so the caller may keep the connection open.
      if (listenerClosed) message.socket.destroySoon()
      openRequests.delete(request)
      if (delivered && !openRequest.finished) emit({ kind: 'call.left', request })
    })
  }

  const server = createServer({
    maxHeaderSize: options.headerBytes,
    keepAlive: true,
    keepAliveInitialDelay: keepAliveProbeDelay,
    connectionsCheckingInterval: checkInterval,
    keepAliveTimeout: limits.idleTimeout,
    headersTimeout: limits.headerTimeout,
    requestTimeout: 0
  }, handleRequest)

  const writeHead = ({ response }: OpenRequest, status: number, headers: readonly string[]): void => {
    if (closing) response.shouldKeepAlive = false
    response.writeHead(status, [...headers])
  }

  const answer = (openRequest: OpenRequest, effect: Extract<CallEffect, { kind: 'call.answer' }>): void => {
    const { status, headers, body } = effect
    const bodiless = bodilessStatuses.has(status) || openRequest.method === 'HEAD'
    const length = bodiless || hasHeader(headers, 'content-length') ? [] : ['Content-Length', String(body.length)]
    openRequest.finished = true
    writeHead(openRequest, status, [...headers, ...length])
    openRequest.response.end(bodiless ? undefined : body)
  }

  const write = (openRequest: OpenRequest, bytes: Buffer): void => {
    if (openRequest.response.writableLength > backlogLimit) openRequest.response.destroy()
    else openRequest.response.write(bytes)
  }

  const perform = (effect: CallEffect): void => {
    const openRequest = openRequests.get(effect.request)
    if (openRequest === undefined || openRequest.response.destroyed) return
    switch (effect.kind) {
      case 'call.answer': return answer(openRequest, effect)
      case 'call.open':
        writeHead(openRequest, effect.status, withoutLength(effect.headers))
        openRequest.response.flushHeaders()
        return
      case 'call.write': return write(openRequest, effect.bytes)
      case 'call.end':
        openRequest.finished = true
        openRequest.response.end()
        return
      case 'call.abort':
        openRequest.finished = true
        openRequest.response.destroy()
    }
  }

  const setLimits = (next: FrontLimits): void => {
    limits = next
    server.keepAliveTimeout = next.idleTimeout
    server.headersTimeout = next.headerTimeout
  }

  const listen = (): Promise<number> => new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, () => resolve((server.address() as AddressInfo).port))
  })

  return {
    listen,
    perform,
    setLimits,
    setClosing: () => { closing = true },
    closeListener: () => {
      listenerClosed = true
      server.close()
      server.closeIdleConnections()
    },
    destroy: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
