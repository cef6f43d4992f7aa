// A stand-in of a worker as the pages describe it: names the request in its answer, signs it, checks the expected instance, and registers itself in the store.
import { createServer } from 'node:http'

const host = '127.0.0.1'
const heartbeatInterval = 1_200 // ms
/** Time after which the record of a worker that is silent expires, in ms. */
const expiry = 3 * heartbeatInterval

/**
 * Starts a worker.
 *
 * @param options - `id`, `service`, `store`, `slots`, `models`, and `serve(request, response, body)`, which runs a request and answers it; `read(request)` reads its body
 */
export const startWorker = async ({ id, service, store, slots = 6, models = [], serve, read }) => {
  const born = Date.now()
  let writes = 0
  let state = 'ready'
  const readAll = async request => {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    return Buffer.concat(chunks)
  }
  const sockets = new Set()
  const server = createServer(async (request, response) => {
    request.on('error', () => { /* The connection has ended. */ })
    response.on('error', () => { /* The connection has ended. */ })
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'x-instance-id': id, 'x-not-executed': '1', 'content-length': 0 }).end()
      return
    }
    if (request.url === '/healthz') {
      response.writeHead(200, { 'x-instance-id': id, 'content-length': 0 }).end()
      return
    }
    try {
      const body = await (read ?? readAll)(request)
      await serve(request, response, body)
    } catch {
      response.destroy()
    }
  })
  server.keepAliveTimeout = 15_000
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise(resolve => { server.listen(0, host, resolve) })
  const { port } = server.address()
  const register = () => {
    writes++
    store.put('keyed.servers', id, JSON.stringify({ service, address: `${host}:${port}`, zone: 'a', version: 'v1', slots, state, coldRemainingMs: 0, models, seq: writes, born }))
  }
  register()
  const timer = setInterval(register, heartbeatInterval)
  return {
    id,
    port,
    register,
    drain: () => {
      state = 'draining'
      register()
    },
    /** Ends as a process that crashes: connections are reset, and the record in the store stays until it expires. */
    crash: () => {
      clearInterval(timer)
      for (const socket of sockets) socket.resetAndDestroy()
      server.close()
      setTimeout(() => store.drop('keyed.servers', id), expiry).unref()
    },
    close: () => {
      clearInterval(timer)
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Headers of an answer to a request. */
export const answerHeaders = (request, id) => ({ 'x-request-id': request.headers['x-request-id'], 'x-response-signature': `${id}.${request.headers['x-request-id']}` })

/** Answers a plain request. */
export const answerPlain = (request, response, id, text = 'done') => {
  response.writeHead(200, { ...answerHeaders(request, id), 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) }).end(text)
}
