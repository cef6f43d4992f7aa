/** Guards against an earlier refusal that a worker writes once more on a kept connection, and that is taken for the refusal of a request that runs there. */
import type { Route } from '../../src/catalog/catalogTypes.js'
import { loadHash, type Hash } from '../../src/hash.js'
import { busyMoments, closeCopyingWorkers, idVariants, promises, startCopyingWorkers, type RefusalKind } from '../fakes/copyingWorkers.js'
import { closeRawServers } from '../fakes/rawServer.js'
import { waitFor } from '../fakes/waitFor.js'
import { buildRoute } from '../fixtures/forwarding.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

afterEach(async () => {
  await closeCopyingWorkers()
  await closeRawServers()
})

const routes: readonly (readonly [string, Route])[] = [
  ['once', buildRoute({ kind: 'once' })],
  ['idempotent', buildRoute()],
  ['stream', buildRoute({ kind: 'stream', resumable: false })],
  ['resumable stream', buildRoute({ kind: 'stream', resumable: true })]
]

const mayRunTwice = ({ kind, resumable }: Route): boolean => kind === 'idempotent' || resumable

const kinds: readonly RefusalKind[] = [...[503, 429, 408, 421, 400].map(status => ({ status, stated: true })), { status: 421, stated: false }]

/** Long enough for the worker to read its head before the rest. */
const longBody = Buffer.alloc(2_000_000, 'x')

type Workers = Awaited<ReturnType<typeof startCopyingWorkers>>

const expectKept = (workers: Workers, route: Route, id: string, status: number): void => {
  const runs = workers.runsOf(id)
  expect({ runs, promised: runs > 0 && promises.includes(status) }).toEqual({ runs, promised: false })
  if (!mayRunTwice(route)) expect(runs).toBeLessThanOrEqual(1)
}

/** Plays each kind of refusal: all workers refuse a request, `step` brings the copies about, and a third request is served on connections without a copy. */
const playKinds = async (route: Route, step: (workers: Workers, id: string) => Promise<void>): Promise<void> => {
  const workers = await startCopyingWorkers(hash, route)
  for (const [index, refusal] of kinds.entries()) {
    const copies = workers.copies()
    expect((await workers.request(`one-${index}`, { refusal })).status).toBe(503)
    await step(workers, `two-${index}`)
    expect(workers.copies()).toBeGreaterThan(copies)
    const behind = workers.requestsBehindCopies()
    expect(await workers.request(`three-${index}`, {})).toMatchObject({ status: 200, text: expect.stringContaining(`three-${index}`) })
    expect(workers.requestsBehindCopies()).toBe(behind)
  }
}

describe.each(routes)('a copy of a refusal, route %s', (_name, route) => {
  describe.each(busyMoments)('%s', moment => {
    it.each(idVariants)('with ids %s, is no refusal of the request that runs', ids => playKinds(route, async (workers, id) => {
      const { status } = await workers.request(id, { copy: { ids, moment } }, moment === 'beforeBodyWhole' ? longBody : undefined)
      expectKept(workers, route, id, status)
    }))
  })

  it.each(idVariants)('while the connection is idle, with ids %s, closes it', ids => playKinds(route, async (workers, id) => {
    const sockets = workers.copyOnIdle(ids, id)
    await waitFor(() => sockets.every(socket => socket.destroyed))
    expect(await workers.request(id, {})).toMatchObject({ status: 200, text: expect.stringContaining(id) })
    expect(workers.runsOf(id)).toBe(1)
  }))

  it.each(idVariants)('just before the next request, with ids %s, is no refusal of it', ids => playKinds(route, async (workers, id) => {
    workers.copyOnIdle(ids, id)
    const { status } = await workers.request(id, {})
    expectKept(workers, route, id, status)
  }))

  // The connection has carried another request since.
  it.each(busyMoments)('that names the request, %s, is no refusal of a later send of it', async moment => {
    const workers = await startCopyingWorkers(hash, route)
    for (const [index, refusal] of kinds.entries()) {
      const id = `one-${index}`
      await workers.request(id, { refusal })
      for (const other of ['a', 'b', 'c', 'd']) expect((await workers.request(`${other}-${index}`, {})).status).toBe(200)
      const { status } = await workers.request(id, { copy: { ids: 'earlier', moment } })
      expectKept(workers, route, id, status)
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
  })
})
