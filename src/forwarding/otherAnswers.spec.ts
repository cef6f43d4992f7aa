import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash } from '../hash.js'

describe('a response that names another request', () => {
  // A late copy repeats what was true when the worker first wrote it.
  it('states nothing of its worker', async () => {
    const fake = createFakeForwarding({ hash: await loadHash(), catalog: buildCatalog(), workers: [buildWorker('w1')] })
    fake.arrive(buildCall({ id: 'own' }), 0)
    const before = fake.loadOf('w1')?.pausedUntil
    fake.head(fake.sends()[0].attempt, { status: 503, notRun: true, signed: false, requestId: 'other', retryAfter: 400, leaving: true }, 10)
    expect(fake.loadOf('w1')?.pausedUntil).toBe(before)
    expect(fake.logEvents.map(({ kind }) => kind)).not.toContain('workerLeaving')
  })
})
