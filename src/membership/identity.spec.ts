import { instanceMember } from '../../test/fakes/fakeEndpoints.js'
import { createIdentity } from './identity.js'
import type { Identity } from './identity.js'
import type { InstanceMember, MemberStatus, Rumor } from './membershipMessages.js'

const member = (incarnation: string): InstanceMember => ({ ...instanceMember(1), kind: 'entry', incarnation })

const rumor = (incarnation: string, version: number, status: MemberStatus): Rumor => ({ member: member(incarnation), version, status })

const startedAt = 1_000_000
const started = (): Identity => createIdentity(member('b'), startedAt)

describe('identity', () => {
  it('refutes a suspicion of its own incarnation', () => {
    const identity = started()
    expect(identity.hear(rumor('b', startedAt, 'suspect'), startedAt + 10)).toEqual({ kind: 'raised' })
    expect(identity.version()).toBe(startedAt + 1)
  })

  it('refutes a suspicion that carries no version', () => {
    const identity = started()
    identity.hear(rumor('b', 0, 'dead'), startedAt + 10)
    expect(identity.version()).toBe(startedAt + 1)
  })

  it('ignores an earlier process of its id', () => {
    const identity = started()
    expect(identity.hear(rumor('a', startedAt - 5, 'alive'), startedAt + 10)).toEqual({ kind: 'none' })
  })

  it('takes its id over after the clock went back, once the earlier process is dead', () => {
    const identity = started()
    const later = startedAt + 500_000
    expect(identity.hear(rumor('a', later, 'alive'), startedAt + 1_000)).toEqual({ kind: 'none' })
    expect(identity.hear(rumor('a', later, 'dead'), startedAt + 6_000)).toEqual({ kind: 'raised' })
    expect(identity.version()).toBe(later + 1)
  })

  it('gives way to an earlier process that stays alive with a higher version', () => {
    const identity = started()
    identity.hear(rumor('a', startedAt + 500_000, 'alive'), startedAt + 1_000)
    expect(identity.hear(rumor('a', startedAt + 500_000, 'alive'), startedAt + 12_000)).toEqual({ kind: 'superseded', by: 'a' })
  })

  it('gives way to a later process at once and says so once', () => {
    const identity = started()
    const now = startedAt + 100_000
    expect(identity.hear(rumor('c', now, 'alive'), now + 10)).toEqual({ kind: 'superseded', by: 'c' })
    expect(identity.hear(rumor('c', now, 'alive'), now + 20)).toEqual({ kind: 'none' })
  })

  it('never takes its id over when it has run for long', () => {
    const identity = started()
    expect(identity.hear(rumor('c', startedAt + 90_000, 'dead'), startedAt + 100_000)).toEqual({ kind: 'none' })
  })
})
