import { firstModel, workerDescriptor, probeAnswer, startEndpointsFleet, workerMember } from '../../test/fakes/fakeEndpoints.js'
import type { EndpointsFleet, FakeWorker } from '../../test/fakes/fakeEndpoints.js'
import { loadHash } from '../hash.js'
import type { Hash } from '../hash.js'
import { createRandom } from '../random.js'
import type { EndpointEvidence } from './endpointsContext.js'
import { createEndpoints } from './endpointsMachine.js'
import type { Endpoints } from './endpointsMachine.js'

const workerOf = (fleet: EndpointsFleet, id: string): FakeWorker => {
  const worker = fleet.workers.get(id)
  if (worker === undefined) throw new RangeError(`no worker ${id}`)
  return worker
}

const statesOf = (fleet: EndpointsFleet, id: string): ReadonlySet<string | undefined> =>
  new Set([...fleet.instances.values()].map(node => node.get(id)?.state))

const evidence = (endpoint: string, outcome: EndpointEvidence['outcome'], incarnation?: string): EndpointEvidence =>
  ({ kind: 'endpoints.evidence', endpoint, outcome, incarnation })

const reportOf = (incarnation: string, leaving = false): ReturnType<typeof probeAnswer> =>
  probeAnswer({ id: 'w0', incarnation, leaving, up: true, running: 1, models: [firstModel], probes: 0 })

describe('endpoints', () => {
  let hash: Hash
  beforeAll(async () => {
    hash = await loadHash()
  })

  const alone = (workers = 3): Endpoints =>
    createEndpoints({ self: 'n0', configured: Array.from({ length: workers }, (_, index) => workerDescriptor(index)), hash, random: createRandom(1) })

  it('lists what the settings name as live before anything was heard', () => {
    expect(alone().list().map(({ id, state }) => `${id} ${state}`)).toEqual(['w0 live', 'w1 live', 'w2 live'])
  })

  it('keeps the array while only load reports arrive', () => {
    const node = alone()
    node.handle(reportOf('a'), 1)
    const before = node.list()
    node.handle(reportOf('a'), 2)
    expect(node.list()).toBe(before)
    expect(node.get('w0')?.report?.at).toBe(2)
  })

  it('takes a new incarnation after a second report, with an empty cache', () => {
    const node = alone()
    node.handle(reportOf('a'), 1_000)
    expect(node.get('w0')).toMatchObject({ incarnation: 'a', since: 0 })
    node.handle(reportOf('b'), 2_000)
    expect(node.get('w0')).toMatchObject({ incarnation: 'a', state: 'suspect' })
    const effects = node.handle(reportOf('b'), 2_150)
    expect(effects).toContainEqual({ kind: 'endpoints.changed', endpoint: 'w0', reason: 'incarnation' })
    expect(node.get('w0')).toMatchObject({ incarnation: 'b', state: 'live', since: 2_150 })
  })

  it('drops reports, list rows and answers of a superseded incarnation', () => {
    const node = alone()
    for (const [incarnation, at] of [['a', 1_000], ['b', 2_000], ['b', 2_150]] as const) node.handle(reportOf(incarnation), at)
    const late = { ...workerMember({ ...knownFake, incarnation: 'a' }), address: { host: '127.0.0.9', port: 1 } }
    for (const at of [3_000, 3_200, 3_400]) {
      node.handle(reportOf('a', true), at)
      node.handle({ kind: 'membership.list', members: [late] }, at)
      node.handle(evidence('w0', 'answered', 'a'), at)
    }
    expect(node.get('w0')).toMatchObject({ incarnation: 'b', state: 'live', address: workerDescriptor(0).address })
  })

  it('keeps the incarnation when one late report of an unknown one arrives', () => {
    const node = alone()
    node.handle(reportOf('b'), 1_000)
    node.handle(reportOf('a'), 2_000)
    node.handle(reportOf('b'), 2_100)
    expect(node.get('w0')).toMatchObject({ incarnation: 'b', state: 'live' })
  })

  it('takes back an incarnation that late reports of one that ended unseen had superseded', () => {
    const node = alone()
    node.handle(reportOf('c'), 1_000)
    for (const at of [2_000, 2_200]) node.handle(reportOf('b'), at)
    expect(node.get('w0')?.incarnation).toBe('b')
    for (const at of [2_500, 3_000, 3_500, 4_000, 4_500]) node.handle(reportOf('c'), at)
    expect(node.get('w0')?.incarnation).toBe('b')
    node.handle(reportOf('c'), 5_500)
    expect(node.get('w0')).toMatchObject({ incarnation: 'c', since: 5_500 })
    node.handle(reportOf('b'), 5_600)
    node.handle(reportOf('b'), 5_800)
    expect(node.get('w0')?.incarnation).toBe('c')
  })

  it('keeps a drain that came before the first report', () => {
    const node = alone()
    node.handle({ kind: 'endpoints.drain', endpoint: 'w0' }, 500)
    node.handle(reportOf('a'), 1_000)
    expect(node.get('w0')?.state).toBe('leaving')
  })

  it('suspects a refusing endpoint at once and retries it after a backoff', () => {
    const node = alone()
    for (const id of ['w0', 'w1', 'w2']) node.handle({ ...reportOf(`${id}-1`), endpoint: id }, 0)
    node.handle(evidence('w0', 'refused'), 1_000)
    expect(node.get('w0')?.state).toBe('suspect')
    node.handle(reportOf('w0-1'), 1_001)
    expect(node.get('w0')?.state).toBe('suspect')
    node.handle(reportOf('w0-1'), 1_400)
    expect(node.get('w0')?.state).toBe('live')
    node.handle(evidence('w0', 'cut'), 1_500)
    expect(node.get('w0')?.state).toBe('suspect')
  })

  it('serves suspects as live when most are suspect', () => {
    const node = alone()
    node.handle(evidence('w0', 'refused'), 1_000)
    expect(node.list().map(({ state }) => state)).toEqual(['suspect', 'live', 'live'])
    node.handle(evidence('w1', 'refused'), 1_000)
    expect(node.list().map(({ state }) => state)).toEqual(['live', 'live', 'live'])
    expect(node.dump().panics).toEqual(['model m1'])
  })

  it('tells all instances within 3 s that a worker leaves, although the list says live', () => {
    const fleet = startEndpointsFleet({ hash, instances: 8, workers: 9 })
    fleet.run(3_000)
    workerOf(fleet, 'w4').leaving = true
    fleet.run(3_000)
    expect(statesOf(fleet, 'w4')).toEqual(new Set(['leaving']))
    workerOf(fleet, 'w4').leaving = false
    for (const id of fleet.instances.keys()) fleet.handle(id, { kind: 'membership.list', members: [workerMember(workerOf(fleet, 'w4'))] })
    fleet.run(3_000)
    expect(statesOf(fleet, 'w4')).toEqual(new Set(['leaving']))
    workerOf(fleet, 'w4').incarnation = 'w4-2'
    fleet.run(3_000)
    expect(statesOf(fleet, 'w4')).toEqual(new Set(['live']))
  })

  it('spreads an operator\'s drain to all instances', () => {
    const fleet = startEndpointsFleet({ hash, instances: 8, workers: 9 })
    fleet.run(3_000)
    fleet.handle('n3', { kind: 'endpoints.drain', endpoint: 'w2' })
    fleet.run(100)
    expect(statesOf(fleet, 'w2')).toEqual(new Set(['leaving']))
  })

  it('repairs lost announcements by digests', () => {
    const fleet = startEndpointsFleet({ hash, instances: 20, workers: 100 })
    fleet.run(5_000)
    fleet.network.intercept(({ message }) => message.kind === 'endpoints.facts' ? 'drop' : 'deliver')
    fleet.handle('n3', { kind: 'endpoints.drain', endpoint: 'w2' })
    fleet.run(500)
    expect(statesOf(fleet, 'w2')).toEqual(new Set(['live', 'leaving']))
    fleet.network.intercept(() => 'deliver')
    fleet.run(10_000)
    expect(statesOf(fleet, 'w2')).toEqual(new Set(['leaving']))
  })

  it('gives a restarted instance without settings the facts of its peers', () => {
    const fleet = startEndpointsFleet({ hash, instances: 8, workers: 100 })
    fleet.run(3_000)
    fleet.stop(5)
    fleet.start(5, [])
    fleet.run(2_000)
    expect(fleet.instances.get('n5')?.list()).toHaveLength(100)
    expect(fleet.instances.get('n5')?.get('w7')?.incarnation).toBe('w7-1')
  })

  it('lets a worker that left and is unreachable go', () => {
    const fleet = startEndpointsFleet({ hash, instances: 4, workers: 9 })
    fleet.run(3_000)
    Object.assign(workerOf(fleet, 'w1'), { leaving: true })
    fleet.run(3_000)
    workerOf(fleet, 'w1').up = false
    fleet.run(45_000)
    expect(statesOf(fleet, 'w1')).toEqual(new Set([undefined]))
    expect(workerOf(fleet, 'w1').probes).toBeGreaterThan(0)
  })

  it('follows used workers for less than 6 KB/s and keeps their reports younger than 4.4 s', () => {
    const fleet = startEndpointsFleet({ hash, instances: 80, workers: 150, countBytes: true })
    const ids = [...fleet.instances.keys()]
    const used = (index: number): readonly string[] => Array.from({ length: 60 }, (_, offset) => `w${(index * 7 + offset) % 150}`)
    const use = (): void => ids.forEach((id, index) => used(index).forEach(worker => fleet.handle(id, evidence(worker, 'answered'))))
    fleet.run(1_000)
    use()
    fleet.run(4_500)
    const before = ids.map(id => fleet.network.bytes(id))
    fleet.run(3_500)
    const rates = ids.map((id, index) => (fleet.network.bytes(id) - before[index]) / 3_500)
    const ages = ids.flatMap((id, index) => used(index).map(worker => fleet.time.now() - (fleet.instances.get(id)?.get(worker)?.report?.at ?? 0)))
    expect(Math.max(...ages)).toBeLessThan(4_400)
    expect(rates.reduce((sum, rate) => sum + rate, 0) / rates.length).toBeLessThan(6)
  })
})

const knownFake: FakeWorker = { id: 'w0', incarnation: 'a', leaving: false, up: true, running: 0, models: [firstModel], probes: 0 }
