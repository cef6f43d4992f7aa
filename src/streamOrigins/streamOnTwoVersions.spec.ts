import { buildVersioned, playResumedStreams } from '../../test/fleets/resumedStreamsPlay.js'
import type { FakeGateways } from '../../test/fakes/fakeGateways.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const workers = [buildVersioned('w1', 'v1'), buildVersioned('w2', 'v1'), buildVersioned('w3', 'v2'), buildVersioned('w4', 'v2')]

/** Kills `count` instances, and another `count` later; each starts again after a second. */
const killTwice = (fleet: FakeGateways, count: number): void => {
  for (let index = 0; index < 2 * count; index++) {
    const at = index < count ? 4_000 : 6_500
    fleet.time.at(at, () => fleet.kill(`n${index}`))
    fleet.time.at(at + 1_000, () => fleet.start(`n${index}`))
  }
}

const endWorkers = (fleet: FakeGateways): void => {
  fleet.time.at(4_000, () => fleet.endWorker('w1'))
  fleet.time.at(6_000, () => fleet.endWorker('w3'))
}

describe('a stream of a service whose workers run two software versions', () => {
  it.each([
    [7, 2, 40],
    [60, 15, 80]
  ])('goes on only at the version that began it when its caller comes to another of %d instances', (instances, killed, load) => {
    const { mixed, resumptions, resumed } = playResumedStreams({ hash, instances, workers, load, disturb: fleet => killTwice(fleet, killed) })
    expect(resumptions.length).toBeGreaterThan(12)
    expect(mixed.length).toBe(0)
    expect(resumed.length).toBeGreaterThanOrEqual(0.75 * resumptions.length)
  })

  it('goes on only at the version that began it when its worker ends', () => {
    const { mixed, fleet } = playResumedStreams({ hash, instances: 7, workers, disturb: endWorkers })
    expect(fleet.arrivals.filter(({ resumed }) => resumed).length).toBeGreaterThan(5)
    expect(mixed.length).toBe(0)
  })
})
