/** Small HTTP servers for requests of the platform and of operators: readiness, instance addresses, metrics and the state dump. */
import { createServer, type Server } from 'node:http'
import type { Socket } from 'node:net'
import findMyWay from 'find-my-way'
import { connectionToClose, type ConnectionUse } from '../callerConnections/connectionLimit.js'
import { listen, type ReportAdapterError } from './listening.js'

/** Response to a GET request. */
export interface StatusAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** Handlers by path. */
export type StatusHandlers = Readonly<Record<string, () => StatusAnswer | Promise<StatusAnswer>>>

const notFound: StatusAnswer = { status: 404, contentType: 'text/plain', body: 'no such path\n' }
const failed: StatusAnswer = { status: 500, contentType: 'text/plain', body: 'internal error\n' }
const idleTimeout = 15_000 // ms
/** Time limit for receiving a request, in ms. */
const requestTimeout = 3_000
const checkInterval = 1_000 // ms

/** Keeps the number of connections of a server under a limit, and closes the one with the least claim beyond it. */
const limitConnections = (server: Server, limit: () => number): void => {
  const uses = new Map<Socket, ConnectionUse>()
  server.on('connection', socket => {
    if (uses.size >= limit()) (connectionToClose(uses, performance.now()) ?? socket).destroy()
    uses.set(socket, { kind: 'unused', since: performance.now() })
    socket.once('close', () => uses.delete(socket))
  })
  server.on('request', ({ socket }, response) => {
    uses.set(socket, { kind: 'busy' })
    response.once('close', () => { if (uses.has(socket)) uses.set(socket, { kind: 'idle', since: performance.now() }) })
  })
}

/**
 * Starts a server that answers GET requests; for any other path or method it returns 404.
 *
 * @param host - address to listen on
 * @param port - port to listen on
 * @param handlers - handlers by path; one that throws is answered with status 500
 * @param limit - largest number of connections
 * @param report - receives the errors of handlers and of the server, with the place
 * @returns the listening server
 * @throws the socket's error if the server cannot listen
 */
export const startStatusServer = async (host: string, port: number, handlers: StatusHandlers, limit: () => number, report: ReportAdapterError): Promise<Server> => {
  const answerOrFail = async (answer: StatusHandlers[string]): Promise<StatusAnswer> => {
    try {
      return await answer()
    } catch (error) {
      report('statusAnswer', error)
      return failed
    }
  }
  const router = findMyWay({ defaultRoute: (_request, response) => { response.writeHead(notFound.status).end(notFound.body) } })
  for (const [path, answer] of Object.entries(handlers)) {
    router.on('GET', path, async (_request, response) => {
      const { status, contentType, body } = await answerOrFail(answer)
      response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) }).end(body)
    })
  }
  const server = createServer({ keepAliveTimeout: idleTimeout, headersTimeout: requestTimeout, requestTimeout, connectionsCheckingInterval: checkInterval }, (request, response) => router.lookup(request, response))
  limitConnections(server, limit)
  await listen(server, { host, port }, report)
  return server
}
