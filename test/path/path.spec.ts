import { request as send } from 'undici'
import { uuidv7 } from '../../demo/client.js'
import type { Generation } from '../../demo/client.js'
import { loadHash } from '../../src/hash.js'
import type { Hash } from '../../src/hash.js'
import type { Fault } from '../../src/standins/faults.js'
import { expectedText, startPathFleet } from './pathFixture.js'
import type { PathFleet } from './pathFixture.js'

let fleet: PathFleet
let hash: Hash
let prompts = 0

beforeAll(async () => {
  hash = await loadHash()
})

beforeEach(async () => {
  fleet = await startPathFleet()
})

afterEach(() => fleet.close())

const chat = '/v1/chat/completions'
const tokens = 30

const createBody = (maxTokens = tokens) => ({
  model: 'drafter',
  max_tokens: maxTokens,
  messages: [{ role: 'system', content: 'guidance '.repeat(300) }, { role: 'user', content: `case ${++prompts}` }]
})

const expectWhole = (generation: Generation, body: ReturnType<typeof createBody>): void => {
  expect(generation.error).toBeUndefined()
  expect(generation).toMatchObject({ ending: 'whole', text: expectedText(hash, body, body.max_tokens) })
}

/** The engine that took up the latest request. */
const latest = (): PathFleet['engines'][number] => {
  const times = fleet.engines.map(({ record }) => Math.max(0, ...record.map(({ at }) => at)))
  return fleet.engines[times.indexOf(Math.max(...times))]
}

const beginStream = async (body: ReturnType<typeof createBody>) => {
  const { host, port } = fleet.origins[0]
  const response = await send(`http://${host}:${port}${chat}`, {
    method: 'POST',
    headers: { authorization: 'Bearer demo-key-north' },
    body: JSON.stringify({ ...body, stream: true })
  })
  let text = ''
  for await (const chunk of response.body) {
    text += String(chunk)
    if (text.split('\n\n').length > 10) break
  }
  return [...text.matchAll(/^id: (.+)$/gm)].map(([, id]) => id)
}

const resumeAt = async (instance: number, workspace: string, body: ReturnType<typeof createBody>, id: string) => {
  const { host, port } = fleet.origins[instance]
  const response = await send(`http://${host}:${port}${chat}`, {
    method: 'POST',
    headers: { authorization: `Bearer demo-key-${workspace}`, 'last-event-id': id },
    body: JSON.stringify({ ...body, stream: true })
  })
  const text = await response.body.text()
  return { status: response.statusCode, text: [...text.matchAll(/"content":"([^"]*)"/g)].map(([, word]) => word).join(''), raw: text }
}

describe('streams over real sockets', () => {
  test('a stream is whole, and the shared prefix is reused', async () => {
    const caller = fleet.callerAt('north', 0)
    for (const reused of [false, true]) {
      const body = createBody()
      const generation = await caller.generate(chat, body)
      expectWhole(generation, body)
      if (reused) expect(generation.cachedTokens).toBeGreaterThan(500)
    }
  })

  test.each<[Fault]>([
    [{ kind: 'cutBefore', times: 1 }],
    [{ kind: 'cutAfter', times: 1, events: 7 }],
    [{ kind: 'garbled', times: 1 }],
    [{ kind: 'crossed', times: 1 }],
    [{ kind: 'duplicate', times: 1 }]
  ])('%j at the engine leaves the answer whole', async fault => {
    const caller = fleet.callerAt('north', 0)
    await caller.generate(chat, createBody())
    const engine = latest()
    engine.injectFault(fault)
    while (engine.remainingFaults() > 0) {
      const body = createBody()
      expectWhole(await caller.generate(chat, body), body)
    }
  })

  test('an engine that crashes under a stream leaves it whole', async () => {
    const body = createBody(120)
    let seen = 0
    const generation = await fleet.callerAt('north', 0).generate(chat, body, () => {
      if (++seen === 20) latest().injectFault({ kind: 'crash' })
    })
    expectWhole(generation, body)
  })

  test('a stream that lost its instance goes on at the other, for the same workspace only', async () => {
    const body = createBody(60)
    const ids = await beginStream(body)
    const refused = await resumeAt(1, 'south', body, ids[5])
    expect(refused.status).toBe(409)
    expect(JSON.parse(refused.raw)).toMatchObject({ error: { type: 'resume_refused', outcome: 'not_run' } })
    const resumed = await resumeAt(1, 'north', body, ids[5])
    expect(resumed.status).toBe(200)
    expect(resumed.text).toBe(expectedText(hash, body, 60).split(' ').slice(7).map(word => ` ${word}`).join(''))
  })
})

describe('a stream whose engine is gone', () => {
  test('is not taken up with another sample', async () => {
    const body = createBody(200)
    const ids = await beginStream(body)
    latest().injectFault({ kind: 'crash' })
    const begun = (): number => fleet.engines.flatMap(({ record }) => record).length
    const before = begun()
    const resumed = await resumeAt(1, 'north', body, ids[5])
    expect(resumed.raw).toMatch(/"type":"(stream_interrupted|resume_refused)"/)
    expect(resumed.text).toBe('')
    expect(begun()).toBe(before)
  })
})

describe('calls that may run at most once, over real sockets', () => {
  const path = '/v1/services/bookings/viewings'

  test('a repeat at another instance gets the first answer', async () => {
    const key = uuidv7(Date.now())
    const first = await fleet.callerAt('north', 0).call('POST', path, key, { slot: 1 })
    const second = await fleet.callerAt('north', 1).call('POST', path, key, { slot: 1 })
    expect(first).toMatchObject({ status: 200, outcome: 'ran' })
    expect(second.body).toBe(first.body)
    expect(fleet.runsOf(key)).toBe(1)
  })

  test.each(['cutBefore', 'cutAfter'] as const)('%s: the caller is told "unknown", and no repeat runs', async kind => {
    const key = uuidv7(Date.now())
    for (const service of fleet.services) service.injectFault(kind === 'cutAfter' ? { kind, times: 1, events: 0 } : { kind, times: 1 })
    const first = await fleet.callerAt('north', 0).call('POST', path, key, { slot: 2 })
    expect(first.outcome).toBe('unknown')
    const runs = fleet.runsOf(key)
    expect(runs).toBe(kind === 'cutAfter' ? 1 : 0)
    const second = await fleet.callerAt('north', 1).call('POST', path, key, { slot: 2 })
    expect(second.outcome).not.toBe('not_run')
    expect(fleet.runsOf(key)).toBe(runs)
  })

  test('while the log is out a call is refused, and did not run', async () => {
    fleet.log.injectFault({ kind: 'outage', ms: 1_500 })
    const key = uuidv7(Date.now())
    const refused = await fleet.callerAt('north', 0).call('POST', path, key, { slot: 3 })
    expect(refused).toMatchObject({ ending: 'refused', outcome: 'not_run' })
    expect(fleet.runsOf(key)).toBe(0)
  })
})

describe('bad input over real sockets', () => {
  const post = async (path: string, body: string, headers: Record<string, string> = {}) => {
    const { host, port } = fleet.origins[0]
    const response = await send(`http://${host}:${port}${path}`, { method: 'POST', headers: { authorization: 'Bearer demo-key-north', ...headers }, body })
    return { status: response.statusCode, body: await response.body.json() }
  }

  const bad: ReadonlyArray<readonly [string, string, string, Record<string, string>, number, string]> = [
    ['JSON that ends early', chat, '{"model":', {}, 400, 'malformed_request'],
    ['a key that is not known', chat, JSON.stringify(createBody()), { authorization: 'Bearer nobody' }, 401, 'unauthorised'],
    ['a model that is not served', chat, JSON.stringify({ ...createBody(), model: 'nothing' }), {}, 404, 'unknown_model'],
    ['a service that is not known', '/v1/services/nothing/x', '{}', {}, 404, 'unknown_service'],
    ['a booking without a key', '/v1/services/bookings/viewings', '{}', {}, 400, 'idempotency_key_missing'],
    ['a header that is too large', chat, '{}', { 'x-large': 'x'.repeat(20_000) }, 431, 'header_too_large'],
    ['a body that is too large', chat, 'x'.repeat(4_194_305), {}, 413, 'body_too_large']
  ]

  test('each gets a typed error, and the instance goes on', async () => {
    for (const [, path, body, headers, status, type] of bad) {
      expect(await post(path, body, headers)).toMatchObject({ status, body: { error: { type, outcome: 'not_run' } } })
      const next = createBody(3)
      expectWhole(await fleet.callerAt('north', 0).generate(chat, next), next)
    }
  })
})
