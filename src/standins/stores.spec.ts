import { loadHash } from '../hash.js'
import { createEngine } from './engine/engine.js'
import { createKvStore } from './kvStore.js'
import { createWeightStore } from './weightStore.js'
import type { StandIn } from './standInServer.js'

const closers: Array<() => Promise<void>> = []

afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

const start = async (standIn: StandIn<unknown>): Promise<string> => {
  closers.push(standIn.close)
  const { host, port } = await standIn.listen()
  return `http://${host}:${port}`
}

const post = async (url: string, body: unknown = {}): Promise<unknown> => {
  const response = await fetch(url, { method: 'POST', body: JSON.stringify(body) })
  return response.json()
}

test('loads beyond those borne at once take longer', async () => {
  const url = await start(createWeightStore({ loadTime: 500, atOnce: 2, now: () => 0 }))
  const granted: unknown[] = []
  for (const name of ['a', 'b', 'c']) granted.push(await post(`${url}/loads/${name}`))
  expect(granted).toEqual([{ ms: 500 }, { ms: 500 }, { ms: 750 }])
})

test('an engine loads weights through the store, and refuses the order when the store is out', async () => {
  const weights = createWeightStore({ loadTime: 1 })
  const weightsUrl = await start(weights)
  const engineUrl = await start(createEngine(await loadHash(), { weightsUrl }))
  const order = { kind: 'load', model: 'drafter', weightVersion: '8', fence: 1 }
  expect(await post(`${engineUrl}/v1/orders`, order)).toMatchObject({ result: 'done', models: [{ weightVersion: '1' }, { weightVersion: '8' }] })
  weights.injectFault({ kind: 'outage', ms: 60_000 })
  expect(await post(`${engineUrl}/v1/orders`, { ...order, weightVersion: '9' })).toMatchObject({ result: 'failed' })
  expect(weights.record).toMatchObject([{ name: 'drafter+@8' }])
})

test('blocks exported by one engine are imported by another, of the same salt only', async () => {
  const kvUrl = await start(createKvStore())
  const hash = await loadHash()
  const [from, to] = [await start(createEngine(hash, { kvUrl, decodeTime: 1 })), await start(createEngine(hash, { kvUrl }))]
  const prompt = 'particulars '.repeat(400)
  const answer = await fetch(`${from}/v1/completions`, {
    method: 'POST',
    headers: { 'x-cache-salt': 'north' },
    body: JSON.stringify({ model: 'drafter', stream: true, prompt, max_tokens: 1 })
  })
  await answer.text()
  const listing = await (await fetch(`${from}/v1/cache/events`)).json() as { events: Array<{ block: string }> }
  const blocks = listing.events.map(({ block }) => block)
  expect(await post(`${from}/v1/kv/export`, { salt: 'north', blocks })).toEqual({ blocks: 8 })
  expect(await post(`${to}/v1/kv/import`, { salt: 'south', blocks })).toEqual({ blocks: 0 })
  expect(await post(`${to}/v1/kv/import`, { salt: 'north', blocks })).toEqual({ blocks: 8 })
})

test('a fault without a known form is refused', async () => {
  const url = await start(createKvStore())
  expect(await post(`${url}/fault`, { kind: 'earthquake' })).toMatchObject({ error: { type: 'bad_fault' } })
})
