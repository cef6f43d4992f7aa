/**
 * The store comes back from a copy from before a tenant was isolated and a key was taken away, while an instance is added.
 * That instance lets a tenant use prompt parts of the isolated one, and accepts the key.
 */
import { call } from '../lab/caller.mjs'
import { configuration } from '../lab/configuration.mjs'
import { createGateway } from '../lab/gateway.mjs'
import { startModelWorker } from '../lab/modelWorker.mjs'
import { startPlainWorker } from '../lab/plainWorker.mjs'
import { isTroubled, run, sleep, until } from '../lab/scene.mjs'
import { startStore } from '../lab/store.mjs'

const net = `127.${20 + process.pid % 200}.${1 + (process.pid >> 8) % 200}`
const revokeMs = 5000
/** `configApplyMs`, and `maxStretchMs` for an unstable core. */
const configBound = 2000 + 5000
const awayMs = 1500
const startBefore = 1000
const rewriteAfter = 500
const interval = 20
const sharedPart = 'a1:2000'

const before = configuration(1, { 'tenant-a': ['key-a'], 'tenant-b': ['key-b'], 'tenant-c': ['key-c'] })
const after = configuration(2, { 'tenant-a': ['key-a'], 'tenant-b': [], 'tenant-c': ['key-c'] }, ['tenant-c'])

run(new URL('.', import.meta.url).pathname, async ({ folder, record, now, defer }) => {
  const runs = []
  const uses = []
  const sent = new Map()
  const store = await startStore(`${net}.1`)
  defer(store.close)
  const operate = config => {
    store.put('keyed.op', 'config', config)
    store.put('keyed.op', 'version/m0', { model: 'm0', version: 1 })
    record({ what: 'operator writes', config: config.version })
  }
  operate(before)
  const note = (list, what) => entry => {
    list.push({ at: now(), ...entry })
    record({ what, ...entry })
  }
  const workers = []
  for (let index = 0; index < 3; index++) {
    workers.push(await startPlainWorker({ id: `i-d${index}`, host: `${net}.${10 + index}`, zone: 'zone-a', service: 'desk', store, ran: note(runs, 'run') }))
    workers.push(await startModelWorker({ id: `i-m${index}`, host: `${net}.${20 + index}`, zone: 'zone-a', service: 'writer', model: 'm0', store, ran: note(runs, 'run'), used: note(uses, 'part used') }))
  }
  workers.forEach(worker => defer(worker.close))
  const gateways = []
  for (let index = 0; index < 4; index++) {
    const gateway = await createGateway({ id: `front-zone-a-${index + 1}`, host: `${net}.${100 + index}`, zone: 'zone-a', store: store.address, folder, record })
    gateways.push(gateway)
    defer(gateway.close)
  }
  const present = gateways.slice(0, 3)
  const added = gateways[3]
  for (const gateway of present) gateway.start()
  if (!await until(async () => (await Promise.all(present.map(({ isReady }) => isReady()))).every(Boolean), 15_000, 100)) throw new Error('instances are not ready')
  await sleep(1000)

  const send = async (gateway, path, key, options = {}) => {
    const at = now()
    const answer = await call({ host: gateway.host, port: gateway.front, path, key, ...options })
    sent.set(answer.id, at)
    record({ what: 'answer', to: gateway.id, key, request: answer.id, sentAt: at, status: answer.status, error: answer.error })
    return answer
  }
  let ownParts = 0
  const draft = (gateway, key) => {
    ownParts++
    return send(gateway, '/draft/a', key, { method: 'POST', patience: 3000, headers: { 'x-model': 'm0', 'x-token-count': '2100,5', 'x-prompt-prefix': `${sharedPart},${(0xb000 + ownParts).toString(16)}:100` } })
  }
  await Promise.all(Array.from({ length: 30 }, (_, index) => draft(present[index % 3], 'key-c')))
  await sleep(1500)
  store.copy()
  await sleep(200)
  operate(after)
  const confirmedAt = now()
  await sleep(6000)

  const sending = setInterval(() => {
    for (const gateway of gateways) send(gateway, '/read/a', 'key-b')
    draft(added, 'key-a')
  }, interval)
  await sleep(500)
  if (isTroubled) {
    record({ what: 'store away' })
    store.setDown(true)
  }
  await sleep(awayMs - startBefore)
  added.start()
  await sleep(startBefore)
  if (isTroubled) {
    store.restore()
    store.setDown(false)
    record({ what: 'store back from its copy' })
    for (const worker of workers) worker.register()
    setTimeout(() => operate(after), rewriteAfter)
  }
  await sleep(4000)
  clearInterval(sending)
  await sleep(3500)
  const delays = requests => requests.map(request => sent.get(request) - confirmedAt).slice(0, 5).join(', ')
  const foreign = uses.filter(({ request, tenant, madeBy }) => tenant !== madeBy && [tenant, madeBy].includes('tenant-c') && (sent.get(request) ?? -Infinity) > confirmedAt + configBound)
  const late = runs.filter(({ request, tenant }) => tenant === 'tenant-b' && (sent.get(request) ?? -Infinity) > confirmedAt + revokeMs)
  return [
    ...(foreign.length === 0 ? [] : [`WALL: ${foreign.length} requests of ${foreign[0].tenant}, sent ${delays(foreign.map(({ request }) => request))} ms after the confirmation of the config that isolates tenant-c, ran on a part that a request of ${foreign[0].madeBy} had made (bound ${configBound} ms)`]),
    ...(late.length === 0 ? [] : [`CONFIG: ${late.length} requests with key-b ran that were sent ${delays(late.map(({ request }) => request))} ms after the confirmation of the config that took it away (bound ${revokeMs} ms)`])
  ]
})
