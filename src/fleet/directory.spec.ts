import { loadHash, type Hash } from '../hash.js'
import type { FleetMember } from '../ports/feedPort.js'
import { selectDirectoryAddresses, type ServingMember } from './directory.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const buildMember = (index: number, capacity: number): FleetMember =>
  ({ id: `i${index}`, incarnation: 'x', dataCentre: 'a', front: `f${index}`, peer: { host: '10.0.0.1', port: 1 }, capacity })

const build = (count: number, capacity: (index: number) => number = () => 1, strained: (index: number) => boolean = () => false): readonly ServingMember[] =>
  Array.from({ length: count }, (_, index) => ({ member: buildMember(index, capacity(index)), strained: strained(index) }))

/** Share of the traffic that each instance gets when callers ask any instance and pick one address at random. */
const sharesOf = (members: readonly ServingMember[]): ReadonlyMap<string, number> => {
  const shares = new Map<string, number>()
  for (const { member } of members) {
    const fronts = selectDirectoryAddresses(member.id, members, hash)
    for (const front of fronts) shares.set(front, (shares.get(front) ?? 0) + 1 / fronts.length / members.length)
  }
  return shares
}

describe('the addresses of the directory', () => {
  it('are all there are in a small fleet', () => {
    expect(selectDirectoryAddresses('i0', build(8), hash)).toHaveLength(8)
  })

  it('are as many as callers take at most', () => {
    expect(selectDirectoryAddresses('i0', build(300), hash)).toHaveLength(64)
  })

  it('give a large instance more than a small one, and every one something', () => {
    const members = build(88, index => index % 2 === 0 ? 1.35 : 0.243)
    const shares = sharesOf(members)
    const large = shares.get('f0') ?? 0
    expect(shares.size).toBe(88)
    for (const { member: { front, capacity } } of members) {
      if (capacity < 1) expect(shares.get(front) ?? 0).toBeLessThan(large / 1.5)
    }
  })

  it('leave out those that fall behind, unless most do', () => {
    expect(selectDirectoryAddresses('i0', build(8, () => 1, index => index < 3), hash)).toEqual(['f3', 'f4', 'f5', 'f6', 'f7'])
    expect(selectDirectoryAddresses('i0', build(8, () => 1, index => index < 5), hash)).toHaveLength(8)
  })

  it('stay the same but for one when an instance is lost', () => {
    const members = build(88)
    const before = selectDirectoryAddresses('i0', members, hash)
    const after = selectDirectoryAddresses('i0', members.filter(({ member }) => member.front !== before[3]), hash)
    expect(before.filter(front => !after.includes(front))).toEqual([before[3]])
  })
})
