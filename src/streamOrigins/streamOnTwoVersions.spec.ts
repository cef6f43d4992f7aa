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

/** Replaces the workers of v1 by workers of v2 while instances are killed. */
const rollOut = (fleet: FakeGateways): void => {
  killTwice(fleet, 2)
  fleet.time.at(3_500, () => fleet.register(buildVersioned('w5', 'v2')))
  fleet.time.at(3_800, () => fleet.register(buildVersioned('w6', 'v2')))
  fleet.time.at(5_000, () => fleet.endWorker('w1'))
  fleet.time.at(7_000, () => fleet.endWorker('w2'))
}

/** Cuts an instance off from the others and from the store, and kills another one, whose callers come to it, too. */
const cutOff = (fleet: FakeGateways): void => {
  killTwice(fleet, 2)
  fleet.time.at(3_000, () => {
    fleet.setStoreReachable('n5', false)
    fleet.network.intercept(({ from, to }) => from === 'n5' || to === 'n5' ? 'drop' : 'deliver')
  })
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

  it.each([
    ['its service is rolled out', workers.slice(0, 2), rollOut],
    ['its caller comes to an instance that is cut off', workers, cutOff]
  ])('goes on only at the version that began it while %s', (_case, initial, disturb) => {
    const { mixed, resumptions } = playResumedStreams({ hash, instances: 7, workers: initial, load: 60, disturb })
    expect(resumptions.length).toBeGreaterThan(12)
    expect(mixed.length).toBe(0)
  })

  it('does not go on for another caller or under an id that is not known', () => {
    const { resumptions, resumed } = playResumedStreams({ hash, instances: 7, workers, resumedId: () => 'never-begun', disturb: fleet => killTwice(fleet, 2) })
    expect(resumptions.length).toBeGreaterThan(12)
    expect(resumed.length).toBe(0)
    expect(resumptions.every(({ status, headers }) => status === undefined || (status === 503 && headers.includes('Retry-After')))).toBe(true)
  })

  it('goes on only at the version that began it when its worker ends', () => {
    const { mixed, fleet } = playResumedStreams({ hash, instances: 7, workers, disturb: endWorkers })
    expect(fleet.arrivals.filter(({ resumed }) => resumed).length).toBeGreaterThan(5)
    expect(mixed.length).toBe(0)
  })
})
