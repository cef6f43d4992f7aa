/**
 * What all stand-ins share: an HTTP server with routes, the record of what ran
 * at `GET /record`, and faults by `POST /fault`.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import findMyWay from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import type { Address } from '../endpoints/endpointsTypes.js'
import { createFaultQueue, faultSchema } from './faults.js'
import type { Fault, FaultQueue } from './faults.js'

/** Where a stand-in listens, and its clock. */
export interface StandInOptions {
  readonly host?: string
  /** 0 takes any free port. */
  readonly port?: number
  /** The present time in ms. */
  readonly now?: () => number
}

/** One request and the means to answer it. */
export interface Call {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly params: Readonly<Record<string, string | undefined>>
  readonly query: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** A running stand-in with its own account of what it did. */
export interface StandIn<Entry> {
  readonly listen: () => Promise<Address>
  readonly close: () => Promise<void>
  readonly record: readonly Entry[]
  readonly injectFault: (fault: Fault) => void
  /** Strikes of counted faults that are still to come. */
  readonly remainingFaults: () => number
}

/** The parts of a stand-in's server. */
export interface StandInServer {
  readonly faults: FaultQueue
  readonly now: () => number
  /** Runs an action later, unless the server is closed first. */
  readonly after: (ms: number, action: () => void) => void
  readonly on: (method: HTTPMethod | HTTPMethod[], path: string, handler: (call: Call) => void) => void
  readonly listen: () => Promise<Address>
  readonly close: () => Promise<void>
  readonly injectFault: (fault: Fault) => void
  /** The stand-in that this server makes with its record. */
  readonly standIn: <Entry>(record: readonly Entry[]) => StandIn<Entry>
}

const maxBodyBytes = 64 * 1024 * 1024

/**
 * Answers with JSON.
 *
 * @param response - the open response
 * @param status - HTTP status
 * @param body - JSON value
 * @param headers - further headers
 */
export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void => {
  if (response.destroyed || response.headersSent) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  response.end(text)
}

/**
 * Parses a JSON body.
 *
 * @param body - bytes as received
 * @returns the value, or undefined when it is no JSON
 */
export const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
}

const readBody = async (request: IncomingMessage): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request) {
    bytes += chunk.length
    if (bytes > maxBodyBytes) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/**
 * Creates the server of a stand-in.
 *
 * @param options - address and clock
 * @param record - what `GET /record` shows
 * @param onFault - told of each fault, after it is queued
 * @returns the server, not yet listening
 */
export const createStandInServer = (
  { host = '127.0.0.1', port = 0, now = Date.now }: StandInOptions,
  record: readonly unknown[],
  onFault: (fault: Fault) => void = () => {}
): StandInServer => {
  const faults = createFaultQueue()
  const sockets = new Set<Socket>()
  const timers = new Set<NodeJS.Timeout>()
  const router = findMyWay({
    defaultRoute: (_, response) => sendJson(response, 404, { error: { type: 'not_found', message: 'no such path' } })
  })

  const cutAll = (): void => {
    for (const socket of sockets) socket.destroy()
  }

  const after = (ms: number, action: () => void): void => {
    const timer = setTimeout(() => {
      timers.delete(timer)
      action()
    }, ms)
    timers.add(timer)
  }

  const injectFault = (fault: Fault): void => {
    faults.add(fault, now())
    if (fault.kind === 'outage' || fault.kind === 'crash') cutAll()
    onFault(fault)
  }

  const on = (method: HTTPMethod | HTTPMethod[], path: string, handler: (call: Call) => void): void => {
    router.on(method, path, async (request, response, params, _, query) => {
      try {
        const body = await readBody(request)
        if (body === undefined) request.destroy()
        else handler({ request, response, params, query, body })
      } catch {
        response.destroy()
      }
    })
  }

  on('GET', '/record', ({ response }) => sendJson(response, 200, { record }))
  on('POST', '/fault', ({ response, body }) => {
    const fault = faultSchema.safeParse(parseJson(body))
    if (!fault.success) return sendJson(response, 400, { error: { type: 'bad_fault', message: fault.error.message } })
    sendJson(response, 200, { accepted: fault.data })
    response.on('finish', () => setImmediate(injectFault, fault.data))
  })

  const isControl = (path: string | undefined): boolean => path === '/record' || path === '/fault'

  const server = createServer((request, response) => {
    if (faults.holds('outage', now()) && !isControl(request.url)) {
      request.socket.destroy()
      return
    }
    router.lookup(request, response)
  })
  server.keepAliveTimeout = 60_000
  server.on('connection', socket => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })

  const listen = (): Promise<Address> => new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      const address = server.address()
      resolve({ host, port: typeof address === 'object' && address !== null ? address.port : port })
    })
  })

  const close = (): Promise<void> => new Promise(resolve => {
    server.close(() => resolve())
    for (const timer of timers) clearTimeout(timer)
    cutAll()
  })

  const standIn = <Entry>(record: readonly Entry[]): StandIn<Entry> => ({ listen, close, record, injectFault, remainingFaults: faults.left })

  return { faults, now, after, on, listen, close, injectFault, standIn }
}

/**
 * Applies the faults that strike any whole exchange: cut before, late, cut after.
 *
 * @param server - whose faults strike
 * @param call - the exchange
 * @param effect - does the work and answers what to send
 */
export const answerWithFaults = (server: StandInServer, { response }: Call, effect: () => { readonly status: number, readonly body: unknown, readonly headers?: Readonly<Record<string, string>> }): void => {
  if (server.faults.take('cutBefore') !== undefined) {
    response.destroy()
    return
  }
  const answer = (): void => {
    const { status, body, headers } = effect()
    if (server.faults.take('cutAfter') !== undefined) {
      response.destroy()
      return
    }
    if (server.faults.take('garbled') !== undefined) {
      response.end('{"garbled')
      return
    }
    sendJson(response, status, body, headers)
  }
  const slow = server.faults.take('slow')
  if (slow === undefined) return answer()
  server.after(slow.ms, answer)
}
