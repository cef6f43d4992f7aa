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

const onceCatalog = buildCatalog({ routes: [buildRoute({ kind: 'once', maxWorkers: 1 })] })
const keyedCatalog = buildCatalog({ routes: [buildRoute({ open: false })], workspaces: [{ name: 'listings', keys: ['secret'], isolated: false }] })

const modelWorkers = (version: number): readonly Worker[] => ['m1', 'm2'].map(id =>
  buildWorker(id, { service: 'model', slots: 8, models: [{ name: 'llm', version }] }))
const modelCall = buildCall({ host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 900, maxOutputTokens: 50, parts: [{ id: 'a1', tokens: 500 }, { id: 'b2', tokens: 400 }] } })
const buildModel = (overrides: Parameters<typeof buildRoute>[0] = {}) =>
  build(buildCatalog({ routes: [buildRoute({ host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: true, timeout: 5_000, objective: 500, targets: [{ service: 'model', weight: 1 }], ...overrides })] }), modelWorkers(1))

const sseEvent = (id: number): string => `id: ${id}\ndata: t\n\n`

describe('plain requests', () => {
  it('get the worker\'s response unchanged', () => {
    const fake = build()
    const request = fake.arrive(buildCall(), 0)
    const [{ attempt, dispatch }] = fake.sends()
    expect(dispatch.timeLeft).toBe(1_000)
    fake.head(attempt, { status: 201 }, 20)
    fake.data(attempt, 'hello', 21)
    fake.end(attempt, 22)
    expect(fake.callerView(request)).toEqual({ status: 201, headers: ['X-A', 'b'], text: 'hello', state: 'whole' })
  })

  it('that may run only once are not retried after the connection breaks', () => {
    const fake = build(onceCatalog)
    const request = fake.arrive(buildCall(), 0)
    fake.fail(fake.sends()[0].attempt, 'cut', 30)
    expect(fake.sends()).toHaveLength(1)
    expect(fake.callerView(request)).toMatchObject({ status: 502, state: 'whole' })
  })

  it('go to no worker that stated in a response that it is leaving', () => {
    const fake = build()
    fake.arrive(buildCall(), 0)
    const [{ attempt, dispatch: { worker } }] = fake.sends()
    fake.head(attempt, { leaving: true }, 20)
    fake.end(attempt, 21)
    for (let now = 30; now < 330; now += 10) fake.arrive(buildCall(), now)
    expect(fake.sends().slice(1).map(({ dispatch }) => dispatch.worker)).not.toContain(worker)
    expect(fake.logEvents.filter(({ kind }) => kind === 'workerLeaving')).toHaveLength(1)
  })

  it('go to no worker that asked for a pause until it is over', () => {
    const fake = build(undefined, deskWorkers.slice(0, 1))
    fake.arrive(buildCall(), 0)
    fake.head(fake.sends()[0].attempt, { status: 503, notRun: true, retryAfter: 90 }, 20)
    fake.end(fake.sends()[0].attempt, 20)
    fake.arrive(buildCall(), 40)
    fake.tick(100)
    expect(fake.sends()).toHaveLength(1)
    fake.tick(111)
    expect(fake.sends()).toHaveLength(2)
  })

  it('are refused at once, with the remaining time, if every worker asked for a pause longer than they may wait', () => {
    const fake = build(undefined, deskWorkers.slice(0, 1))
    fake.arrive(buildCall(), 0)
    fake.head(fake.sends()[0].attempt, { status: 503, notRun: true, retryAfter: 2_000 }, 20)
    fake.end(fake.sends()[0].attempt, 20)
    const refused = fake.callerView(fake.arrive(buildCall(), 520))
    expect(refused).toMatchObject({ status: 503, state: 'whole' })
    const retryAfter = Number(refused?.headers[refused.headers.indexOf('Retry-After') + 1])
    expect(retryAfter).toBeGreaterThanOrEqual(1.5)
    expect(retryAfter).toBeLessThanOrEqual(2.25)
  })

  it('that were never sent go to another worker without using the retry budget', () => {
    const fake = build(onceCatalog)
    fake.arrive(buildCall(), 0)
    fake.fail(fake.sends()[0].attempt, 'unsent', 5)
    const [first, second] = fake.sends()
    expect(second.dispatch.worker).not.toBe(first.dispatch.worker)
  })

  it('that may be retried go to another worker after an error response', () => {
    const fake = build()
    fake.arrive(buildCall(), 0)
    fake.head(fake.sends()[0].attempt, { status: 500 }, 5)
    fake.end(fake.sends()[0].attempt, 6)
    expect(fake.sends()).toHaveLength(2)
  })

  it('are refused as not run only if no worker can have run them', () => {
    const fake = build(buildCatalog(), [buildWorker('w1'), buildWorker('w2')])
    const request = fake.arrive(buildCall(), 0)
    fake.fail(fake.sends()[0].attempt, 'cut', 10)
    fake.head(fake.sends()[1].attempt, { status: 503, notRun: true }, 20)
    fake.end(fake.sends()[1].attempt, 21)
    expect(fake.callerView(request)).toMatchObject({ status: 502 })
  })

  it('get a final response at their deadline and are cancelled at the worker', () => {
    const fake = build(onceCatalog)
    const request = fake.arrive(buildCall({ patience: 400 }), 0)
    fake.tick(399)
    expect(fake.callerView(request)).toBeUndefined()
    fake.tick(400)
    expect(fake.callerView(request)).toMatchObject({ status: 504 })
    expect(fake.cancelled()).toEqual([fake.sends()[0].attempt])
  })

  it('are cancelled when their caller disconnects', () => {
    const fake = build()
    fake.leave(fake.arrive(buildCall(), 0), 10)
    expect(fake.cancelled()).toHaveLength(1)
  })

  it('never get the response of another request', () => {
    const fake = build(onceCatalog)
    const request = fake.arrive(buildCall(), 0)
    fake.head(fake.sends()[0].attempt, { requestId: 'other' }, 5)
    expect(fake.callerView(request)).toMatchObject({ status: 502 })
    expect(fake.cancelled()).toHaveLength(1)
  })

  it('never get a success response without a valid signature', () => {
    const fake = build(onceCatalog)
    const request = fake.arrive(buildCall(), 0)
    fake.head(fake.sends()[0].attempt, { signed: false }, 5)
    expect(fake.callerView(request)).toMatchObject({ status: 502 })
  })

  it('wait for a worker no longer than their objective allows and are then refused with Retry-After', () => {
    const fake = build(buildCatalog(), [])
    const request = fake.arrive(buildCall(), 0)
    fake.tick(99)
    expect(fake.callerView(request)).toBeUndefined()
    fake.tick(100)
    expect(fake.callerView(request)).toMatchObject({ status: 503 })
    expect(fake.callerView(request)?.headers).toContain('Retry-After')
  })

  it('that wait are sent as soon as a worker is available', () => {
    const fake = build(buildCatalog(), [])
    fake.arrive(buildCall(), 0)
    fake.workers.apply([{ kind: 'present', worker: buildWorker('w1') }], false, 50)
    fake.tick(60)
    expect(fake.sends()).toHaveLength(1)
  })
})

describe('keys and routes', () => {
  it('are refused if the configuration does not contain them', () => {
    const fake = build(keyedCatalog)
    expect(fake.callerView(fake.arrive(buildCall({ key: 'wrong' }), 100))).toMatchObject({ status: 401 })
    expect(fake.callerView(fake.arrive(buildCall({ key: 'secret', path: '/else/' }), 100))).toMatchObject({ status: 404 })
  })

  it('are refused only temporarily by an instance that may have missed a change', () => {
    const fake = build(keyedCatalog)
    expect(fake.callerView(fake.arrive(buildCall({ key: 'wrong' }), 2_000))).toMatchObject({ status: 503 })
  })

  it('are not accepted once the configuration has been unproven for too long', () => {
    const fake = build(keyedCatalog)
    expect(fake.callerView(fake.arrive(buildCall({ key: 'secret' }), 4_499))).toBeUndefined()
    expect(fake.callerView(fake.arrive(buildCall({ key: 'secret' }), 4_500))).toMatchObject({ status: 503 })
  })

  it('get status 503 before the first configuration', () => {
    const fake = createFakeForwarding({ hash, catalog: undefined, workers: deskWorkers })
    expect(fake.callerView(fake.arrive(buildCall(), 0))).toMatchObject({ status: 503 })
  })
})

describe('streams', () => {
  it('pass on complete events only', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    const [{ attempt }] = fake.sends()
    fake.head(attempt, {}, 20)
    fake.data(attempt, sseEvent(1) + 'id: 2\nda', 21)
    expect(fake.callerView(request)).toMatchObject({ text: sseEvent(1), state: 'open' })
  })

  it('that find no worker to go on at leave the retry budget to others', () => {
    const fake = build(buildCatalog({ routes: [buildRoute({ host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: true, maxWorkers: 1, timeout: 5_000, targets: [{ service: 'model', weight: 1 }] }), buildRoute()] }), modelWorkers(1))
    for (let count = 0; count < 100; count++) {
      fake.arrive({ ...modelCall, id: `c${count}` }, count)
      const { attempt } = fake.sends()[count]
      fake.head(attempt, {}, count)
      fake.data(attempt, sseEvent(1), count)
      fake.fail(attempt, 'cut', count)
    }
    expect(fake.retriesUsed(100)).toBe(0)
  })

  it('are resumed on another worker after their last event, with the head of the first response', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, { headers: ['X-Run', 'first'] }, 20)
    fake.data(fake.sends()[0].attempt, sseEvent(1) + 'id: 2\nda', 21)
    fake.fail(fake.sends()[0].attempt, 'cut', 30)
    const [first, second] = fake.sends()
    expect(second.dispatch.worker).not.toBe(first.dispatch.worker)
    expect(second.dispatch.resumeAfter).toBe('1')
    fake.head(second.attempt, { headers: ['X-Run', 'second'] }, 40)
    fake.data(second.attempt, sseEvent(2), 41)
    fake.end(second.attempt, 42)
    expect(fake.callerView(request)).toEqual({ status: 200, headers: ['X-Run', 'first'], text: sseEvent(1) + sseEvent(2), state: 'whole' })
  })

  it('that have begun are not lost to one rejection after their worker was cut off', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, sseEvent(1), 400)
    fake.fail(fake.sends()[0].attempt, 'cut', 410)
    fake.head(fake.sends()[1].attempt, { status: 503, notRun: true }, 420)
    fake.end(fake.sends()[1].attempt, 420)
    expect(fake.callerView(request)).toMatchObject({ state: 'open' })
    for (let now = 430; now < 600; now += 10) fake.tick(now)
    const [, rejected, third] = fake.sends()
    expect(third.dispatch).toMatchObject({ worker: rejected.dispatch.worker, resumeAfter: '1' })
    fake.head(third.attempt, {}, 610)
    fake.data(third.attempt, sseEvent(2), 610)
    fake.end(third.attempt, 610)
    expect(fake.callerView(request)).toMatchObject({ text: sseEvent(1) + sseEvent(2), state: 'whole' })
  })

  it('that have begun wait for a worker whose entry is missing for a moment', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    const [{ attempt, dispatch: { worker } }] = fake.sends()
    const other = worker === 'm1' ? 'm2' : 'm1'
    fake.head(attempt, {}, 20)
    fake.data(attempt, sseEvent(1), 20)
    for (const readAt of [100, 200, 300]) fake.workers.noteRead(readAt)
    for (const id of ['m1', 'm2']) fake.workers.apply([{ kind: 'absent', id }], false, 400)
    fake.fail(attempt, 'cut', 420)
    expect(fake.callerView(request)).toMatchObject({ state: 'open' })
    fake.workers.apply([{ kind: 'present', worker: buildWorker(other, { service: 'model', slots: 8, models: [{ name: 'llm', version: 1 }], startedAt: 2, writes: 9 }) }], false, 700)
    fake.tick(720)
    expect(fake.sends()).toHaveLength(2)
  })

  it('that have begun are ended at once when the last worker that their route allows has failed', () => {
    const fake = build(buildCatalog({ routes: [buildRoute({ host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: true, maxWorkers: 2, targets: [{ service: 'model', weight: 1 }] })] }), ['m1', 'm2', 'm3'].map(id => buildWorker(id, { service: 'model', slots: 8, models: [{ name: 'llm', version: 1 }] })))
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, sseEvent(1), 20)
    fake.fail(fake.sends()[0].attempt, 'cut', 40)
    fake.fail(fake.sends()[1].attempt, 'cut', 60)
    expect(fake.callerView(request)).toMatchObject({ state: 'broken' })
  })

  it('that have begun wait no longer for a worker than their callers wait for an event', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, sseEvent(1), 400)
    fake.fail(fake.sends()[0].attempt, 'cut', 410)
    fake.head(fake.sends()[1].attempt, { status: 503, notRun: true, retryAfter: 1_200 }, 420)
    fake.end(fake.sends()[1].attempt, 420)
    fake.tick(1_000)
    expect(fake.callerView(request)).toMatchObject({ state: 'open' })
    for (const id of ['m1', 'm2']) fake.workers.apply([{ kind: 'present', worker: buildWorker(id, { service: 'model', state: 'draining' }) }], false, 1_010)
    fake.tick(1_910)
    expect(fake.callerView(request)).toMatchObject({ state: 'broken' })
  })

  it('that may not be resumed are aborted, so that they do not look complete', () => {
    const fake = buildModel({ resumable: false, maxWorkers: 1 })
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, sseEvent(1), 21)
    fake.fail(fake.sends()[0].attempt, 'cut', 30)
    expect(fake.callerView(request)).toMatchObject({ state: 'broken' })
    expect(fake.sends()).toHaveLength(1)
  })

  it('that end inside an event are aborted, not completed', () => {
    const fake = buildModel({ resumable: false, maxWorkers: 1 })
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, sseEvent(1) + 'id: 2\n', 21)
    fake.end(fake.sends()[0].attempt, 30)
    expect(fake.callerView(request)).toMatchObject({ state: 'broken' })
  })

  it('do not count comments of the worker as their first event', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    const [{ attempt }] = fake.sends()
    fake.head(attempt, {}, 20)
    fake.data(attempt, ': waiting\n\n', 21)
    fake.data(attempt, sseEvent(1), 300)
    fake.end(attempt, 301)
    expect(fake.callerView(request)).toMatchObject({ text: ': waiting\n\n' + sseEvent(1), state: 'whole' })
    expect(fake.logEvents.find(({ kind }) => kind === 'answered')).toMatchObject({ events: 1, first: 300 })
  })

  it('are resumed after the last whole event when they end cleanly inside an event', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, sseEvent(1) + 'id: 2\ndata: t\n', 21)
    fake.end(fake.sends()[0].attempt, 30)
    const [, { attempt, dispatch }] = fake.sends()
    expect(dispatch.resumeAfter).toBe('1')
    fake.head(attempt, {}, 40)
    fake.data(attempt, sseEvent(2), 41)
    fake.end(attempt, 42)
    expect(fake.callerView(request)).toMatchObject({ text: sseEvent(1) + sseEvent(2), state: 'whole' })
  })

  it('that brought events without ids are broken off, as they would begin anew', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, 'data: a\n\n', 21)
    fake.fail(fake.sends()[0].attempt, 'cut', 30)
    expect(fake.sends()).toHaveLength(1)
    expect(fake.callerView(request)).toMatchObject({ text: 'data: a\n\n', state: 'broken' })
  })

  it.each([['a control character', 'a\u0001'], ['more characters than a header holds', '1'.repeat(20_000)]])('whose last event id has %s are broken off, and no worker gets or is blamed for a request that cannot be sent', (_name, id) => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, `id: ${id}\ndata: t\n\n`, 21)
    fake.fail(fake.sends()[0].attempt, 'cut', 30)
    expect(fake.sends()).toHaveLength(1)
    expect(fake.callerView(request)).toMatchObject({ state: 'broken' })
  })

  it('that stall are resumed on another worker, and given up at the first once that has brought an event', () => {
    const fake = buildModel()
    const request = fake.arrive(modelCall, 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, sseEvent(1), 21)
    fake.tick(900)
    expect(fake.sends()).toHaveLength(1)
    fake.tick(930)
    const [first, second] = fake.sends()
    expect(fake.sends()).toHaveLength(2)
    expect(second.dispatch.worker).not.toBe(first.dispatch.worker)
    expect(second.dispatch.resumeAfter).toBe('1')
    fake.head(second.attempt, {}, 940)
    fake.data(second.attempt, 'id: 2\nda', 941)
    expect(fake.cancelled()).toEqual([])
    fake.data(second.attempt, 'ta: t\n\n', 942)
    expect(fake.cancelled()).toEqual([first.attempt])
    fake.data(first.attempt, sseEvent(2), 943)
    fake.end(second.attempt, 944)
    expect(fake.callerView(request)).toMatchObject({ text: sseEvent(1) + sseEvent(2), state: 'whole' })
  })

  it('are sent with a version of the weights and its cache scope', () => {
    const fake = buildModel()
    fake.arrive(modelCall, 0)
    expect(fake.sends()[0].dispatch.model).toMatchObject({ version: 1, scope: 'llm@1' })
  })

  it('go to the same worker again, with the newest weights, if it has loaded them in the meantime', () => {
    const fake = buildModel({ maxWorkers: 1 })
    fake.arrive(modelCall, 0)
    const [{ attempt, dispatch }] = fake.sends()
    fake.weights.name('llm', 2, 5)
    fake.head(attempt, { status: 421, notRun: true, worker: dispatch.worker }, 10)
    fake.end(attempt, 11)
    expect(fake.sends()[1].dispatch).toMatchObject({ worker: dispatch.worker, model: { version: 2, scope: 'llm@2' } })
  })

  it('go to no worker that came back with weights of long ago while another is available', () => {
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
