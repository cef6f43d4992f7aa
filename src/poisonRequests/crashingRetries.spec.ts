import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const catalog = buildCatalog({ routes: [buildRoute({ host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: true, timeout: 5_000, objective: 500, maxWorkers: 9, targets: [{ service: 'model', weight: 1 }] })] })

const build = (parts: readonly string[]) => {
  const workers = ['m1', 'm2', 'm3', 'm4'].map(id => buildWorker(id, { service: 'model', slots: 8, models: [{ name: 'llm', version: 1 }] }))
  const fake = createFakeForwarding({ hash, catalog, workers })
  fake.arrive(buildCall({ host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 60, maxOutputTokens: 9, parts: parts.map(id => ({ id, tokens: 10 })) } }), 0)
  return fake
}

describe('a request whose attempts are cut soon after they begin', () => {
  it('is sent to two workers at most, since it may crash each', () => {
    const fake = build(['a', 'b', 'own'])
    for (let now = 10; now < 60; now += 10) fake.fail(fake.sends().at(-1)?.attempt ?? 0, 'cut', now)
    expect(fake.sends()).toHaveLength(2)
  })

  it('is sent to two workers at most, too, if its prompt has no part that others may share', () => {
    const fake = build(['own'])
    for (let now = 10; now < 60; now += 10) fake.fail(fake.sends().at(-1)?.attempt ?? 0, 'cut', now)
    expect(fake.sends()).toHaveLength(2)
  })

  it('is sent to more workers if they had written for long', () => {
    const fake = build(['a', 'b', 'own'])
    for (let turn = 0; turn < 3; turn++) {
      const { attempt } = fake.sends()[turn]
      fake.head(attempt, {}, 1_000 * turn + 10)
      fake.data(attempt, `id: ${turn + 1}\ndata: x\n\n`, 1_000 * turn + 10)
      fake.fail(attempt, 'cut', 1_000 * turn + 900)
    }
    expect(fake.sends()).toHaveLength(4)
  })
})
