/**
 * HTTP server for the callers of a gateway. Requests are read completely, decoded
 * and passed to the core; the core's responses are sent byte for byte.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { Server } from 'node:net'
import type { Call, CallProblem, CallStage, ConnectionEnd, ForwardEffect, ForwardInput } from '../ports/forwardPort.js'
import type { RawCall, WireCodec } from '../ports/platformPort.js'
import { createByteBuffer, type ByteBuffer } from '../byteBuffer.js'
import { breakOff } from './brokenResponse.js'
import { followCallerConnections, type ConnectionCounts } from './callerConnections.js'
import { listen, type ReportAdapterError } from './listening.js'
import { heldBound } from '../heldBytes/heldBound.js'
import type { ReaderCut } from '../slowReaders/slowReaders.js'
import { afterNextRead } from './nextRead.js'
import type { BodyRefusal } from '../requestBodies/requestBodies.js'
import { createBufferGarbage } from './bufferGarbage.js'
import { createRequestBodies } from './requestBodies.js'
import { createUnreadResponses } from './unreadResponses.js'

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
  /** Adds the id of the request to the headers of its response. */
  readonly nameRequest: WireCodec['nameRequest']
  /** Called for each closed connection. */
  readonly onConnectionClosed?: (end: ConnectionEnd) => void
  /** Bound for what callers have not read of their responses, in bytes; by default as without a known limit of the memory. */
  readonly unreadBound?: () => number
  /** Called for each response that is given up because its caller reads slowly. */
  readonly onReaderCut?: (cut: ReaderCut & { /** Id of the request. */ readonly id: string }) => void
  /** Bound for the bodies of all requests together, in bytes; by default as without a known limit of the memory. */
  readonly bodiesBound?: () => number
  /** Largest number of connections; by default any. */
  readonly maxConnections?: () => number
  /** Finds the workspace that an API key belongs to. */
  readonly workspaceOfKey?: (key: string) => string | undefined
  /** Called for each request whose body is given up. */
  readonly onBodyRefused?: (refusal: BodyRefusal & { /** Id of the request. */ readonly id: string }) => void
  /** Receives unexpected errors, with the place. */
  readonly reportError?: ReportAdapterError
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
  /** Stops accepting connections, after those that wait to be accepted, and closes those without a request, also if they have carried none yet; the others are closed after their response. */
  readonly closeListener: () => void
  /** Resolves once no request is being read or answered and, after `closeListener`, no connection is open on which one may come. */
  readonly flushed: () => Promise<void>
  /** Number of open connections by their use. */
  readonly countConnections: () => ConnectionCounts
  /** Number of requests that are being read or answered. */
  readonly countRequests: () => number
  /** Number of bytes of the bodies of requests that are being read or answered. */
  readonly bodyBytes: () => number
  /** Number of bytes that callers have not read of their responses. */
  readonly unreadBytes: () => number
  /** Stops listening and closes all connections at once. */
  readonly destroy: () => void
}

/** Limits until the configuration sets others. */
const defaultLimits: FrontLimits = { bodyBytes: 4_194_304, idleTimeout: 15_000, headerTimeout: 3_000 }
/** Interval at which the header timeout is checked, in ms. */
const checkInterval = 1_000
/** Idle time of a connection before the first TCP keep-alive probe, in ms. */
const keepAliveProbeDelay = 1_000
/** An announced length of more than so many times the limit of a body is refused before the body is read. */
const farOverLimit = 4
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304])

interface OpenRequest {
  readonly message: IncomingMessage
  readonly response: ServerResponse
  readonly method: string
  readonly body: ByteBuffer
  /** `ended` once the whole response has been sent or the end has been reported. */
  stage: CallStage | 'ended'
}

const noBody = Buffer.alloc(0)
/** Response to a request whose answer does not fit into the memory for unread responses; the request has run. */
const slowReaderBody = JSON.stringify({ type: 'slowReaders', outcome: 'unknown' })
/** Response to a request whose handling failed here. */
const errorBody = JSON.stringify({ type: 'internalError', outcome: 'unknown' })

const stageAfter = (effect: CallEffect, { stage }: OpenRequest): OpenRequest['stage'] => {
  if (effect.kind === 'call.abort') return 'ended'
  return effect.kind === 'call.answer' || effect.kind === 'call.end' ? 'sending' : stage
}

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
  const flushWaiters: (() => void)[] = []
  const { reportError = () => { /* Not reported. */ } } = options
  let limits = defaultLimits
  let closing = false
  let listenerClosed = false
  let listenerClosing: Promise<void> | undefined
  let lastRequest = 0

  const headOf = ({ message, method }: OpenRequest): RawCall => ({ method, target: message.url ?? '/', headers: message.rawHeaders })

  /** Reads a field of a request from its head, if that can be decoded. */
  const fromHead = <Field>(openRequest: OpenRequest, read: (call: Call) => Field, otherwise: Field): Field => {
    try {
      return options.decode(headOf(openRequest), noBody).match(read, () => otherwise)
    } catch {
      return otherwise
    }
  }

  const idOf = (openRequest: OpenRequest): string => fromHead(openRequest, ({ id }) => id, 'none')

  const workspaceOf = (request: number): string => {
    const openRequest = openRequests.get(request)
    return openRequest === undefined ? '' : fromHead(openRequest, ({ key }) => key === undefined ? undefined : options.workspaceOfKey?.(key), undefined) ?? ''
  }

  /** Ends a request whose handling failed: with an error response, or by breaking its response off. */
  const failRequest = (request: number, openRequest: OpenRequest, place: string, error: unknown): void => {
    const { message, response, stage } = openRequest
    reportError(place, error)
    connections.noteEnd(message.socket, 'aborted')
    openRequest.stage = 'ended'
    if (response.headersSent) breakOff(openRequest)
    else response.writeHead(500, { 'Content-Type': 'application/json', 'Content-Length': errorBody.length }).end(errorBody)
    if (stage === 'open') emit({ kind: 'call.left', request, id: idOf(openRequest), stage, reason: 'aborted' })
  }

  /** Reports a request whose connection ended before its whole response was sent. */
  const reportLeft = (request: number, openRequest: OpenRequest): void => {
    const { stage, message } = openRequest
    if (stage === 'ended') return
    openRequest.stage = 'ended'
    emit({ kind: 'call.left', request, id: idOf(openRequest), stage, reason: connections.endOf(message.socket) })
  }

  const end = (request: number): void => {
    const openRequest = openRequests.get(request)
    if (openRequest === undefined) return
    openRequests.delete(request)
    bodies.end(request)
    reportLeft(request, openRequest)
    if (openRequests.size > 0) return
    for (const resolve of flushWaiters.splice(0)) resolve()
  }

  const flushed = async (): Promise<void> => {
    await listenerClosing
    const isBusy = (): boolean => openRequests.size > 0 || (listenerClosed && connections.size() > 0)
    while (isBusy()) {
      if (openRequests.size > 0) await new Promise<void>(resolve => flushWaiters.push(resolve))
      else {
        connections.closeUnused()
        await connections.nextClosed()
      }
    }
  }

  /** Ends the requests of a closed connection. The server does not close responses that were waiting for the one before them. */
  const endAll = (requests: Iterable<number>, reason: ConnectionEnd): void => {
    for (const request of requests) end(request)
    options.onConnectionClosed?.(reason)
  }

  const announceEnd = (request: number, { message, response }: OpenRequest): void => {
    response.shouldKeepAlive = false
    connections.announceEnd(message.socket, request)
  }

  /** Answers a request whose body is not read any further. What still comes of it is dropped until the connection is closed. */
  const rejectBody = (request: number, openRequest: OpenRequest, problem: CallProblem): void => {
    openRequest.stage = 'open'
    openRequest.body.clear()
    bodies.end(request)
    announceEnd(request, openRequest)
    emit({ kind: 'call.unreadable', request, problem })
  }

  const refuseBody = (refusal: BodyRefusal): void => {
    const openRequest = openRequests.get(refusal.request)
    if (openRequest === undefined) return
    options.onBodyRefused?.({ ...refusal, id: idOf(openRequest) })
    rejectBody(refusal.request, openRequest, refusal.reason === 'noMemory' ? { kind: 'noMemory' } : { kind: 'bodyStalled' })
  }

  const handleRequest = (message: IncomingMessage, response: ServerResponse, expectsContinue = false): void => {
    lastRequest++
    const request = lastRequest
    const body = createByteBuffer()
    const openRequest: OpenRequest = { message, response, method: message.method ?? '', body, stage: 'reading' }
    openRequests.set(request, openRequest)
    connections.addRequest(message.socket, request)
    bodies.begin(request)
    const connection = connections.historyOf(message.socket)

    const { bodyBytes } = limits
    /** A request may be as long as when it began, or as it may be now. */
    const bodyLimit = (): number => Math.max(bodyBytes, limits.bodyBytes)

    // The limit may still be raised while a body somewhat over it arrives.
    if (Number(message.headers['content-length'] ?? 0) > bodyLimit() * farOverLimit) rejectBody(request, openRequest, { kind: 'bodyTooLarge', limit: bodyLimit() })
    else if (expectsContinue) response.writeContinue()

    message.on('data', (chunk: Buffer) => {
      garbage.noteReceived(chunk.length)
      if (openRequest.stage !== 'reading') return
      if (body.size() + chunk.length > bodyLimit()) return rejectBody(request, openRequest, { kind: 'bodyTooLarge', limit: bodyLimit() })
      if (bodies.makeRoom(request, chunk.length)) body.push(chunk)
    })
    const deliver = (): void => {
      if (openRequest.stage !== 'read') return
      if (message.socket.readableEnded || message.socket.destroyed) return reportLeft(request, openRequest)
      if (connections.isAfterEnd(message.socket, request)) return
      try {
        const decoded = options.decode(headOf(openRequest), body.bytes())
        openRequest.stage = 'open'
        decoded.match(
          call => emit({ kind: 'call.arrived', request, call, connection }),
          problem => emit({ kind: 'call.unreadable', request, problem })
        )
      } catch (error) {
        failRequest(request, openRequest, 'decodeCall', error)
      }
    }
    message.on('end', () => {
      if (openRequest.stage !== 'reading') return
      openRequest.stage = 'read'
      bodies.complete(request)
      afterNextRead(deliver)
    })
    message.on('error', () => { /* Handled by the close event that follows. */ })
    response.on('error', () => { /* Handled by the close event that follows. */ })
    response.on('finish', () => {
      // It is emitted for a destroyed connection, too.
      if (message.socket.destroyed) return
      openRequest.stage = 'ended'
      if (!response.shouldKeepAlive) connections.noteEnd(message.socket, 'lastResponse')
    })
    response.on('close', () => {
      // A response whose headers were sent before the shutdown had no `Connection: close`, so the caller may keep the connection open.
      connections.removeRequest(message.socket, request)
      unread.end(request)
      end(request)
      if (listenerClosed) connections.closeIfIdle(message.socket)
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
  }, (message, response) => handleRequest(message, response))
  server.on('checkContinue', (message: IncomingMessage, response: ServerResponse) => handleRequest(message, response, true))
  const connections = followCallerConnections(server, endAll, options.maxConnections ?? (() => Infinity), request => bodies.readingSince(request))
  const bodies = createRequestBodies({
    limits: () => ({ bound: (options.bodiesBound ?? (() => heldBound(0, undefined)))(), bodyBytes: limits.bodyBytes }),
    stallTime: () => limits.idleTimeout,
    workspaceOf,
    refuse: refuseBody,
    now: () => performance.now()
  })
  const garbage = createBufferGarbage({ inUse: () => bodies.heldBytes() + unread.measure() })
  const sweepTimer = setInterval(() => afterNextRead(bodies.sweep), checkInterval)
  sweepTimer.unref()

  const writeHead = (request: number, openRequest: OpenRequest, status: number, headers: readonly string[]): void => {
    const { message, response } = openRequest
    if (closing && connections.isNewest(message.socket, request)) announceEnd(request, openRequest)
    response.writeHead(status, [...options.nameRequest(headOf(openRequest), headers)])
  }

  const answer = (openRequest: OpenRequest, effect: Extract<CallEffect, { kind: 'call.answer' }>): void => {
    const { request, status, headers, body } = effect
    unread.begin(request, openRequest.response, effect.workspace ?? '')
    if (!unread.makeRoom(request, body.length)) return
    const bodiless = bodilessStatuses.has(status) || openRequest.method === 'HEAD'
    const length = bodiless || hasHeader(headers, 'content-length') ? [] : ['Content-Length', String(body.length)]
    writeHead(request, openRequest, status, [...headers, ...length])
    openRequest.response.end(bodiless ? undefined : body)
  }

  /** Gives up a response because all callers together leave too much unread. */
  const cutReader = (cut: ReaderCut): void => {
    const openRequest = openRequests.get(cut.request)
    if (openRequest === undefined) return
    options.onReaderCut?.({ ...cut, id: idOf(openRequest) })
    if (cut.told === 'error') openRequest.response.writeHead(502, { 'Content-Type': 'application/json', 'Content-Length': slowReaderBody.length }).end(slowReaderBody)
    else {
      connections.noteEnd(openRequest.message.socket, 'backlog')
      breakOff(openRequest)
    }
  }
  const unread = createUnreadResponses({ bound: options.unreadBound ?? (() => heldBound(0, undefined)), now: () => performance.now(), cut: cutReader })

  const perform = (effect: CallEffect): void => {
    const openRequest = openRequests.get(effect.request)
    // After an error the core may end a request twice.
    if (openRequest === undefined || openRequest.stage === 'sending' || openRequest.stage === 'ended') return
    const { stage } = openRequest
    openRequest.stage = stageAfter(effect, openRequest)
    if (openRequest.response.destroyed) return
    try {
      send(openRequest, effect)
    } catch (error) {
      openRequest.stage = stage
      failRequest(effect.request, openRequest, effect.kind, error)
    }
  }

  const send = (openRequest: OpenRequest, effect: CallEffect): void => {
    switch (effect.kind) {
      case 'call.answer': return answer(openRequest, effect)
      case 'call.open':
        unread.begin(effect.request, openRequest.response, effect.workspace ?? '')
        writeHead(effect.request, openRequest, effect.status, withoutLength(effect.headers))
        openRequest.response.flushHeaders()
        return
      case 'call.write':
        if (unread.makeRoom(effect.request, effect.bytes.length)) openRequest.response.write(effect.bytes)
        return
      case 'call.end':
        openRequest.response.end()
        return
      case 'call.abort':
        connections.noteEnd(openRequest.message.socket, 'aborted')
        breakOff(openRequest)
    }
  }

  const setLimits = (next: FrontLimits): void => {
    limits = next
    connections.setKeepAlive(next.idleTimeout)
    connections.setHeaderTimeout(next.headerTimeout)
  }

  return {
    listen: () => listen(server, options, reportError),
    perform,
    setLimits,
    setClosing: () => { closing = true },
    closeListener: () => {
      listenerClosed = true
      connections.closeUnused()
      // What waits in the kernel to be accepted would be reset.
      listenerClosing = new Promise(resolve => afterNextRead(() => {
        // The method of the HTTP server would also close connections whose response has been given whole but not sent.
        Server.prototype.close.call(server)
        resolve()
      }))
    },
    flushed,
    countConnections: connections.countByUse,
    countRequests: () => openRequests.size,
    bodyBytes: bodies.heldBytes,
    unreadBytes: unread.measure,
    destroy: () => {
      clearInterval(sweepTimer)
      server.close()
      for (const openRequest of openRequests.values()) {
        connections.noteEnd(openRequest.message.socket, 'shutdown')
        breakOff(openRequest)
      }
      connections.destroyAll('shutdown')
    }
  }
}
