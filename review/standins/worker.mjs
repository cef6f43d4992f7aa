/**
 * Stand-in of a worker: registers itself in the store, runs each request that
 * expects it and rejects those that expect another one.
 */
import { createServer } from 'node:http'

const host = '127.0.0.1'
const heartbeatTime = 1_200

const readAll = async request => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks)
}

/**
 * Starts a worker on a free port.
 *
 * @param options - `id`, `service`, `zone`, `store`, `workTime` in ms, and `ran`, which is called with each run
 */
export const startWorker = async ({ id, service, zone = 'a', store, slots = 16, workTime = 10, software = 'v1', ran }) => {
  const born = Date.now()
  let writes = 0

  const serve = async (request, response) => {
    const body = await readAll(request)
    const requestId = request.headers['x-request-id']
    if (requestId === undefined) return response.writeHead(400, { 'X-Not-Executed': '1', 'Content-Length': 0 }).end()
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) return response.writeHead(421, { 'X-Request-Id': requestId, 'X-Instance-Id': id, 'Content-Length': 0 }).end()
    ran({ at: Date.now(), request: requestId, worker: id, service, method: request.method, target: request.url, tenant: request.headers['x-tenant'] })
    await new Promise(resolve => { setTimeout(resolve, workTime) })
    const text = `answer to ${requestId} of ${body.length} bytes by ${id}`
    response.writeHead(200, { 'X-Request-Id': requestId, 'X-Response-Signature': `sig.${requestId}`, 'X-Instance-Id': id, 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(text) }).end(text)
  }

  const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    response.on('error', () => { /* The caller has left. */ })
    serve(request, response).catch(() => response.destroy())
  })
  await new Promise(resolve => { server.listen(0, host, resolve) })
  const address = `${host}:${server.address().port}`

  let state = 'ready'
  const register = () => {
    writes++
    store.put('keyed.servers', id, { service, address, zone, version: software, slots, state, coldRemainingMs: 0, stage: 'both', models: [], seq: writes, born })
  }
  register()
  const heartbeat = setInterval(register, heartbeatTime)

  return {
    id,
    address,
    register,
    /** Reports that it is draining, serves for `time` ms, exits, and its entry is removed. */
    leave: async time => {
      state = 'draining'
      register()
      await new Promise(resolve => { setTimeout(resolve, time) })
      clearInterval(heartbeat)
      server.close()
      server.closeAllConnections()
      store.put('keyed.servers', id, '')
    }
  }
}
