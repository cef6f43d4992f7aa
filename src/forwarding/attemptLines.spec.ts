import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const partIds = ['p1', 'p2', 'p3', 'p4', 'p5', 'last']

const begin = () => {
  const worker = buildWorker('w1', { service: 'model', models: [{ name: 'llm', version: 1 }], startedAt: 7 })
  const fake = createFakeForwarding({ hash, catalog: buildCatalog(), workers: [worker] })
  const parts = partIds.map(id => ({ id, tokens: 10 }))
  fake.arrive(buildCall({ host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 60, maxOutputTokens: 9, parts } }), 0)
  return fake
}

const play = (events: string | undefined) => {
  const fake = begin()
  fake.head(1, {}, 10)
  if (events !== undefined) fake.data(1, events, 20)
  fake.fail(1, 'cut', 65)
  return fake.logEvents
}

describe('the log lines of an attempt', () => {
  it('name the shared parts of a prompt, a few at most, and never the last one', () => {
    expect(play(undefined)).toContainEqual(expect.objectContaining({ kind: 'sent', parts: ['p1', 'p2', 'p3', 'p4'] }))
  })

  it('name the cache scope of a prompt, which says with whom it shares parts', () => {
    expect(play(undefined)).toContainEqual(expect.objectContaining({ kind: 'sent', scope: 'llm@1' }))
  })

  it('say which lifetime of a worker cut it, how long after its first event, and which request it was', () => {
    const request: unknown = expect.stringMatching(/^[0-9a-f]{16}$/)
    expect(play('id: 1\ndata: x\n\n')).toContainEqual({ kind: 'attemptFailed', id: 'call-1', worker: 'w1', reason: 'cut', after: 65, begun: 45, startedAt: 7, quiet: 45, givenUp: false, request })
    expect(play(undefined)).toContainEqual({ kind: 'attemptFailed', id: 'call-1', worker: 'w1', reason: 'cut', after: 65, startedAt: 7, quiet: 55, givenUp: false, request })
  })
  it('say at which worker the run of a caller that left was', () => {
    const fake = begin()
    fake.head(1, {}, 10)
    fake.data(1, 'id: 1\ndata: x\n\n', 20)
    fake.leave(1, 65)
    expect(fake.logEvents).toContainEqual({ kind: 'attemptCancelled', id: 'call-1', worker: 'w1', after: 65, begun: 45 })
  })

  it('say how many requests a worker without room stated to have', () => {
    const fake = begin()
    fake.head(1, { status: 503, notRun: true, signed: false, load: { running: 8, waiting: 4, slots: 8 } }, 10)
    fake.end(1, 12)
    expect(fake.logEvents).toContainEqual(expect.objectContaining({ kind: 'attemptFailed', reason: 'turnedAway', stated: 12 }))
  })
})
