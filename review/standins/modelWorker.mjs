/**
 * Stand-in of a model worker: streams numbered events, each of which names the
 * version of the software that made it, and goes on after `Last-Event-Id`.
 */
import { createServer } from 'node:http'

const host = '127.0.0.1'
const heartbeatTime = 1_200
const model = 'm0'

/**
 * Starts a model worker on a free port.
 *
 * @param options - `id`, `software`, `store`, `eventTime` in ms, and `ran`, which is called with each run
 */
export const startModelWorker = async ({ id, service = 'copywriter-llm', zone = 'a', store, software, eventTime, ran, isWarming = false }) => {
  const born = Date.now()
  const runs = new Set()
  let writes = 0

  const stream = (request, response) => {
    const requestId = request.headers['x-request-id']
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) return response.writeHead(421, { 'X-Request-Id': requestId, 'X-Instance-Id': id, 'Content-Length': 0 }).end()
    const count = Number(new URL(request.url, `http://${host}`).searchParams.get('events'))
    let last = Number(request.headers['last-event-id'] ?? 0)
    ran({ at: Date.now(), request: requestId, worker: id, software, after: last })
    response.writeHead(200, { 'X-Request-Id': requestId, 'X-Response-Signature': `sig.${requestId}`, 'X-Weight-Versions': '1', 'Content-Type': 'text/event-stream' })
    const timer = setInterval(() => {
      last++
      response.write(`id: ${last}\ndata: ${software} ${last}\n\n`)
      if (last >= count) response.end()
    }, eventTime)
    runs.add(response)
    response.on('close', () => {
      clearInterval(timer)
      runs.delete(response)
    })
  }

  const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    response.on('error', () => { /* The caller has left. */ })
    request.resume()
    request.on('end', () => stream(request, response))
  })
  await new Promise(resolve => { server.listen(0, host, resolve) })

  const register = () => {
    writes++
    store.put('keyed.servers', id, { service, address: `${host}:${server.address().port}`, zone, version: software, slots: 64, state: 'ready', coldRemainingMs: 0, stage: 'both', models: [{ name: model, version: 1, adapters: [] }], seq: writes, born })
  }
  let heartbeat
  const enter = () => {
    register()
    heartbeat = setInterval(register, heartbeatTime)
  }
  if (!isWarming) enter()

  return {
    id,
    register,
    /** Registers itself, once it has warmed up. */
    enter,
    /** Removes its entry, serves for `time` ms and until its runs have ended, and exits. */
    leave: async time => {
      clearInterval(heartbeat)
      store.put('keyed.servers', id, '')
      await new Promise(resolve => { setTimeout(resolve, time) })
      while (runs.size > 0) await new Promise(resolve => { setTimeout(resolve, 20) })
      server.close()
      server.closeAllConnections()
    }
  }
}
