/** Stand-in of a plain worker: runs each request for a while and answers it with its signature. */
import { createServer } from 'node:http'

const heartbeat = 1200

const readBody = async request => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks)
}

/**
 * Starts a worker and registers it.
 *
 * @param options - its id, loopback address, zone and service, the store, how long a run takes in ms, and the receiver of runs
 */
export const startPlainWorker = async ({ id, host, zone, service, store, work = 20, ran = () => {} }) => {
  const born = Date.now()
  let writes = 0

  const register = () => {
    writes++
    store.put('keyed.servers', id, { service, address: `${host}:${server.address().port}`, zone, version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0, seq: writes, born })
  }

  const server = createServer(async (request, response) => {
    const body = await readBody(request).catch(() => undefined)
    if (body === undefined) return
    const name = request.headers['x-request-id']
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) return response.writeHead(421, { 'x-request-id': name, 'x-instance-id': id, 'content-length': 0 }).end()
    ran({ worker: id, request: name, tenant: request.headers['x-tenant'] })
    await new Promise(resolve => { setTimeout(resolve, work) })
    const answer = `${id} ran ${name}`
    response.writeHead(200, { 'content-type': 'text/plain', 'x-request-id': name, 'x-response-signature': `s.${id}.${name}`, 'content-length': answer.length }).end(answer)
  })
  server.keepAliveTimeout = 5000
  server.on('clientError', (_error, socket) => socket.destroy())
  await new Promise(resolve => { server.listen(0, host, resolve) })
  register()
  const timer = setInterval(register, heartbeat)

  return {
    id,
    address: `${host}:${server.address().port}`,
    register,
    close: () => new Promise(resolve => {
      clearInterval(timer)
      server.closeAllConnections()
      server.close(() => resolve())
    })
  }
}
