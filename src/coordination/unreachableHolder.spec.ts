/** Shows that requests are refused as the only worker with newer weights is out of reach, though others may still serve them. */
import { createFakeGateways } from '../../test/fakes/fakeGateways.js'
import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

// Times in ms.
const announcedAt = 1_500
const usableUntil = announcedAt + 0.7 * 8_000
/** Until then requests may begin on the weights before. */
const allowedUntil = announcedAt + 8_000

describe('a model service whose only worker with newer weights is out of reach', () => {
  it.each([1, 7])('serves on the weights before for as long as that is allowed, with %i instances', instances => {
    const fleet = createFakeGateways({
      hash,
      instances,
      catalog: buildCatalog(),
      workers: [2, 1, 1, 1].map((version, index) => buildWorker(`m${index}`, { service: 'model', slots: 8, startedAt: 1, models: [{ name: 'm', version }] }))
    })
    const all = Array.from({ length: instances }, (_, index) => `n${index}`)
    fleet.time.at(announcedAt, () => fleet.announceWeights('m', 2))
    fleet.time.at(announcedAt + 1_000, () => fleet.cutLinks(all, { mode: 'refused', workers: ['m0'] }))
    const calls: ReturnType<typeof fleet.send>[] = []
    for (let at = usableUntil + 100; at < allowedUntil - 500; at += 50) {
      const id = `c${at}`
      fleet.time.at(at, () => { calls.push(fleet.send('n0', buildCall({ id, host: 'model.example', path: '/model/x', target: '/model/x', body: Buffer.from(id), prompt: { model: 'm', inputTokens: 100, maxOutputTokens: 10, parts: [{ id, tokens: 100 }] } }))) })
    }
    fleet.time.runUntil(allowedUntil + 5_000)
    expect(calls.length).toBeGreaterThan(20)
    expect({ all: calls.length, served: calls.filter(({ status, state }) => status === 200 && state === 'whole').length }).toEqual({ all: calls.length, served: calls.length })
  })
})
