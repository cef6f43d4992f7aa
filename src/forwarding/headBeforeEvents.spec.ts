import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const streamHead = { status: 200, headers: ['Worker', 'm1'] }

const build = (resumable: boolean) => {
  const route = buildRoute({ host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable, timeout: 5_000, objective: 500, targets: [{ service: 'model', weight: 1 }] })
  const workers = ['m1', 'm2'].map(id => buildWorker(id, { service: 'model', slots: 8, models: [{ name: 'llm', version: 1 }] }))
  const fake = createFakeForwarding({ hash, catalog: buildCatalog({ routes: [route] }), workers })
  const request = fake.arrive(buildCall({ host: 'model.example', path: '/model/x' }), 0)
  return { fake, request }
}

describe('the head of a stream that has brought no event', () => {
  it('is not sent to the caller, who gets an answer if the worker is lost', () => {
    const { fake, request } = build(false)
    fake.head(1, streamHead, 10)
    expect(fake.callerView(request)).toBeUndefined()
    fake.fail(1, 'cut', 20)
    expect(fake.callerView(request)).toMatchObject({ status: 502, state: 'whole' })
  })

  it('gives way to that of the worker that brings the first event', () => {
    const { fake, request } = build(true)
    fake.head(1, streamHead, 10)
    fake.fail(1, 'cut', 20)
    fake.head(2, { ...streamHead, headers: ['Worker', 'm2'] }, 30)
    fake.data(2, 'id: 1\ndata: x\n\n', 40)
    expect(fake.callerView(request)).toMatchObject({ status: 200, headers: ['Worker', 'm2'], state: 'open' })
  })

  it('is sent when the stream ends without one', () => {
    const { fake, request } = build(true)
    fake.head(1, streamHead, 10)
    fake.end(1, 20)
    expect(fake.callerView(request)).toMatchObject({ status: 200, state: 'whole' })
  })
})
