import { allowedInSpan, limitedWorker, playLimitedWorker, statedAt } from '../../test/fleets/limitedWorkerPlay.js'
import type { FakeGateways } from '../../test/fakes/fakeGateways.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

/** Share of its limit up to which a worker has to be used, as the users state it. */
const minUsedShare = 0.75

/** Ends and starts instances in turn, each 900 ms after it ended, from the time at which the limit holds. */
const restartInTurn = (fleet: FakeGateways): void => {
  for (let index = 0; index < 7; index++) {
    fleet.time.at(statedAt + 3_000 + 1_500 * index, () => fleet.kill(`n${index}`))
    fleet.time.at(statedAt + 3_900 + 1_500 * index, () => fleet.start(`n${index}`))
  }
}

/** Drops all messages from and to one instance for two seconds. */
const cutOff = (fleet: FakeGateways): void => {
  fleet.time.at(8_000, () => fleet.network.intercept(({ from, to }) => from === 'n3' || to === 'n3' ? 'drop' : 'deliver'))
  fleet.time.at(10_000, () => fleet.network.intercept(() => 'deliver'))
}

/** Splits the instances into a group of four and one of three for five seconds. */
const split = (fleet: FakeGateways): void => {
  const inFirst = (id: string): boolean => id < 'n4'
  fleet.time.at(8_000, () => fleet.network.intercept(({ from, to }) => inFirst(from) === inFirst(to) ? 'deliver' : 'drop'))
  fleet.time.at(13_000, () => fleet.network.intercept(() => 'deliver'))
}

describe('a worker that states a limit', () => {
  it.each([
    [7, 0.05],
    [7, 1],
    [7, 2.3],
    [7, 8],
    [60, 1]
  ])('gets no more requests from %d instances together than %d a second', (instances, perSecond) => {
    const { most } = playLimitedWorker({ hash, instances, perSecond, load: 60, end: instances > 7 ? 10_000 : 20_000 })
    expect(most).toBeLessThanOrEqual(allowedInSpan(perSecond))
  })

  it.each([
    ['beside others', 60, 4, 2.3],
    ['as the only one', 60, 1, 2.3],
    ['as the only one under little load', 8, 1, 1]
  ])('is used up to its limit %s', (_where, load, workers, perSecond) => {
    const { used } = playLimitedWorker({ hash, instances: 7, perSecond, load, workers, end: 30_000 })
    expect(used).toBeGreaterThanOrEqual(minUsedShare * perSecond)
  })

  it.each([
    ['restart in turn', restartInTurn],
    ['lose one of them', cutOff],
    ['are split into two groups', split]
  ])('gets no more than its limit while the instances %s', (_fault, disturb) => {
    for (const perSecond of [1, 2.3, 8]) {
      const { most, used } = playLimitedWorker({ hash, instances: 7, perSecond, load: 60, disturb })
      expect(most).toBeLessThanOrEqual(allowedInSpan(perSecond))
      expect(used).toBeGreaterThanOrEqual(0.5 * perSecond)
    }
  })

  it('costs its callers nothing while other workers have room', () => {
    const { calls } = playLimitedWorker({ hash, instances: 7, perSecond: 1, load: 60 })
    expect(calls.filter(({ status }) => status !== undefined && status !== 200)).toEqual([])
  })

  it('is used freely again once its responses state none', () => {
    const { fleet } = playLimitedWorker({ hash, instances: 7, perSecond: 1, load: 60, until: 10_000 })
    const later = fleet.arrivals.filter(({ worker, at }) => worker === limitedWorker && at >= 14_000 && at < 18_000)
    expect(later.length).toBeGreaterThan(2 * allowedInSpan(1))
    expect(fleet.logEvents.some(({ event }) => event.kind === 'workerUnlimited')).toBe(true)
  })

  it('gets no more than its limit after it has started anew under its id', () => {
    const { fleet } = playLimitedWorker({
      hash,
      instances: 7,
      perSecond: 1,
      load: 60,
      disturb: faulty => faulty.time.at(9_000, () => faulty.restartWorker(limitedWorker))
    })
    expect(fleet.arrivals.some(({ worker, at }) => worker === limitedWorker && at > 12_500)).toBe(true)
    const settled = fleet.arrivals.filter(({ worker, at }) => worker === limitedWorker && at >= 12_500 && at < 16_500)
    expect(settled.length).toBeLessThanOrEqual(allowedInSpan(1))
  })
})
