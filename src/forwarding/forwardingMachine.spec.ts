import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import type { Catalog } from '../catalog/catalogTypes.js'
import { loadHash, type Hash } from '../hash.js'
import type { Worker } from '../workers/workersTypes.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const deskWorkers = [buildWorker('w1'), buildWorker('w2'), buildWorker('w3')]

const build = (catalog: Catalog | undefined = buildCatalog(), workers: readonly Worker[] = deskWorkers) =>
  createFakeForwarding({ hash, catalog, workers })

const once = buildCatalog({ routes: [buildRoute({ kind: 'once', maxWorkers: 1 })] })
const keyed = buildCatalog({ routes: [buildRoute({ open: false })], workspaces: [{ name: 'listings', keys: ['secret'], isolated: false }] })

const modelWorkers = (version: number): readonly Worker[] => ['m1', 'm2'].map(id =>
  buildWorker(id, { service: 'model', slots: 8, models: [{ name: 'llm', version }] }))
const modelCall = buildCall({ host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 900, maxOutputTokens: 50, parts: [{ id: 'a1', tokens: 500 }, { id: 'b2', tokens: 400 }] } })
const buildModel = (over: Parameters<typeof buildRoute>[0] = {}) =>
  build(buildCatalog({ routes: [buildRoute({ host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: true, timeout: 5_000, objective: 500, targets: [{ service: 'model', weight: 1 }], ...over })] }), modelWorkers(1))

const event = (id: number): string => `id: ${id}\ndata: t\n\n`

describe('plain requests', () => {
  it('get the worker\'s answer unchanged', () => {
    const fake = build()
    const request = fake.arrive(buildCall(), 0)
    const [{ attempt, dispatch }] = fake.sends()
    expect(dispatch.timeLeft).toBe(1_000)
    fake.head(attempt, { status: 201 }, 20)
    fake.data(attempt, 'hello', 21)
    fake.end(attempt, 22)
    expect(fake.view(request)).toEqual({ status: 201, headers: ['X-A', 'b'], text: 'hello', state: 'whole' })
  })

  it('that may run once are not sent again after a cut', () => {
    const fake = build(once)
    const request = fake.arrive(buildCall(), 0)
    fake.fail(fake.sends()[0].attempt, 'cut', 30)
    expect(fake.sends()).toHaveLength(1)
    expect(fake.view(request)).toMatchObject({ status: 502, state: 'whole' })
  })

  it('that never left go to another worker, without use of the budget', () => {
    const fake = build(once)
    fake.arrive(buildCall(), 0)
    fake.fail(fake.sends()[0].attempt, 'unsent', 5)
    const [first, second] = fake.sends()
    expect(second.dispatch.worker).not.toBe(first.dispatch.worker)
  })

  it('that may be repeated go to another worker after a failure', () => {
    const fake = build()
    fake.arrive(buildCall(), 0)
    fake.head(fake.sends()[0].attempt, { status: 500 }, 5)
    fake.end(fake.sends()[0].attempt, 6)
    expect(fake.sends()).toHaveLength(2)
  })

  it('are refused as not run only if no worker may have run them', () => {
    const fake = build(buildCatalog(), [buildWorker('w1'), buildWorker('w2')])
    const request = fake.arrive(buildCall(), 0)
    fake.fail(fake.sends()[0].attempt, 'cut', 10)
    fake.head(fake.sends()[1].attempt, { status: 503, notRun: true }, 20)
    fake.end(fake.sends()[1].attempt, 21)
    expect(fake.view(request)).toMatchObject({ status: 502 })
  })

  it('get a final answer at their time limit, and the worker is told', () => {
    const fake = build(once)
    const request = fake.arrive(buildCall({ patience: 400 }), 0)
    fake.tick(399)
    expect(fake.view(request)).toBeUndefined()
    fake.tick(400)
    expect(fake.view(request)).toMatchObject({ status: 504 })
    expect(fake.cancelled()).toEqual([fake.sends()[0].attempt])
  })

  it('are cancelled when their caller leaves', () => {
    const fake = build()
    fake.leave(fake.arrive(buildCall(), 0), 10)
    expect(fake.cancelled()).toHaveLength(1)
  })

  it('get no answer that belongs to another request', () => {
    const fake = build(once)
    const request = fake.arrive(buildCall(), 0)
    fake.head(fake.sends()[0].attempt, { requestId: 'other' }, 5)
    expect(fake.view(request)).toMatchObject({ status: 502 })
    expect(fake.cancelled()).toHaveLength(1)
  })

  it('get no success for which no worker vouches', () => {
    const fake = build(once)
    const request = fake.arrive(buildCall(), 0)
    fake.head(fake.sends()[0].attempt, { signed: false }, 5)
    expect(fake.view(request)).toMatchObject({ status: 502 })
  })

  it('wait for a worker no longer than their objective allows, and hear when to come back', () => {
    const fake = build(buildCatalog(), [])
    const request = fake.arrive(buildCall(), 0)
    fake.tick(99)
    expect(fake.view(request)).toBeUndefined()
    fake.tick(100)
    expect(fake.view(request)).toMatchObject({ status: 503 })
    expect(fake.view(request)?.headers).toContain('Retry-After')
  })

  it('that wait are sent as soon as a worker is there', () => {
    const fake = build(buildCatalog(), [])
    fake.arrive(buildCall(), 0)
    fake.workers.apply([{ kind: 'present', worker: buildWorker('w1') }], false, 50)
    fake.tick(60)
    expect(fake.sends()).toHaveLength(1)
  })
})

describe('keys and routes', () => {
  it('are refused where the configuration does not hold them', () => {
    const fake = build(keyed)
    expect(fake.view(fake.arrive(buildCall({ key: 'wrong' }), 100))).toMatchObject({ status: 401 })
    expect(fake.view(fake.arrive(buildCall({ key: 'secret', path: '/else/' }), 100))).toMatchObject({ status: 404 })
  })

  it('are not refused for good by an instance that may have missed a change', () => {
    const fake = build(keyed)
    expect(fake.view(fake.arrive(buildCall({ key: 'wrong' }), 2_000))).toMatchObject({ status: 503 })
  })

  it('are not served once the configuration is unproven for too long', () => {
    const fake = build(keyed)
    expect(fake.view(fake.arrive(buildCall({ key: 'secret' }), 4_499))).toBeUndefined()
    expect(fake.view(fake.arrive(buildCall({ key: 'secret' }), 4_500))).toMatchObject({ status: 503 })
  })

  it('answer 503 before the first configuration', () => {
    const fake = createFakeForwarding({ hash, catalog: undefined, workers: deskWorkers })
    expect(fake.view(fake.arrive(buildCall(), 0))).toMatchObject({ status: 503 })
  })
})

describe('streams', () => {
  it('pass whole events on, and no part of one', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    const [{ attempt }] = fake.sends()
    fake.head(attempt, {}, 20)
    fake.data(attempt, event(1) + 'id: 2\nda', 21)
    expect(fake.view(request)).toMatchObject({ text: event(1), state: 'open' })
  })

  it('go on elsewhere after their last event under the first head', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, { headers: ['X-Run', 'first'] }, 20)
    fake.data(fake.sends()[0].attempt, event(1) + 'id: 2\nda', 21)
    fake.fail(fake.sends()[0].attempt, 'cut', 30)
    const [first, second] = fake.sends()
    expect(second.dispatch.worker).not.toBe(first.dispatch.worker)
    expect(second.dispatch.resumeAfter).toBe('1')
    fake.head(second.attempt, { headers: ['X-Run', 'second'] }, 40)
    fake.data(second.attempt, event(2), 41)
    fake.end(second.attempt, 42)
    expect(fake.view(request)).toEqual({ status: 200, headers: ['X-Run', 'first'], text: event(1) + event(2), state: 'whole' })
  })

  it('that may not be resumed are broken off visibly', () => {
    const fake = buildModel({ resumable: false, maxWorkers: 1 })
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, event(1), 21)
    fake.fail(fake.sends()[0].attempt, 'cut', 30)
    expect(fake.view(request)).toMatchObject({ state: 'broken' })
    expect(fake.sends()).toHaveLength(1)
  })

  it('that end inside an event are not complete', () => {
    const fake = buildModel({ resumable: false, maxWorkers: 1 })
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, event(1) + 'id: 2\n', 21)
    fake.end(fake.sends()[0].attempt, 30)
    expect(fake.view(request)).toMatchObject({ state: 'broken' })
  })

  it('that fall silent are taken up elsewhere', () => {
    const fake = buildModel()
    fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, event(1), 21)
    fake.tick(900)
    expect(fake.sends()).toHaveLength(1)
    fake.tick(930)
    expect(fake.sends()).toHaveLength(2)
    expect(fake.cancelled()).toEqual([fake.sends()[0].attempt])
  })

  it('name weights and a scope that belongs to them', () => {
    const fake = buildModel()
    fake.arrive(modelCall, 0)
    expect(fake.sends()[0].dispatch.model).toMatchObject({ version: 1, scope: 'llm@1' })
  })

  it('go to the same worker again, on the newest weights, when it has changed them meanwhile', () => {
    const fake = buildModel({ maxWorkers: 1 })
    fake.arrive(modelCall, 0)
    const [{ attempt, dispatch }] = fake.sends()
    fake.weights.name('llm', 2, 5)
    fake.head(attempt, { status: 421, notRun: true, worker: dispatch.worker }, 10)
    fake.end(attempt, 11)
    expect(fake.sends()[1].dispatch).toMatchObject({ worker: dispatch.worker, model: { version: 2, scope: 'llm@2' } })
  })

  it('go to no worker that came back with weights of long ago, while there is another', () => {
    const fake = buildModel()
    fake.weights.name('llm', 2, 0)
    fake.workers.apply([{ kind: 'present', worker: buildWorker('m2', { service: 'model', slots: 8, models: [{ name: 'llm', version: 2 }] }) }], false, 0)
    fake.workers.apply([{ kind: 'present', worker: buildWorker('m3', { service: 'model', slots: 8, models: [{ name: 'llm', version: 1 }] }) }], false, 5_900)
    fake.lease.renew({ steady: 6_000, wall: 6_000 })
    for (let at = 0; at < 20; at++) fake.arrive({ ...modelCall, id: `late-${at}` }, 6_000 + at)
    expect(new Set(fake.sends().map(({ dispatch }) => dispatch.worker))).toEqual(new Set(['m2']))
  })

  it('go to no worker that is loading weights', () => {
    const fake = buildModel()
    fake.weights.noteLoading('m1', 600)
    fake.arrive(modelCall, 0)
    expect(fake.sends()[0].dispatch.worker).toBe('m2')
  })
})

describe('workers out of reach', () => {
  it('cost one request, not one every few hundred ms', () => {
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

  it('lose the requests that may run elsewhere at once, and the others when they stay away', () => {
    const fake = build(buildCatalog({ routes: [buildRoute({ kind: 'once', maxWorkers: 1, timeout: 5_000 }), buildRoute({ pathPrefix: '/read/', timeout: 5_000 })] }), [buildWorker('w1'), buildWorker('w2')])
    const booking = fake.arrive(buildCall(), 0)
    const { worker } = fake.sends()[0].dispatch
    const other = fake.arrive(buildCall({ path: '/read/x' }), 1)
    const reading = fake.sends()[1].dispatch.worker === worker ? other : fake.arrive(buildCall({ path: '/read/x' }), 2)
    fake.tick(190)
    expect(fake.probes()).toContain(worker)
    fake.probed(worker, false, 390)
    expect(fake.view(booking)).toBeUndefined()
    expect(fake.sends().filter(({ dispatch }) => dispatch.worker !== worker && dispatch.call.path === '/read/x').length).toBeGreaterThan(0)
    expect(fake.view(reading)).toBeUndefined()
    fake.tick(1_800)
    fake.probed(worker, false, 2_000)
    expect(fake.view(booking)).toMatchObject({ status: 502 })
  })
})
