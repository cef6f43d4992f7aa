/**
 * Two holders of the rollout lease take turns within `leaseMs`, at one worker that does not check fences.
 * The instance that gave the last order is killed and starts again; its successor is killed, too.
 */
import { configuration } from '../lab/configuration.mjs'
import { createGateway } from '../lab/gateway.mjs'
import { startModelWorker } from '../lab/modelWorker.mjs'
import { isTroubled, run, sleep, until } from '../lab/scene.mjs'
import { startStore } from '../lab/store.mjs'

const net = `127.${20 + process.pid % 200}.${1 + (process.pid >> 8) % 200}`
const instances = Number(process.env.INSTANCES ?? 3)
const second = process.env.SECOND ?? 'SIGKILL'
const restartAfter = 300
const leaseMs = 3000

/** Finds the orders of one holder before and after those of another, all of them within `leaseMs`. */
const findTurns = orders => {
  const found = []
  orders.forEach((last, index) => {
    const before = orders.slice(0, index).filter(({ at }) => last.at - at < leaseMs)
    const other = before.findLast(({ holder }) => holder !== last.holder)
    const first = other === undefined ? undefined : before.slice(0, before.indexOf(other)).find(({ holder }) => holder === last.holder)
    if (first !== undefined) found.push([first, other, last])
  })
  return found
}

run(new URL('.', import.meta.url).pathname, async ({ folder, record, now, defer }) => {
  const orders = []
  const store = await startStore(`${net}.1`)
  defer(store.close)
  store.put('keyed.op', 'config', configuration(1))
  store.put('keyed.op', 'version/m0', { model: 'm0', version: 1 })
  const workers = []
  for (let index = 0; index < 3; index++) {
    const worker = await startModelWorker({
      id: `i-w${index}`,
      host: `${net}.${10 + index}`,
      zone: 'zone-a',
      service: 'writer',
      model: 'm0',
      store,
      ordered: order => {
        orders.push({ at: now(), ...order })
        record({ what: 'order', ...order })
      }
    })
    workers.push(worker)
    defer(worker.close)
  }
  const gateways = []
  for (let index = 0; index < instances; index++) {
    const gateway = await createGateway({ id: `front-zone-a-${index + 1}`, host: `${net}.${100 + index}`, zone: 'zone-a', store: store.address, folder, record })
    gateways.push(gateway)
    defer(gateway.close)
    gateway.start()
  }
  if (!await until(async () => (await Promise.all(gateways.map(({ isReady }) => isReady()))).every(Boolean), 15_000, 100)) throw new Error('instances are not ready')
  await sleep(5000)

  let named = 1
  const name = () => {
    named++
    record({ what: 'version named', version: named })
    store.put('keyed.op', 'version/m0', { model: 'm0', version: named })
  }
  const holderOf = async after => {
    if (!await until(() => orders.some(({ at }) => at >= after), 8000, 2)) return undefined
    const { holder } = orders.find(({ at }) => at >= after)
    return gateways.find(({ id }) => id === holder)
  }
  const kill = (gateway, signal) => {
    if (!isTroubled) return
    gateway.signal(signal)
    if (signal === 'SIGKILL') setTimeout(gateway.start, restartAfter)
  }

  for (let round = 0; round < 6; round++) {
    const begin = now()
    name()
    const first = await holderOf(begin)
    if (first === undefined) throw new Error('no order was given')
    await sleep(30)
    kill(first, 'SIGKILL')
    name()
    const afterFirst = now()
    await until(() => orders.some(({ at, holder }) => at >= afterFirst && holder !== first.id), 4000, 2)
    const successor = gateways.find(({ id }) => id === orders.findLast(({ at }) => at >= afterFirst)?.holder)
    if (successor !== undefined && successor !== first) {
      await sleep(30)
      kill(successor, second)
    }
    name()
    await sleep(6000)
  }
  return workers.flatMap(({ id }) => findTurns(orders.filter(({ worker }) => worker === id)).slice(0, 1).map(turn =>
    `ONE: orders to ${id} within ${leaseMs} ms: ${turn.map(({ at, holder, fence, version }) => `${at} ms from ${holder} (fence ${fence}, version ${version})`).join(', ')}`))
})
