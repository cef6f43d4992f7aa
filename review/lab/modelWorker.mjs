/**
 * Stand-in of a model worker: takes orders to load weights, caches the parts of prompts under their salt, and streams events.
 * It does not check fences, as on installations without `requireFence`.
 */
import { createServer } from 'node:http'

const heartbeat = 1200
const stride = 40

const readBody = async request => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks)
}

/**
 * Starts a worker and registers it.
 *
 * @param options - its id, loopback address, zone, service and model, the store, and receivers of orders, of runs and of uses of parts that another run has cached
 */
export const startModelWorker = async ({ id, host, zone, service, model, store, loadTime = 570, ordered = () => {}, ran = () => {}, used = () => {} }) => {
  const born = Date.now()
  let version = 1
  let accepted = 0
  let writes = 0
  let busy = false
  /** The run that made each cached part, by salt and all parts up to it. */
  const cached = new Map()

  const models = () => [{ name: model, version, adapters: [] }]

  const register = () => {
    writes++
    store.put('keyed.servers', id, { service, address: `${host}:${server.address().port}`, zone, version: 'v1', slots: 64, state: 'ready', coldRemainingMs: 0, stage: 'both', models: models(), seq: writes, born })
  }

  const sendJson = (response, status, value) => {
    const body = JSON.stringify(value)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length }).end(body)
  }

  const load = next => {
    accepted++
    busy = true
    setTimeout(() => {
      version = next
      cached.clear()
      busy = false
      register()
    }, loadTime)
  }

  const decide = ({ version: next, expected, holder, fence }) => {
    if (holder === undefined || fence === undefined) return 400
    if (expected !== undefined && expected !== accepted) return 409
    if (version === next) return 200
    return busy ? 409 : 202
  }

  const order = async (request, response) => {
    const text = JSON.parse((await readBody(request)).toString())
    const status = decide(text)
    ordered({ worker: id, holder: text.holder, fence: text.fence, version: text.version, status })
    if (status === 202) load(text.version)
    sendJson(response, status, {})
  }

  /** Uses the leading parts that are cached, and caches the others. */
  const readPrompt = ({ headers }) => {
    const run = { request: headers['x-request-id'], tenant: headers['x-tenant'] }
    let key = headers['x-cache-salt'] ?? ''
    let isCached = true
    for (const part of (headers['x-prompt-prefix'] ?? '').split(',')) {
      key += `/${part}`
      const made = cached.get(key)
      isCached &&= made !== undefined
      if (isCached) used({ worker: id, ...run, part, salt: headers['x-cache-salt'], madeBy: made.tenant, madeIn: made.request })
      else cached.set(key, run)
    }
  }

  const stream = async (request, response) => {
    await readBody(request)
    const name = request.headers['x-request-id']
    const expected = request.headers['x-expect-version']
    if (expected !== undefined && Number(expected) !== version) return response.writeHead(421, { 'x-instance-id': id, 'x-request-id': name, 'x-weight-versions': version, 'x-not-executed': '1', 'content-length': 0 }).end()
    ran({ worker: id, request: name, tenant: request.headers['x-tenant'], version })
    readPrompt(request)
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': name, 'x-response-signature': `s.${name}`, 'x-weight-versions': version })
    for (let piece = 1; piece <= 5 && !response.destroyed; piece++) {
      response.write(`id: ${piece}\ndata: ${name} ${piece}\n\n`)
      await new Promise(resolve => { setTimeout(resolve, stride) })
    }
    response.end()
  }

  const server = createServer((request, response) => {
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) return response.writeHead(421, { 'x-instance-id': id, 'content-length': 0 }).end()
    if (request.url === '/-/order') return order(request, response)
    if (request.url === '/-/report') return sendJson(response, 200, { stage: 'both', models: models(), busy, seq: accepted, queued: 0, running: 0, kvUsed: 0, kvTotal: 100_000, handles: 0 })
    return stream(request, response)
  })
  server.keepAliveTimeout = 5000
  server.on('clientError', (_error, socket) => socket.destroy())
  await new Promise(resolve => { server.listen(0, host, resolve) })
  register()
  const timer = setInterval(register, heartbeat)

  return {
    id,
    register,
    close: () => new Promise(resolve => {
      clearInterval(timer)
      server.closeAllConnections()
      server.close(() => resolve())
    })
  }
}
