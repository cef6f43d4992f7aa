import type { FakeGateways } from '../../test/fakes/fakeGateways.js'
import { cutFrom, cutUntil, playPartitioned, type PartitionedOptions } from '../../test/fleets/partitionedPlay.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const cutOff = ['n0', 'n1', 'n2']

const flap = (fleet: FakeGateways): void => {
  for (let at = cutFrom + 400; at < cutUntil; at += 800) {
    fleet.time.at(at, fleet.healLinks)
    fleet.time.at(at + 400, () => fleet.cutLinks(cutOff, { mode: 'refused' }))
  }
}

const killOthers = (fleet: FakeGateways): void => {
  for (let turn = 0; turn < 8; turn++) {
    const instance = `n${3 + turn % 4}`
    fleet.time.at(cutFrom + 1_500 * turn, () => fleet.kill(instance))
    fleet.time.at(cutFrom + 1_500 * turn + 700, () => fleet.start(instance))
  }
}

const endDesk = (fleet: FakeGateways): void => {
  for (const worker of ['w1', 'w3', 'w5', 'w7']) fleet.time.at(cutFrom, () => fleet.crashWorker(worker))
}

const healSoon = (fleet: FakeGateways): void => fleet.time.at(cutFrom + 1_000, fleet.healLinks)

/** Share of the others' served first tries that instances without links are to serve; the users' rule is two thirds. */
const minShare = 0.9

describe('an instance that has lost its links to the workers', () => {
  it.each([
    ['refuse connections, at 3 of 7 instances', { instances: 7, partitioned: 3, cut: { mode: 'refused' } }],
    ['hang, at 3 of 7 instances', { instances: 7, partitioned: 3, cut: { mode: 'hangs' } }],
    ['live on and refuse new connections, at 3 of 7 instances', { instances: 7, partitioned: 3, cut: { mode: 'openLiveOn' } }],
    ['hang, at 6 of 7 instances', { instances: 7, partitioned: 6, cut: { mode: 'hangs' } }],
    ['hang, to one service only', { instances: 7, partitioned: 3, cut: { mode: 'hangs', service: 'model' } }],
    ['refuse connections, at 20 of 60 instances', { instances: 60, partitioned: 20, cut: { mode: 'refused' }, load: 120, workers: 12 }]
  ] satisfies [string, Omit<PartitionedOptions, 'hash'>][])('serves its callers nearly as often as the others if the links %s', (_how, options) => {
    const { partitioned, others, isBroken } = playPartitioned({ hash, ...options })
    expect(partitioned.sent).toBeGreaterThan(20)
    expect(others.served / others.sent).toBeGreaterThan(0.95)
    expect(partitioned.served / partitioned.sent).toBeGreaterThanOrEqual(minShare * others.served / others.sent)
    expect(isBroken).toBe(false)
  })

  it.each(['refused', 'hangs'] as const)('says nothing of the workers to others while the links are cut (%s)', mode => {
    const { fleet } = playPartitioned({ hash, instances: 7, partitioned: 3, cut: { mode } })
    const kinds = fleet.logEvents.map(({ event }) => event.kind)
    expect(kinds).not.toContain('workerCrashed')
    expect(kinds).not.toContain('requestBlocked')
    expect(kinds).not.toContain('partBlocked')
    const doubts = fleet.logEvents.filter(({ instance, at, event }) => event.kind === 'workerDoubted' && event.reason === 'peer' && instance === 'n6' && at > cutFrom + 1_000)
    expect(doubts).toEqual([])
  })

  it.each(['refused', 'hangs'] as const)('lets the streams go on that had begun before the links were cut (%s)', mode => {
    const { calls } = playPartitioned({ hash, instances: 7, partitioned: 3, cut: { mode }, load: 200 })
    const begun = calls.filter(([at, { call, instance }]) => at > cutFrom - 200 && at < cutFrom && call.prompt !== undefined && cutOff.includes(instance)).map(([, call]) => call)
    expect(begun.length).toBeGreaterThan(5)
    expect(begun.filter(({ state, events }) => state === 'whole' && events.length === 5)).toHaveLength(begun.length)
  })

  it('serves again by itself once the links work, and not before', () => {
    const { fleet } = playPartitioned({ hash, instances: 7, partitioned: 3, cut: { mode: 'hangs' } })
    const relayed = fleet.logEvents.filter(({ event }) => event.kind === 'relayed').map(({ at }) => at)
    expect(Math.min(...relayed)).toBeLessThan(cutFrom + 1_000)
    expect(Math.max(...relayed)).toBeGreaterThan(cutUntil - 500)
    expect(Math.max(...relayed)).toBeLessThan(cutUntil + 2_000)
    const changes = fleet.logEvents.filter(({ instance, event }) => instance === 'n0' && (event.kind === 'serviceCutOff' || event.kind === 'serviceReached')).map(({ event }) => event.kind)
    expect(changes).toEqual(['serviceCutOff', 'serviceCutOff', 'serviceReached', 'serviceReached'])
  })

  it('is served although its links come and go', () => {
    const { isBroken } = playPartitioned({ hash, instances: 7, partitioned: 3, cut: { mode: 'refused' }, disturb: flap })
    expect(isBroken).toBe(false)
  })

  it('is served although the instances that relay for it are killed in turn', () => {
    const { isBroken } = playPartitioned({ hash, instances: 7, partitioned: 3, cut: { mode: 'hangs' }, disturb: killOthers })
    expect(isBroken).toBe(false)
  })
})

describe('a service whose workers have all ended', () => {
  it('is not passed around between the instances', () => {
    const { fleet } = playPartitioned({ hash, instances: 7, partitioned: 0, cut: { mode: 'refused' }, disturb: endDesk })
    expect(fleet.logEvents.filter(({ event }) => event.kind === 'relayed').length).toBeLessThanOrEqual(7)
    const refused = fleet.logEvents.filter(({ event, at }) => event.kind === 'refused' && at > cutFrom + 1_000 && at < cutFrom + 2_500)
    expect(refused.length).toBeGreaterThan(10)
  })
})

describe('links that hang for a second', () => {
  it('cut off no other instance', () => {
    const { fleet } = playPartitioned({ hash, instances: 7, partitioned: 1, cut: { mode: 'hangs' }, disturb: healSoon })
    expect(fleet.logEvents.filter(({ event, instance }) => event.kind === 'serviceCutOff' && instance !== 'n0')).toEqual([])
  })
})
