import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const partIds = ['p1', 'p2', 'p3', 'p4', 'p5', 'last']

const play = (events: string | undefined) => {
  const worker = buildWorker('w1', { service: 'model', models: [{ name: 'llm', version: 1 }], startedAt: 7 })
  const fake = createFakeForwarding({ hash, catalog: buildCatalog(), workers: [worker] })
  const parts = partIds.map(id => ({ id, tokens: 10 }))
  fake.arrive(buildCall({ host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 60, maxOutputTokens: 9, parts } }), 0)
  fake.head(1, {}, 10)
  if (events !== undefined) fake.data(1, events, 20)
  fake.fail(1, 'cut', 65)
  return fake.logEvents
}

describe('the log lines of an attempt', () => {
  it('name the shared parts of a prompt, a few at most, and never the last one', () => {
    expect(play(undefined)).toContainEqual(expect.objectContaining({ kind: 'sent', parts: ['p1', 'p2', 'p3', 'p4'] }))
  })

  it('say which lifetime of a worker cut it, how long after its first event, and which request it was', () => {
    const request: unknown = expect.stringMatching(/^[0-9a-f]{16}$/)
    expect(play('id: 1\ndata: x\n\n')).toContainEqual({ kind: 'attemptFailed', id: 'call-1', worker: 'w1', reason: 'cut', after: 65, begun: 45, startedAt: 7, quiet: 45, givenUp: false, request })
    expect(play(undefined)).toContainEqual({ kind: 'attemptFailed', id: 'call-1', worker: 'w1', reason: 'cut', after: 65, startedAt: 7, quiet: 55, givenUp: false, request })
  })
})
