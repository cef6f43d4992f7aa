import { buildCall, buildWorker } from '../../test/fixtures/forwarding.js'
import { createWeightsTracker } from '../workers/weightsTracker.js'
import { createWorkersDb } from '../workers/workersDb.js'
import type { Worker } from '../workers/workersTypes.js'
import { withUsableWeights } from './usableWeights.js'

const now = 10_000

const buildModelWorker = (id: string, version: number): Worker =>
  buildWorker(id, { service: 'model', models: [{ name: 'm', version }] })

/** Returns the ids of the usable workers among `eligible`, when version 2 was announced `age` ms ago. */
const usableOf = (live: readonly Worker[], eligible: readonly Worker[], age: number, prompt = true): readonly string[] => {
  const workers = createWorkersDb()
  const weights = createWeightsTracker()
  workers.apply(live.map(worker => ({ kind: 'present', worker })), true, 0)
  weights.name('m', 2, now - age)
  const call = buildCall(prompt ? { prompt: { model: 'm', inputTokens: 10, maxOutputTokens: 10, parts: [] } } : {})
  const context = { workers, weights, bounds: () => ({ keys: 4_500, absence: 1_500, weights: 8_000 }) }
  return withUsableWeights(context, { call, service: 'model' }, eligible, now).map(({ id }) => id)
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

  it('are all if no live worker holds newer weights, or if the request needs no model', () => {
    expect(usableOf([outdated], [outdated], 60_000)).toEqual(['w1'])
    expect(usableOf([outdated, current], [outdated], 60_000, false)).toEqual(['w1'])
  })
})
