import { buildWorker } from '../../test/fixtures/forwarding.js'
import { createWorkerLoad } from '../placement/workerLoad.js'
import { createWeightsTracker, type WeightsTracker } from '../workers/weightsTracker.js'
import { createWorkersDb } from '../workers/workersDb.js'
import type { Worker } from '../workers/workersTypes.js'
import { createUsableWeights } from './usableWeights.js'

const now = 10_000
const loadOf = createWorkerLoad

const buildModelWorker = (id: string, version: number): Worker =>
  buildWorker(id, { service: 'model', models: [{ name: 'm', version }] })

/** Returns the ids of the usable workers among `eligible`, when version 2 was announced `age` ms ago. */
const usableOf = (live: readonly Worker[], eligible: readonly Worker[], age: number): readonly string[] => {
  const workers = createWorkersDb()
  const weights = createWeightsTracker()
  workers.apply(live.map(worker => ({ kind: 'present', worker })), true, 0)
  weights.name('m', 2, now - age)
  return createUsableWeights({ workers, weights, loadOf, maxOutdatedTime: () => 8_000 }).among(eligible, 'model', 'm', now).map(({ id }) => id)
}

describe('the workers with usable weights', () => {
  const outdated = buildModelWorker('w1', 1)
  const current = buildModelWorker('w2', 2)

  it('are without one whose weights have long been outdated', () => {
    expect(usableOf([outdated, current], [outdated, current], 6_000)).toEqual(['w2'])
    expect(usableOf([outdated, current], [outdated, current], 5_000)).toEqual(['w1', 'w2'])
  })

  it('are without it even if it is the only one of those that may get the request', () => {
    expect(usableOf([outdated, current], [outdated], 6_000)).toEqual([])
  })

  it('are all if no live worker holds newer weights', () => {
    expect(usableOf([outdated], [outdated], 60_000)).toEqual(['w1'])
  })

  it.each([
    ['loads still newer weights', (weights: WeightsTracker) => weights.noteLoading('w2', now + 1_000), loadOf],
    ['is suspected to be out of reach', () => { /* It loads nothing. */ }, (id: string) => ({ ...createWorkerLoad(id), suspectedSince: now })]
  ])('are with the outdated one, until no request may begin there, while the only other one %s', (_name, disturb, loads) => {
    const among = (age: number): readonly Worker[] => {
      const workers = createWorkersDb()
      const weights = createWeightsTracker()
      workers.apply([outdated, current].map(worker => ({ kind: 'present', worker })), true, 0)
      weights.name('m', 2, now - age)
      disturb(weights)
      return createUsableWeights({ workers, weights, loadOf: loads, maxOutdatedTime: () => 8_000 }).among([outdated], 'model', 'm', now)
    }
    expect([among(7_900), among(8_100)]).toEqual([[outdated], []])
  })

  it('are judged anew soon after another worker has come', () => {
    const workers = createWorkersDb()
    const weights = createWeightsTracker()
    const usable = createUsableWeights({ workers, weights, loadOf, maxOutdatedTime: () => 8_000 })
    weights.name('m', 2, 0)
    workers.apply([{ kind: 'present', worker: outdated }], true, 0)
    expect(usable.among([outdated], 'model', 'm', now)).toEqual([outdated])
    workers.apply([{ kind: 'present', worker: current }], false, now)
    expect(usable.among([outdated], 'model', 'm', now + 100)).toEqual([])
  })
})
