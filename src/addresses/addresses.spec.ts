import { loadHash } from '../hash.js'
import type { Member } from '../ports/membershipPort.js'
import { addressList, longestTimeToLive, workspaceInstances } from './addresses.js'
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
  let placement: RendezvousHash
  beforeAll(async () => {
    placement = createRendezvousHash(await loadHash())
  })

  /** Load per unit of size of each instance when every caller uses the first address. */
  const loads = (members: readonly Member[]): ReadonlyMap<string, number> => {
    const load = new Map(members.map(({ id }): [string, number] => [id, 0]))
    for (const workspace of workspaces) {
      for (const caller of callers) {
        const { id } = addressList(placement, { workspace, caller, members }).addresses[0]
        load.set(id, (load.get(id) ?? 0) + 1)
      }
    }
    for (const { id, size } of members) load.set(id, (load.get(id) ?? 0) / size)
    return load
  }

  it('omits leaving instances and spreads a workspace over data centres', () => {
    const members = fleet(8).map(member => member.id === 'n2' ? { ...member, state: 'leaving' as const } : member)
    for (const workspace of workspaces) {
      const entries = workspaceInstances(placement, workspace, members)
      expect(entries.map(({ id }) => id)).not.toContain('n2')
      expect(new Set(entries.map(({ dataCentre }) => dataCentre)).size).toBe(4)
    }
  })

  it('answers with all that is left when fewer instances live than the width', () => {
    const answer = addressList(placement, { workspace: 'w', caller: 'c', members: fleet(2) })
    expect(answer.addresses).toHaveLength(2)
    expect(addressList(placement, { workspace: 'w', caller: 'c', members: [] }).addresses).toEqual([])
  })

  it('gives each instance load in proportion to its size', () => {
    const perSize = [...loads(fleet(32)).values()]
    const mean = perSize.reduce((sum, load) => sum + load, 0) / perSize.length
    expect(Math.max(...perSize)).toBeLessThan(1.5 * mean)
    expect(Math.min(...perSize)).toBeGreaterThan(0.5 * mean)
  })

  it('moves the callers of a lost instance over many others, and else only relieves its data centre', () => {
    const members = fleet(32)
    const rest = members.filter(({ id }) => id !== 'n7')
    const gains = new Map<string, number>()
    let moved = 0
    let relieved = 0
    let needless = 0
    const lost = members.find(({ id }) => id === 'n7')
    for (const workspace of workspaces) {
      for (const caller of callers) {
        const before = addressList(placement, { workspace, caller, members }).addresses
        const after = addressList(placement, { workspace, caller, members: rest }).addresses
        if (before[0].id === after[0].id) continue
        moved++
        gains.set(after[0].id, (gains.get(after[0].id) ?? 0) + 1)
        if (before.some(({ id }) => id === 'n7')) continue
        if (before[0].dataCentre === lost?.dataCentre) relieved++
        else needless++
      }
    }
    expect(needless).toBe(0)
    expect(relieved).toBeLessThan(workspaces.length * callers.length / members.length)
    expect(moved).toBeLessThan(workspaces.length * callers.length * 2.5 / members.length)
    expect(gains.size).toBeGreaterThan(20)
    expect(Math.max(...gains.values())).toBeLessThan(moved * 0.2)
  })

  it('divides the callers of a lost data centre without a peak', () => {
    const members = fleet(32)
    const rest = members.filter(({ dataCentre }) => dataCentre !== 'nm-derby')
    const perSize = [...loads(rest).values()]
    const mean = perSize.reduce((sum, load) => sum + load, 0) / perSize.length
    expect(Math.max(...perSize)).toBeLessThan(1.5 * mean)
  })

  it('divides the callers of a lost instance in its workspace over the other entries', () => {
    const members = fleet(32)
    const entries = workspaceInstances(placement, 'workspace-1', members).map(({ id }) => id)
    const next = new Map<string, number>()
    for (let caller = 0; caller < 3_000; caller++) {
      const [first, second] = addressList(placement, { workspace: 'workspace-1', caller: `caller-${caller}`, members }).addresses
      if (first.id === entries[0]) next.set(second.id, (next.get(second.id) ?? 0) + 1)
    }
    const all = [...next.values()].reduce((sum, count) => sum + count, 0)
    expect(next.size).toBe(3)
    expect(Math.max(...next.values())).toBeLessThan(0.6 * all)
  })

  it('spreads the times at which callers ask again', () => {
    const times = callers.map(caller => addressList(placement, { workspace: 'w', caller, members: fleet(8) }).timeToLive)
    expect(Math.max(...times)).toBeLessThanOrEqual(longestTimeToLive)
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

  it('announces, goes on accepting, closes, and exits when nothing runs', () => {
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

  it('does not count a pause of the process', () => {
    expect(run([
      [0, { kind: 'tick' }],
      [10, { kind: 'drain.start' }],
      [50, { kind: 'tick' }],
      [40_000, { kind: 'tick' }],
      [40_050, { kind: 'tick' }]
    ])).toEqual(['10 drain.announce'])
  })
})
