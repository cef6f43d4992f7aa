// The operator sets `isolated` of a tenant. Requests of other tenants go on reading the KV cache that requests of this tenant have made.
import { ask, createRecord, finish, hasTrouble, keptConnections } from '../harness/caller.mjs'
import { sleep, startGateway, temporaryFolder } from '../harness/gateway.mjs'
import { answerHeaders, startWorker } from '../harness/worker.mjs'
import { startStandInStore } from '../../target/review/standInStore.mjs'

/** `configApplyMs` of the site, in ms. */
const applyTime = 2_000
const record = createRecord(new URL('record.txt', import.meta.url).pathname)
const folder = temporaryFolder('review-3')
const store = await startStandInStore()

/** Parts in the memory of each worker: which tenant's request made a part under a text of `X-Cache-Salt`. */
const uses = []
const workers = []
for (let index = 0; index < 2; index++) {
  const id = `model-${index}`
  const cache = new Map()
  workers.push(await startWorker({
    id,
    service: 'model',
    store,
    slots: 64,
    models: [{ name: 'llm', version: 1, adapters: [] }],
    serve: async (request, response) => {
      const tenant = request.headers['x-tenant']
      const salt = request.headers['x-cache-salt'] ?? ''
      const requestId = request.headers['x-request-id']
      let chain = salt
      let isKept = true
      for (const entry of (request.headers['x-prompt-prefix'] ?? '').split(',')) {
        const part = entry.split(':')[0]
        chain += `/${part}`
        const maker = cache.get(chain)
        isKept &&= maker !== undefined
        if (isKept) uses.push({ at: record.elapsed(), request: requestId, tenant, part, maker: maker.tenant, madeBy: maker.request })
        else cache.set(chain, { tenant, request: requestId })
        record.note(`${id} ${requestId} of ${tenant}, salt ${salt}: part ${part} ${isKept ? `kept, made by ${maker.request} of ${maker.tenant}` : 'read'}`)
      }
      await sleep(30)
      response.writeHead(200, { ...answerHeaders(request, id), 'content-type': 'text/event-stream', 'x-weight-versions': '1' })
      for (let event = 1; event <= 3; event++) response.write(`id: ${event}\ndata: text\n\n`)
      response.end()
    }
  }))
}

let version = 7
/** Publishes a configuration; resolves as soon as the store has it, which is the confirmation. */
const publish = isolated => {
  version++
  store.put('keyed.op', 'config', JSON.stringify({
    version,
    routes: [{ name: 'draft', host: 'case.example', pathPrefix: '/draft/', kind: 'streaming', timeoutMs: 15_000, sloMs: 300, priority: 0, service: 'model', maxAttempts: 2, public: false, sticky: true, resumable: true, gapTargetMs: 200 }],
    services: [{ name: 'model', healthPath: '/healthz', maxConns: 360, engine: { slots: 64, kvCapacity: 111_602, kvTokenBytes: 163_840, linkMbps: 130_000 } }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [
      { name: 'hospital', apiKeys: ['key-hospital'], priority: 1, isolated },
      { name: 'shop', apiKeys: ['key-shop'], priority: 1, isolated: false }
    ]
  }))
  record.note(`operator: configuration ${version} confirmed, tenant hospital isolated: ${isolated}`)
  return record.elapsed()
}

publish(false)
store.put('keyed.op', 'version/llm', JSON.stringify({ model: 'llm', version: 1 }))
const instances = [await startGateway('i0', folder, store.address), await startGateway('i1', folder, store.address)]
for (const instance of instances) if (!await instance.waitReady()) finish(record, 2, `${instance.id} was not ready`)

let number = 0
const agents = instances.map(() => keptConnections())
/** Sends a prompt of shared parts and one part of its own, as the clients do. */
const draft = async (tenant, shared) => {
  const index = number % instances.length
  number++
  const id = `r${number}`
  const parts = [...shared.map(part => `${part}:800`), `${(0x10000 + number).toString(16)}:200`].join(',')
  const outcome = await ask({
    to: instances[index].front,
    agent: agents[index],
    path: '/draft/1',
    body: Buffer.from('prompt'),
    headers: { host: 'case.example', 'x-request-id': id, 'api-key': `key-${tenant}`, 'x-request-deadline-ms': '15000', 'x-model': 'llm', 'x-token-count': '1800,10', 'x-prompt-prefix': parts }
  })
  record.note(`${id} of ${tenant}: ${outcome.status ?? outcome.error}`)
  return outcome.status
}

const statuses = []
// The tenant that will be isolated works on its guidance.
for (let turn = 0; turn < 12; turn++) statuses.push(await draft('hospital', ['aaaa0001', 'aaaa0002']))
let isolatedAt = Infinity
if (hasTrouble) isolatedAt = publish(true)
await sleep(applyTime + 1_000)
// Another tenant sends prompts that begin with the same parts.
const sentAt = record.elapsed()
for (let turn = 0; turn < 12; turn++) statuses.push(await draft('shop', ['aaaa0001', 'aaaa0002']))
// So does the isolated one.
for (let turn = 0; turn < 12; turn++) statuses.push(await draft('hospital', ['aaaa0001', 'aaaa0002']))

const served = statuses.filter(status => status === 200).length
if (served < statuses.length / 2) finish(record, 2, `only ${served} of ${statuses.length} requests were served`)
const isForeign = ({ at, tenant, maker }) => tenant !== maker && (tenant === 'hospital' || maker === 'hospital') && at >= sentAt && at > isolatedAt + applyTime
const foreign = uses.filter(isForeign)
for (const instance of instances) {
  instance.child.kill('SIGKILL')
  await instance.ended
}
for (const worker of workers) worker.close()
const requests = new Set(foreign.map(({ request }) => request)).size
finish(record, foreign.length > 0 ? 1 : 0, `${requests} requests, sent more than ${applyTime} ms after the configuration was confirmed, used ${foreign.length} parts that a request of another tenant had made, and one of the two tenants is isolated`)
