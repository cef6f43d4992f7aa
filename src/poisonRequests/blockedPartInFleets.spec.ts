import { allowedAfter, crashesFrom, playCrashingParts, type CrashingPart } from '../../test/fleets/crashingPartPlay.js'
import type { FakeGateways } from '../../test/fakes/fakeGateways.js'
import { loadHash, type Hash } from '../hash.js'
import { createRandom } from '../random.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const poison: CrashingPart = { id: 'poison', position: 1, load: 8 }

const kindsOf = (fleet: FakeGateways, kind: string): number => fleet.logEvents.filter(({ event }) => event.kind === kind).length

const everySoOften = (fleet: FakeGateways, interval: number, action: (turn: number) => void): void => {
  for (let turn = 0; turn < 12; turn++) fleet.time.at(4_000 + interval * turn, () => action(turn))
}

const workersNow = (fleet: FakeGateways): readonly string[] => [...new Set(fleet.arrivals.slice(-60).map(({ worker }) => worker))].sort()

const crashInTurn = (fleet: FakeGateways): void => everySoOften(fleet, 1_200, turn => {
  const workers = workersNow(fleet)
  fleet.crashWorker(workers[turn % workers.length])
})

const crashAllAtOnce = (fleet: FakeGateways): void => everySoOften(fleet, 5_000, () => workersNow(fleet).forEach(fleet.crashWorker))

const resetConnections = (fleet: FakeGateways): void => everySoOften(fleet, 300, turn => {
  const workers = workersNow(fleet)
  fleet.resetConnections(workers[turn % workers.length])
})

const leave = (fleet: FakeGateways): void => everySoOften(fleet, 1_500, () => fleet.endWorker(workersNow(fleet)[0]))

/** Loses every third message. */
const loseMessages = (fleet: FakeGateways): void => {
  const random = createRandom(3)
  fleet.network.intercept(() => random.unit() < 0.33 ? 'drop' : 'deliver')
}

const cutOff = (fleet: FakeGateways): void => {
  fleet.time.at(2_000, () => fleet.network.intercept(({ from, to }) => from === 'n3' || to === 'n3' ? 'drop' : 'deliver'))
  fleet.time.at(5_400, () => fleet.network.intercept(() => 'deliver'))
}

const startAnew = (fleet: FakeGateways): void => {
  for (let index = 0; index < 7; index++) {
    fleet.time.at(6_500 + 1_500 * index, () => fleet.kill(`n${index}`))
    fleet.time.at(7_000 + 1_500 * index, () => fleet.start(`n${index}`))
  }
}

describe('a part that is blocked', () => {
  it.each([
    ['every third message is lost', loseMessages],
    ['an instance is cut off from the others', cutOff],
    ['all instances start anew in turn', startAnew]
  ])('stays away from workers while %s', (_fault, disturb) => {
    const { parts: [{ crashes, after }], soundBefore, soundAfter } = playCrashingParts({ hash, instances: 7, parts: [poison], disturb })
    expect(crashes.length).toBeGreaterThanOrEqual(3)
    expect(after).toBeLessThanOrEqual(allowedAfter)
    expect(soundAfter).toBeGreaterThanOrEqual(0.5 * soundBefore)
  })

  it.each([0, 1, 2, 3, 4, 5, 6])('stays away from workers although instance %d is killed, whichever is its coordinator', index => {
    const kill = (fleet: FakeGateways): void => fleet.time.at(crashesFrom + 300, () => fleet.kill(`n${index}`))
    const { parts: [{ crashes, after }] } = playCrashingParts({ hash, instances: 7, parts: [poison], disturb: kill, end: 16_000 })
    expect(crashes.length).toBeGreaterThanOrEqual(3)
    expect(after).toBeLessThanOrEqual(allowedAfter)
  })

  it('is tried by one request at a time, and served again once it is sound', () => {
    const { parts: [{ crashes, calls }], fleet } = playCrashingParts({ hash, instances: 7, parts: [{ ...poison, until: 90_000 }], load: 10, end: 205_000 })
    const tried = fleet.logEvents.filter(({ event }) => event.kind === 'partTried')
    expect(tried.length).toBeGreaterThanOrEqual(2)
    expect(tried.length).toBeLessThanOrEqual(3)
    expect(crashes.filter(at => at > crashesFrom + 3_000)).toHaveLength(tried.length - 1)
    expect(calls.slice(-40).filter(({ status }) => status === 200).length).toBeGreaterThan(35)
  })

  it('is refused at once, with the promise that it has not run and without a time to come back', () => {
    const { parts: [{ calls }] } = playCrashingParts({ hash, instances: 7, parts: [poison], end: 12_000 })
    for (const { status, headers, state } of calls.slice(-20)) {
      expect({ status, state }).toEqual({ status: 503, state: 'whole' })
      expect(headers).not.toContain('Retry-After')
    }
  })
})

describe('a part of a prompt that is sound', () => {
  it.each([
    ['workers crash in turn', crashInTurn, 5],
    ['all workers crash at once', crashAllAtOnce, 20],
    ['workers reset connections', resetConnections, 0],
    ['workers leave', leave, 0]
  ])('is not blocked while %s for other reasons', (_reason, disturb, minCrashes) => {
    const { blocked, soundAfter, fleet } = playCrashingParts({ hash, instances: 7, parts: [], workers: 12, disturb, end: 28_000 })
    expect(kindsOf(fleet, 'workerCrashed')).toBeGreaterThanOrEqual(minCrashes)
    expect(blocked).toEqual([])
    expect(soundAfter).toBeGreaterThan(0.5)
  })

  it('comes to a worker that resets connections as before', () => {
    const { fleet } = playCrashingParts({ hash, instances: 7, parts: [], workers: 1, disturb: resetConnections, end: 10_000 })
    expect(kindsOf(fleet, 'workerCrashed')).toBe(0)
    expect(kindsOf(fleet, 'workerDoubted')).toBeGreaterThan(5)
    expect(fleet.arrivals.filter(({ at }) => at > 5_000 && at < 7_000).length).toBeGreaterThan(60)
  })
})
