import { loadHash, type Hash } from '../hash.js'
import type { FleetMember } from '../ports/feedPort.js'
import { selectDirectoryAddresses, type ServingMember } from './directory.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const buildMember = (index: number, capacity: number): FleetMember =>
  ({ id: `i${index}`, incarnation: 'x', dataCentre: 'a', front: `f${index}`, peer: { host: '10.0.0.1', port: 1 }, capacity })

const build = (count: number, capacity: (index: number) => number = () => 1, impaired: (index: number) => boolean = () => false): readonly ServingMember[] =>
  Array.from({ length: count }, (_, index) => ({ member: buildMember(index, capacity(index)), impaired: impaired(index) }))

/** Share of the traffic that each instance gets if callers ask a random instance and pick one of its addresses at random. */
const trafficShares = (members: readonly ServingMember[]): ReadonlyMap<string, number> => {
  const shares = new Map<string, number>()
  for (const { member } of members) {
    const fronts = selectDirectoryAddresses(member.id, members, hash)
    for (const front of fronts) shares.set(front, (shares.get(front) ?? 0) + 1 / fronts.length / members.length)
  }
  return shares
}

describe('directory addresses', () => {
  it('include all instances of a small fleet', () => {
    expect(selectDirectoryAddresses('i0', build(8), hash)).toHaveLength(8)
  })

  it('do not exceed the number that callers accept', () => {
    expect(selectDirectoryAddresses('i0', build(300), hash)).toHaveLength(64)
  })

  it('give a large instance more traffic than a small one, and every instance some', () => {
    const members = build(88, index => index % 2 === 0 ? 1.35 : 0.243)
    const shares = trafficShares(members)
    const large = shares.get('f0') ?? 0
    expect(shares.size).toBe(88)
    for (const { member: { front, capacity } } of members) {
      if (capacity < 1) expect(shares.get(front) ?? 0).toBeLessThan(large / 1.5)
    }
  })

  it('leave out lagging instances unless most instances lag', () => {
    expect(selectDirectoryAddresses('i0', build(8, () => 1, index => index < 3), hash)).toEqual(['f3', 'f4', 'f5', 'f6', 'f7'])
    expect(selectDirectoryAddresses('i0', build(8, () => 1, index => index < 5), hash)).toHaveLength(8)
  })

  it('change by only one when an instance is lost', () => {
    const members = build(88)
    const before = selectDirectoryAddresses('i0', members, hash)
    const after = selectDirectoryAddresses('i0', members.filter(({ member }) => member.front !== before[3]), hash)
    expect(before.filter(front => !after.includes(front))).toEqual([before[3]])
  })
})
