import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import type { Catalog } from '../catalog/catalogTypes.js'
import { loadHash, type Hash } from '../hash.js'
import type { Worker } from '../workers/workersTypes.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const build = (catalog: Catalog = buildCatalog(), workers: readonly Worker[] = ['w1', 'w2', 'w3'].map(id => buildWorker(id))) =>
  createFakeForwarding({ hash, catalog, workers })

describe('unreachable workers', () => {
  it('get one request in 12 s, not one every few hundred ms', () => {
    const fake = build(buildCatalog({ routes: [buildRoute({ kind: 'once', maxWorkers: 1 })] }))
    fake.arrive(buildCall(), 0)
    const [{ attempt, dispatch }] = fake.sends()
    fake.fail(attempt, 'unsent', 200)
    for (let now = 220; now < 12_000; now += 20) {
      fake.lease.renew({ steady: now, wall: now })
      fake.arrive(buildCall({ id: `call-${now}` }), now)
      fake.head(fake.sends().at(-1)?.attempt ?? 0, {}, now + 5)
      fake.end(fake.sends().at(-1)?.attempt ?? 0, now + 5)
      const probes = fake.probes().length
      fake.tick(now + 10)
      if (fake.probes().length > probes) fake.probed(dispatch.worker, false, now + 15)
    }
    expect(fake.sends().filter(({ dispatch: { worker } }) => worker === dispatch.worker)).toHaveLength(1)
  })

  it('are used again once they can be reached', () => {
    const fake = build(buildCatalog(), [buildWorker('w1'), buildWorker('w2')])
    fake.arrive(buildCall(), 0)
    const { attempt, dispatch } = fake.sends()[0]
    fake.fail(attempt, 'unsent', 200)
    expect(fake.probes()).toEqual([dispatch.worker])
    fake.probed(dispatch.worker, true, 210)
    expect(fake.loadOf(dispatch.worker)?.suspectedSince).toBeUndefined()
  })

  it('share retryable requests with another worker at once, and lose the others once they are not listed either', () => {
    const fake = build(buildCatalog({ routes: [buildRoute({ kind: 'once', maxWorkers: 1, timeout: 5_000 }), buildRoute({ pathPrefix: '/read/', timeout: 5_000 })] }), [buildWorker('w1'), buildWorker('w2')])
    const nonRetryable = fake.arrive(buildCall(), 0)
    const { worker } = fake.sends()[0].dispatch
    const other = fake.arrive(buildCall({ path: '/read/x' }), 1)
    const retryable = fake.sends()[1].dispatch.worker === worker ? other : fake.arrive(buildCall({ path: '/read/x' }), 2)
    for (const now of [150, 170, 190]) fake.tick(now)
    expect(fake.probes()).toContain(worker)
    fake.probed(worker, false, 390)
    expect(fake.callerView(nonRetryable)).toBeUndefined()
    expect(fake.sends().filter(({ dispatch }) => dispatch.worker !== worker && dispatch.call.path === '/read/x').length).toBeGreaterThan(0)
    expect(fake.callerView(retryable)).toBeUndefined()
    fake.tick(1_800)
    fake.probed(worker, false, 2_000)
    expect(fake.callerView(nonRetryable)).toBeUndefined()
    for (const readAt of [1_000, 2_000]) fake.workers.noteRead(readAt)
    fake.workers.apply([{ kind: 'absent', id: worker }], false, 2_100)
    fake.tick(2_900)
    expect(fake.probes().filter(probed => probed === worker)).toHaveLength(3)
    fake.probed(worker, false, 3_100)
    expect(fake.callerView(nonRetryable)).toMatchObject({ status: 502 })
  })
})
