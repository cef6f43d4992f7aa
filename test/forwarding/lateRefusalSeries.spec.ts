/** Guards against copies of refusals at random points of random series of requests on kept connections. */
import fc from 'fast-check'
import { loadHash } from '../../src/hash.js'
import { busyMoments, closeCopyingWorkers, idVariants, promises, startCopyingWorkers } from '../fakes/copyingWorkers.js'
import { closeRawServers } from '../fakes/rawServer.js'
import { buildRoute } from '../fixtures/forwarding.js'

const kinds = [
  ['once', buildRoute({ kind: 'once' })],
  ['idempotent', buildRoute()],
  ['stream', buildRoute({ kind: 'stream', resumable: false })],
  ['resumable stream', buildRoute({ kind: 'stream', resumable: true })]
] as const

const closeAll = async (): Promise<void> => {
  await closeCopyingWorkers()
  await closeRawServers()
}

const optional = <Value>(values: fc.Arbitrary<Value>) => fc.option(values, { nil: undefined })

const steps = fc.array(fc.record({
  /** A name of few, so that requests with one id come again. */
  name: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
  refusal: optional(fc.record({ status: fc.constantFrom(503, 429, 408, 421, 400), stated: fc.constant(true) })),
  copy: optional(fc.record({ ids: fc.constantFrom(...idVariants), moment: fc.constantFrom(...busyMoments) }))
}), { minLength: 4, maxLength: 12 })

describe.each(kinds)('series of requests with copies of refusals, route %s', (_name, route) => {
  it('are told as not run only if they have not run, and run once where they may', async () => {
    const hash = await loadHash()
    await fc.assert(fc.asyncProperty(steps, async series => {
      const workers = await startCopyingWorkers(hash, route)
      for (const { name, refusal, copy } of series) {
        const before = workers.runsOf(name)
        const { status } = await workers.request(name, { ...(refusal === undefined ? {} : { refusal }), ...(copy === undefined ? {} : { copy }) })
        const runs = workers.runsOf(name) - before
        expect(runs > 0 && promises.includes(status)).toBe(false)
        if (route.kind === 'once' || (route.kind === 'stream' && !route.resumable)) expect(runs).toBeLessThanOrEqual(1)
      }
      await closeAll()
    }), { seed: 37, numRuns: 60 })
  })

  afterEach(closeAll)
})
