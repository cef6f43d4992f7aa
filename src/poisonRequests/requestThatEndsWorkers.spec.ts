import { allowedAfter, playCrashingRequests, type CrashingRequestOptions } from '../../test/fleets/crashingRequestPlay.js'
import type { FakeGateways } from '../../test/fakes/fakeGateways.js'
import { loadHash, type Hash } from '../hash.js'
import { createRandom } from '../random.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const loseMessages = (fleet: FakeGateways): void => {
  const random = createRandom(3)
  fleet.network.intercept(() => random.unit() < 0.33 ? 'drop' : 'deliver')
}

const restartInTurn = (fleet: FakeGateways): void => {
  for (let turn = 0; turn < 30; turn++) {
    const instance = `n${turn % 7}`
    fleet.time.at(2_000 + 900 * turn, () => fleet.kill(instance))
    fleet.time.at(2_700 + 900 * turn, () => fleet.start(instance))
  }
}

const crashAnyOf = (fleet: FakeGateways, interval: number, turns: number): void => {
  const random = createRandom(5)
  for (let turn = 0; turn < turns; turn++) {
    fleet.time.at(4_000 + interval * turn, () => {
      const workers = [...new Set(fleet.arrivals.slice(-60).map(({ worker }) => worker))]
      fleet.crashWorker(workers[random.below(workers.length)])
    })
  }
}

const crashOthers = (fleet: FakeGateways): void => crashAnyOf(fleet, 2_500, 6)
const crashOften = (fleet: FakeGateways): void => crashAnyOf(fleet, 400, 300)

/** Share of sound requests that have to be served afterwards, against before. */
const minSoundShare = 0.9

describe('a request that ends each worker that begins to run it', () => {
  it.each([
    ['four times a second at a plain service', { instances: 7 }],
    ['30 times a second at a plain service', { instances: 7, rate: 30 }],
    ['once a second at a plain service', { instances: 7, rate: 1 }],
    ['at a plain service of three workers', { instances: 7, workers: 3, load: 16 }],
    ['at model workers', { instances: 7, service: 'model' }],
    ['among ten such requests', { instances: 7, guilty: 10, rate: 1 }],
    ['at many instances', { instances: 60, workers: 12 }]
  ] satisfies [string, Omit<CrashingRequestOptions, 'hash'>][])('and comes again %s reaches workers no longer', (_where, options) => {
    const { guilty, soundBefore, soundAfter } = playCrashingRequests({ hash, ...options })
    expect(guilty.flatMap(({ crashes }) => crashes).length).toBeGreaterThanOrEqual(3)
    for (const { after } of guilty) expect(after).toBeLessThanOrEqual(allowedAfter)
    expect(soundAfter).toBeGreaterThanOrEqual(minSoundShare * soundBefore)
  })

  it.each([
    ['every third message is lost', loseMessages],
    ['another instance is killed each 0.9 s and is back after 0.7 s', restartInTurn],
    ['other workers crash for other reasons', crashOthers]
  ])('reaches workers no longer while %s', (_fault, disturb) => {
    const { guilty: [{ crashes, after }], soundAfter, innocentRefused } = playCrashingRequests({ hash, instances: 7, disturb })
    expect(crashes.length).toBeGreaterThanOrEqual(2)
    expect(after).toBeLessThanOrEqual(allowedAfter)
    expect(soundAfter).toBeGreaterThanOrEqual(minSoundShare)
    expect(innocentRefused).toBe(0)
  })

  it('is served again once it no longer ends workers', () => {
    const { guilty: [{ calls }], fleet } = playCrashingRequests({ hash, instances: 7, load: 10, until: 20_000, end: 90_000 })
    expect(fleet.logEvents.filter(({ event }) => event.kind === 'requestTried')).toHaveLength(1)
    expect(calls.slice(-40, -4).every(({ status }) => status === 200)).toBe(true)
  })

  it('is refused at once, with the promise that it has not run and without a time to come back', () => {
    const { guilty: [{ calls }] } = playCrashingRequests({ hash, instances: 7, end: 12_000 })
    for (const { status, headers, state } of calls.slice(-10)) {
      expect({ status, state }).toEqual({ status: 503, state: 'whole' })
      expect(headers).not.toContain('Retry-After')
    }
  })
})

describe('sound requests', () => {
  it('are not refused when workers crash for other reasons, hundreds of times', () => {
    const { fleet, innocentRefused } = playCrashingRequests({ hash, instances: 7, workers: 12, guilty: 0, disturb: crashOften, end: 126_000 })
    expect(fleet.logEvents.filter(({ event }) => event.kind === 'workerCrashed').length).toBeGreaterThan(200)
    expect(innocentRefused).toBe(0)
  })
})
