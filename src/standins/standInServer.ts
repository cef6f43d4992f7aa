/**
 * The HTTP server that all stand-ins are built on. It routes requests, serves
 * the stand-in's record at `GET /record` and accepts faults at `POST /fault`.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import findMyWay from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import type { Address } from '../endpoints/endpointsTypes.js'
import { createFaultQueue, faultSchema } from './faults.js'
import type { Fault, FaultQueue } from './faults.js'

/** Options of every stand-in: listen address and clock. */
export interface StandInOptions {
  readonly host?: string
  /** Port to listen on; 0 selects a free port. */
  readonly port?: number
  /** Returns the current time, in ms. */
  readonly now?: () => number
}

/** An HTTP request with its complete body, and the response to write to. */
export interface Call {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly params: Readonly<Record<string, string | undefined>>
  readonly query: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** A stand-in with a record of what it did, kept independently of the router under test. */
export interface StandIn<Entry> {
  readonly listen: () => Promise<Address>
  readonly close: () => Promise<void>
  readonly record: readonly Entry[]
  /** Activates a fault, as `POST /fault` does. */
  readonly injectFault: (fault: Fault) => void
  /** Returns how many more exchanges the queued counted faults apply to. */
  readonly remainingFaults: () => number
}

/** The server of a stand-in: its faults, clock, timers, routes and lifecycle. */
export interface StandInServer {
  readonly faults: FaultQueue
  readonly now: () => number
  /** Runs an action after a delay in ms, unless the server is closed first. */
  readonly after: (ms: number, action: () => void) => void
  readonly on: (method: HTTPMethod | HTTPMethod[], path: string, handler: (call: Call) => void) => void
  readonly listen: () => Promise<Address>
  readonly close: () => Promise<void>
  readonly injectFault: (fault: Fault) => void
  /** Combines the server's lifecycle and fault functions with a record into a stand-in. */
  readonly toStandIn: <Entry>(record: readonly Entry[]) => StandIn<Entry>
}

const maxBodyBytes = 64 * 1024 * 1024

/**
 * Sends a JSON response. Does nothing when the response is destroyed or its head
 * has been sent.
 *
 * @param response - the response to write
 * @param status - HTTP status
 * @param body - JSON value
 * @param headers - additional headers
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
 * @returns the value, or undefined if the body is not valid JSON
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
 * Creates the server of a stand-in. A request body above 64 MiB closes the
 * connection.
 *
 * @param options - address and clock
 * @param record - the entries that `GET /record` returns
 * @param onFault - called with each fault after it has been queued
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

  const destroyAllSockets = (): void => {
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
    if (fault.kind === 'outage' || fault.kind === 'crash') destroyAllSockets()
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
    destroyAllSockets()
  })

  const toStandIn = <Entry>(record: readonly Entry[]): StandIn<Entry> => ({ listen, close, record, injectFault, remainingFaults: faults.left })

  return { faults, now, after, on, listen, close, injectFault, toStandIn }
}

/**
 * Handles a request subject to the faults that apply to a whole exchange:
 * `cutBefore`, `slow`, `cutAfter` and `garbled`.
 *
 * @param server - the server whose fault queue is used
 * @param call - the request and its response
 * @param effect - performs the request and returns the response to send; not called under `cutBefore`
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
