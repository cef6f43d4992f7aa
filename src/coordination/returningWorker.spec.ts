/** Guards against requests that begin on old weights at a worker which was silent across a change and has come back. */
import { createFakeGateways, type WorkerArrival } from '../../test/fakes/fakeGateways.js'
import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { AnswerHead } from '../ports/forwardPort.js'
import type { Worker } from '../workers/workersTypes.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const workerCount = 12
const silentWorkers = ['m0', 'm1', 'm2']
// Times in ms.
const silentFrom = 1_400
const announcedAt = 1_500
const backAt = 10_000
const requestInterval = 10
const end = 11_500

const buildModelWorker = (id: string, version: number, startedAt: number): Worker =>
  buildWorker(id, { service: 'model', slots: 8, startedAt, models: [{ name: 'm', version }] })

const withPace = (): Partial<AnswerHead> => ({ load: { running: 1, waiting: 0, slots: 8, pace: 100 } })
const withoutPace = (): Partial<AnswerHead> => ({ load: { running: 1, waiting: 0, slots: 8 } })

interface Play {
  readonly instances: number
  readonly statement: () => Partial<AnswerHead>
  /** Newest version of the weights; all up to it are announced at the same time. */
  readonly newest?: number
}

/** Names `newest` weights while three of twelve workers are silent, and returns the requests that reach these after they have come back. */
const playReturn = ({ instances, statement, newest = 2 }: Play): readonly WorkerArrival[] => {
  const ids = Array.from({ length: workerCount }, (_, index) => `m${index}`)
  const fleet = createFakeGateways({ hash, instances, catalog: buildCatalog(), workers: ids.map(id => buildModelWorker(id, 1, 1)), seed: 5, streamEvents: 3, statements: statement })
  const { time } = fleet
  const send = (index: number): void => {
    const prompt = { model: 'm', inputTokens: 700, maxOutputTokens: 20, parts: [{ id: `b${index % 9}`, tokens: 600 }, { id: `o${index}`, tokens: 100 }] }
    fleet.send(`n${index % instances}`, buildCall({ id: `c${index}`, host: 'model.example', path: '/model/x', target: '/model/x', prompt }))
  }
  for (let at = 1_000; at < end; at += requestInterval) time.at(at, () => send(at / requestInterval))
  time.at(silentFrom, () => silentWorkers.forEach(fleet.endWorker))
  time.at(announcedAt, () => {
    for (let version = 2; version <= newest; version++) fleet.announceWeights('m', version)
    for (const id of ids) if (!silentWorkers.includes(id)) fleet.register(buildModelWorker(id, newest, 1))
  })
  time.at(backAt, () => silentWorkers.forEach(id => fleet.register(buildModelWorker(id, 1, backAt))))
  time.runUntil(end)
  expect(fleet.arrivals.filter(({ at }) => at > backAt).length).toBeGreaterThan(0.8 * (end - backAt) / requestInterval)
  return fleet.arrivals.filter(({ worker, at }) => at > backAt && silentWorkers.includes(worker))
}

describe('a worker that comes back with old weights after a change', () => {
  it.each([7, 60])('gets no request from %i instances that place by coordinators', instances => {
    expect(playReturn({ instances, statement: withPace })).toEqual([])
  })

  it('gets none if several versions have come in between', () => {
    expect(playReturn({ instances: 7, statement: withPace, newest: 4 })).toEqual([])
  })

  it.each([7, 60])('gets no request from %i instances that place by themselves', instances => {
    expect(playReturn({ instances, statement: withoutPace })).toEqual([])
  })
})
