/** Small HTTP servers for what the platform and operators ask: readiness, addresses, metrics and the state dump. */
import { createServer, type Server } from 'node:http'
import findMyWay from 'find-my-way'

/** What a path answers. */
export interface StatusAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** Paths with what they answer. */
export type StatusPaths = Readonly<Record<string, () => StatusAnswer | Promise<StatusAnswer>>>

const notFound: StatusAnswer = { status: 404, contentType: 'text/plain', body: 'no such path\n' }
const idleTimeout = 15_000

/**
 * Starts a server.
 *
 * @param host - address to listen on
 * @param port - port to listen on
 * @param paths - what it answers to GET
 * @returns the server, listening
 */
export const startStatusServer = (host: string, port: number, paths: StatusPaths): Promise<Server> => {
  const router = findMyWay({ defaultRoute: (_request, response) => { response.writeHead(notFound.status).end(notFound.body) } })
  for (const [path, answer] of Object.entries(paths)) {
    router.on('GET', path, async (_request, response) => {
      const { status, contentType, body } = await answer()
      response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) }).end(body)
    })
  }
  const server = createServer({ keepAliveTimeout: idleTimeout }, (request, response) => router.lookup(request, response))
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server))
  })
}
