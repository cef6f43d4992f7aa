import { loadHash } from '../hash.js'
import type { Member } from '../ports/membershipPort.js'
import { addressList, maxTimeToLive, workspaceInstances } from './addresses.js'
import { createDrain } from './drain.js'
import type { DrainInput } from './drain.js'
import { createRendezvousHash } from './rendezvous.js'
import type { RendezvousHash } from './rendezvous.js'

const dataCentres = ['nm-derby', 'nm-leicester', 'nm-nottingham', 'nm-derby-2']

const fleet = (size: number): readonly Member[] => Array.from({ length: size }, (_, index) => ({
  id: `n${index}`,
  kind: 'entry',
  incarnation: `n${index}-1`,
  address: { host: `10.0.0.${index}`, port: 8080 },
  dataCentre: dataCentres[index % dataCentres.length],
  state: 'live',
  size: index % 5 === 0 ? 2 : 1
}))

const workspaces = Array.from({ length: 300 }, (_, index) => `workspace-${index}`)
const callers = Array.from({ length: 20 }, (_, index) => `10.1.0.${index}`)

describe('addresses', () => {
  let rendezvous: RendezvousHash
  beforeAll(async () => {
    rendezvous = createRendezvousHash(await loadHash())
  })

  /** Requests per unit of size that each instance gets when every caller uses the first address of its list. */
  const loads = (members: readonly Member[]): ReadonlyMap<string, number> => {
    const load = new Map(members.map(({ id }): [string, number] => [id, 0]))
    for (const workspace of workspaces) {
      for (const caller of callers) {
        const { id } = addressList(rendezvous, { workspace, caller, members }).addresses[0]
        load.set(id, (load.get(id) ?? 0) + 1)
      }
    }
    for (const { id, size } of members) load.set(id, (load.get(id) ?? 0) / size)
    return load
  }

  it('omit leaving instances and spread a workspace over data centres', () => {
    const members = fleet(8).map(member => member.id === 'n2' ? { ...member, state: 'leaving' as const } : member)
    for (const workspace of workspaces) {
      const instances = workspaceInstances(rendezvous, workspace, members)
      expect(instances.map(({ id }) => id)).not.toContain('n2')
      expect(new Set(instances.map(({ dataCentre }) => dataCentre)).size).toBe(4)
    }
  })

  it('contain every live instance when fewer are alive than the width', () => {
    const answer = addressList(rendezvous, { workspace: 'w', caller: 'c', members: fleet(2) })
    expect(answer.addresses).toHaveLength(2)
    expect(addressList(rendezvous, { workspace: 'w', caller: 'c', members: [] }).addresses).toEqual([])
  })

  it('give each instance load in proportion to its size', () => {
    const perSize = [...loads(fleet(32)).values()]
    const mean = perSize.reduce((sum, load) => sum + load, 0) / perSize.length
    expect(Math.max(...perSize)).toBeLessThan(1.5 * mean)
    expect(Math.min(...perSize)).toBeGreaterThan(0.5 * mean)
  })

  it('move the callers of a lost instance to many others, and otherwise only move callers off its data centre', () => {
    const members = fleet(32)
    const rest = members.filter(({ id }) => id !== 'n7')
    const gains = new Map<string, number>()
    let moved = 0
    let movedOffDataCentre = 0
    let movedElsewhere = 0
    const lost = members.find(({ id }) => id === 'n7')
    for (const workspace of workspaces) {
      for (const caller of callers) {
        const before = addressList(rendezvous, { workspace, caller, members }).addresses
        const after = addressList(rendezvous, { workspace, caller, members: rest }).addresses
        if (before[0].id === after[0].id) continue
        moved++
        gains.set(after[0].id, (gains.get(after[0].id) ?? 0) + 1)
        if (before.some(({ id }) => id === 'n7')) continue
        if (before[0].dataCentre === lost?.dataCentre) movedOffDataCentre++
        else movedElsewhere++
      }
    }
    expect(movedElsewhere).toBe(0)
    expect(movedOffDataCentre).toBeLessThan(workspaces.length * callers.length / members.length)
    expect(moved).toBeLessThan(workspaces.length * callers.length * 2.5 / members.length)
    expect(gains.size).toBeGreaterThan(20)
    expect(Math.max(...gains.values())).toBeLessThan(moved * 0.2)
  })

  it('spread the callers of a lost data centre over the rest without a load peak', () => {
    const members = fleet(32)
    const rest = members.filter(({ dataCentre }) => dataCentre !== 'nm-derby')
    const perSize = [...loads(rest).values()]
    const mean = perSize.reduce((sum, load) => sum + load, 0) / perSize.length
    expect(Math.max(...perSize)).toBeLessThan(1.5 * mean)
  })

  it('divide the callers of a lost instance over the other instances of the workspace', () => {
    const members = fleet(32)
    const instances = workspaceInstances(rendezvous, 'workspace-1', members).map(({ id }) => id)
    const next = new Map<string, number>()
    for (let caller = 0; caller < 3_000; caller++) {
      const [first, second] = addressList(rendezvous, { workspace: 'workspace-1', caller: `caller-${caller}`, members }).addresses
      if (first.id === instances[0]) next.set(second.id, (next.get(second.id) ?? 0) + 1)
    }
    const all = [...next.values()].reduce((sum, count) => sum + count, 0)
    expect(next.size).toBe(3)
    expect(Math.max(...next.values())).toBeLessThan(0.6 * all)
  })

  it('spread the times at which callers refresh', () => {
    const times = callers.map(caller => addressList(rendezvous, { workspace: 'w', caller, members: fleet(8) }).timeToLive)
    expect(Math.max(...times)).toBeLessThanOrEqual(maxTimeToLive)
    expect(new Set(times).size).toBeGreaterThan(15)
  })
})

describe('drain', () => {
  const ticks = (from: number, to: number): ReadonlyArray<readonly [number, DrainInput]> =>
    Array.from({ length: Math.ceil((to - from) / 50) }, (_, index) => [from + 50 * index, { kind: 'tick' }] as const)

  const run = (inputs: ReadonlyArray<readonly [number, DrainInput]>): readonly string[] => {
    const drain = createDrain({ timeToLive: 10_000, membershipLag: 5_000 })
    return inputs.flatMap(([now, input]) => drain.handle(input, now).map(({ kind }) => `${now} ${kind}`))
  }

  it('announces, keeps accepting, closes the listener, and exits when no request runs', () => {
    expect(run([
      [0, { kind: 'drain.running', running: 3 }],
      [100, { kind: 'drain.start' }],
      ...ticks(150, 7_000),
      [7_000, { kind: 'drain.start' }],
      [7_010, { kind: 'drain.running', running: 2 }],
      ...ticks(7_050, 15_100),
      [15_100, { kind: 'tick' }],
      [900_000, { kind: 'tick' }],
      [900_001, { kind: 'drain.running', running: 0 }],
      [900_002, { kind: 'tick' }]
    ])).toEqual(['100 drain.announce', '15100 drain.closeListener', '900001 drain.exit'])
  })

  it('does not count time in which the process was paused', () => {
    expect(run([
      [0, { kind: 'tick' }],
      [10, { kind: 'drain.start' }],
      [50, { kind: 'tick' }],
      [40_000, { kind: 'tick' }],
      [40_050, { kind: 'tick' }]
    ])).toEqual(['10 drain.announce'])
  })
})
