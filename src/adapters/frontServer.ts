/**
 * The HTTP server of a gateway's callers. Requests are read whole, decoded, and
 * handed to the core; answers go out as the core says, byte for byte.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ForwardEffect, ForwardInput } from '../ports/forwardPort.js'
import type { WireCodec } from '../ports/platformPort.js'

/** Effects that concern callers. */
export type CallEffect = Extract<ForwardEffect, { readonly request: number }>

/** Where to listen, and the first limits. */
export interface FrontOptions {
  readonly host: string
  readonly port: number
  /** Largest head of a request, in bytes. */
  readonly headerBytes: number
  readonly decode: WireCodec['decodeCall']
}

/** Limits that a configuration sets; times in ms. */
export interface FrontLimits {
  readonly bodyBytes: number
  readonly idleTimeout: number
  readonly headerTimeout: number
}

/** The server. */
export interface FrontServer {
  readonly listen: () => Promise<number>
  readonly perform: (effect: CallEffect) => void
  readonly setLimits: (limits: FrontLimits) => void
  /** Asks callers not to use their connections again. */
  readonly setClosing: () => void
  /** Accepts no new connection and closes idle ones. */
  readonly closeListener: () => void
  readonly destroy: () => void
}

const firstLimits: FrontLimits = { bodyBytes: 4_194_304, idleTimeout: 15_000, headerTimeout: 3_000 }
/** How often unfinished heads are looked at, in ms. */
const checkInterval = 1_000
/** Silence before a connection is probed, in ms. */
const probeDelay = 1_000
/** Bytes that wait for a slow caller at which its answer is broken off. */
const backlogLimit = 4_194_304
const noBody: ReadonlySet<number> = new Set([204, 304])

interface Slot {
  readonly response: ServerResponse
  readonly method: string
  finished: boolean
}

/**
 * Calls once the sockets have been read again. A process that was held up finds
 * a request and the end of its connection together; then the end comes first.
 */
const afterNextRead = (callback: () => void): void => { setImmediate(() => setImmediate(callback)) }

const hasHeader = (headers: readonly string[], name: string): boolean =>
  headers.some((header, index) => index % 2 === 0 && header.toLowerCase() === name)

const withoutLength = (headers: readonly string[]): string[] =>
  headers.filter((_, index) => headers[index - index % 2].toLowerCase() !== 'content-length')

/**
 * Creates the server.
 *
 * @param options - where to listen, how to decode
 * @param emit - takes what callers send
 * @returns the server, not listening yet
 */
export const createFrontServer = (options: FrontOptions, emit: (input: ForwardInput) => void): FrontServer => {
  const slots = new Map<number, Slot>()
  let limits = firstLimits
  let closing = false
  let closed = false
  let last = 0

  const read = (message: IncomingMessage, response: ServerResponse): void => {
    last++
    const request = last
    const chunks: Buffer[] = []
    let size = 0
    let whole = false
    let delivered = false
    const slot: Slot = { response, method: message.method ?? '', finished: false }
    slots.set(request, slot)

    const refuseBody = (): void => {
      whole = true
      delivered = true
      response.shouldKeepAlive = false
      emit({ kind: 'call.unreadable', request, problem: { kind: 'bodyTooLarge', limit: limits.bodyBytes } })
    }

    message.on('data', (chunk: Buffer) => {
      if (whole) return
      size += chunk.length
      if (size > limits.bodyBytes) return refuseBody()
      chunks.push(chunk)
    })
    const deliver = (): void => {
      if (message.socket.readableEnded || message.socket.destroyed) return emit({ kind: 'call.left', request })
      const head = { method: slot.method, target: message.url ?? '/', headers: message.rawHeaders }
      options.decode(head, chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)).match(
        call => emit({ kind: 'call.arrived', request, call }),
        problem => emit({ kind: 'call.unreadable', request, problem })
      )
      delivered = true
    }
    message.on('end', () => {
      if (whole) return
      whole = true
      afterNextRead(deliver)
    })
    message.on('error', () => { /* The close that follows is what counts. */ })
    response.on('error', () => { /* The close that follows is what counts. */ })
    response.on('close', () => {
      // An answer whose head went out before the closing did not tell its caller to leave.
      if (closed) message.socket.destroySoon()
      slots.delete(request)
      if (delivered && !slot.finished) emit({ kind: 'call.left', request })
    })
  }

  const server = createServer({
    maxHeaderSize: options.headerBytes,
    keepAlive: true,
    keepAliveInitialDelay: probeDelay,
    connectionsCheckingInterval: checkInterval,
    keepAliveTimeout: limits.idleTimeout,
    headersTimeout: limits.headerTimeout,
    requestTimeout: 0
  }, read)

  const open = ({ response }: Slot, status: number, headers: readonly string[]): void => {
    if (closing) response.shouldKeepAlive = false
    response.writeHead(status, [...headers])
  }

  const answer = (slot: Slot, effect: Extract<CallEffect, { kind: 'call.answer' }>): void => {
    const { status, headers, body } = effect
    const bodiless = noBody.has(status) || slot.method === 'HEAD'
    const length = bodiless || hasHeader(headers, 'content-length') ? [] : ['Content-Length', String(body.length)]
    slot.finished = true
    open(slot, status, [...headers, ...length])
    slot.response.end(bodiless ? undefined : body)
  }

  const write = (slot: Slot, bytes: Buffer): void => {
    if (slot.response.writableLength > backlogLimit) slot.response.destroy()
    else slot.response.write(bytes)
  }

  const perform = (effect: CallEffect): void => {
    const slot = slots.get(effect.request)
    if (slot === undefined || slot.response.destroyed) return
    switch (effect.kind) {
      case 'call.answer': return answer(slot, effect)
      case 'call.open':
        open(slot, effect.status, withoutLength(effect.headers))
        slot.response.flushHeaders()
        return
      case 'call.write': return write(slot, effect.bytes)
      case 'call.end':
        slot.finished = true
        slot.response.end()
        return
      case 'call.abort':
        slot.finished = true
        slot.response.destroy()
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
      closed = true
      server.close()
      server.closeIdleConnections()
    },
    destroy: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
