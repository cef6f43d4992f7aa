/** Guards against an earlier refusal that a worker writes once more on a kept connection, and that is taken for the refusal of a request that runs there. */
import type { Route } from '../../src/catalog/catalogTypes.js'
import { loadHash, type Hash } from '../../src/hash.js'
import { busyMoments, idVariants, promises, startCopyingWorkers, type BusyMoment, type IdVariant, type RefusalKind } from '../fakes/copyingWorkers.js'
import { closeRawServers } from '../fakes/rawServer.js'
import { waitFor } from '../fakes/waitFor.js'
import { buildRoute } from '../fixtures/forwarding.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

afterEach(closeRawServers)

const routes: readonly (readonly [string, Route])[] = [
  ['once', buildRoute({ kind: 'once' })],
  ['idempotent', buildRoute()],
  ['stream', buildRoute({ kind: 'stream', resumable: false })],
  ['resumable stream', buildRoute({ kind: 'stream', resumable: true })]
]

const mayRunTwice = ({ kind, resumable }: Route): boolean => kind === 'idempotent' || resumable

const kinds: readonly RefusalKind[] = [...[503, 429, 408, 421, 400].map(status => ({ status, stated: true })), { status: 421, stated: false }]

/** Larger than what sockets buffer, so that the worker has read its head before the rest has been sent. */
const longBody = Buffer.alloc(8_000_000, 'x')

type Workers = Awaited<ReturnType<typeof startCopyingWorkers>>

const expectKept = (workers: Workers, route: Route, id: string, status: number): void => {
  const runs = workers.runsOf(id)
  expect({ runs, promised: runs > 0 && promises.includes(status) }).toEqual({ runs, promised: false })
  if (!mayRunTwice(route)) expect(runs).toBeLessThanOrEqual(1)
}

/** Lets all workers refuse a request, then run a second one and write the copy meanwhile; returns the status of the second one. */
const playBusy = async (route: Route, kind: RefusalKind, ids: IdVariant, moment: BusyMoment): Promise<void> => {
  const workers = await startCopyingWorkers(hash, route)
  expect((await workers.request('one', { refusal: kind })).status).toBe(503)
  const { status } = await workers.request('two', { copy: { ids, moment } }, moment === 'beforeBodyWhole' ? longBody : undefined)
  expect(workers.copies()).toBeGreaterThan(0)
  expectKept(workers, route, 'two', status)
  const behind = workers.requestsBehindCopies()
  expect(await workers.request('three', {})).toMatchObject({ status: 200, text: expect.stringContaining('three') })
  expect(workers.requestsBehindCopies()).toBe(behind)
  await workers.close()
}

describe.each(routes)('a copy of a refusal, route %s', (_name, route) => {
  describe.each(busyMoments)('%s', moment => {
    it.each(idVariants)('with ids %s, is no refusal of the request that runs', async ids => {
      for (const kind of kinds) await playBusy(route, kind, ids, moment)
    })
  })

  it.each(idVariants)('while the connection is idle, with ids %s, closes it', async ids => {
    for (const kind of kinds) {
      const workers = await startCopyingWorkers(hash, route)
      await workers.request('one', { refusal: kind })
      const sockets = workers.copyOnIdle(ids, 'two')
      expect(sockets.length).toBeGreaterThan(0)
      await waitFor(() => sockets.every(socket => socket.destroyed))
      expect(await workers.request('two', {})).toMatchObject({ status: 200, text: expect.stringContaining('two') })
      expect(workers.runsOf('two')).toBe(1)
      await workers.close()
    }
  })

  it.each(idVariants)('just before the next request, with ids %s, is no refusal of it', async ids => {
    for (const kind of kinds) {
      const workers = await startCopyingWorkers(hash, route)
      await workers.request('one', { refusal: kind })
      expect(workers.copyOnIdle(ids, 'two').length).toBeGreaterThan(0)
      const { status } = await workers.request('two', {})
      expectKept(workers, route, 'two', status)
      await workers.close()
    }
  })

  it('does not keep real refusals from being retried and counted', async () => {
    const workers = await startCopyingWorkers(hash, route)
    for (const kind of kinds) {
      const view = await workers.request('one', { refusal: kind })
      expect(view).toMatchObject({ status: 503, state: 'whole' })
      expect(view.text).toContain('not_run')
    }
    expect((await workers.request('two', {})).status).toBe(200)
    await workers.close()
  })
})
