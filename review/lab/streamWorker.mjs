/** Stand-in of a model worker behind a link: streams pieces that name its software version, goes on after `Last-Event-Id`, and can drain, stop and start again under its id. */
import { createServer } from 'node:http'
import { startLink } from './link.mjs'

const heartbeat = 1200

/**
 * Creates a worker with its link and starts it.
 *
 * @param options - its id, loopback address, zone, service and model, software version, the store, pieces of a stream and their interval in ms, and the receivers of runs and of runs that are complete
 */
export const startStreamWorker = async ({ id, host, zone, service, model, software, store, pieces, interval, ran = () => {}, completed = () => {} }) => {
  let lifetime
  const link = await startLink(host, () => ({ host, port: lifetime?.port ?? 1 }))

  const register = () => {
    lifetime.writes++
    store.put('keyed.servers', id, { service, address: link.address, zone, version: lifetime.software, slots: 64, state: lifetime.state, coldRemainingMs: 0, stage: 'both', models: [{ name: model, version: 1, adapters: [] }], seq: lifetime.writes, born: lifetime.born })
  }

  const stream = async (request, response, own) => {
    const name = request.headers['x-request-id']
    const after = Number(request.headers['last-event-id'] ?? 0)
    ran({ worker: id, request: name, software: own.software, after })
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': name, 'x-response-signature': `s.${id}.${name}`, 'x-weight-versions': 1 })
    for (let piece = after + 1; piece <= pieces; piece++) {
      await new Promise(resolve => { setTimeout(resolve, interval) })
      if (own.ended || response.destroyed) return
      response.write(`id: ${piece}\ndata: ${own.software} ${name} ${piece}\n\n`)
    }
    response.end()
    completed(name)
  }

  const start = async version => {
    const own = { software: version, state: 'ready', born: Date.now(), writes: 0, ended: false, sockets: new Set() }
    own.server = createServer((request, response) => {
      if (request.headers['x-expect-instance'] !== id) return response.writeHead(421, { 'x-instance-id': id, 'content-length': 0 }).end()
      request.resume()
      request.on('end', () => stream(request, response, own))
    })
    own.server.on('connection', socket => {
      own.sockets.add(socket)
      socket.on('close', () => own.sockets.delete(socket))
    })
    own.server.on('clientError', (_error, socket) => socket.destroy())
    await new Promise(resolve => { own.server.listen(0, host, resolve) })
    own.port = own.server.address().port
    lifetime = own
    register()
    own.timer = setInterval(register, heartbeat)
  }

  const drain = () => {
    lifetime.state = 'draining'
    register()
  }

  /** Ends the process, whose channels end with what it has sent. */
  const stop = () => {
    const own = lifetime
    own.ended = true
    clearInterval(own.timer)
    own.server.close()
    for (const socket of own.sockets) socket.destroy()
  }

  await start(software)
  return {
    id,
    link,
    drain,
    stop,
    start,
    close: async () => {
      stop()
      await link.close()
    }
  }
}
