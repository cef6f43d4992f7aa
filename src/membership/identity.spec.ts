import { instanceMember } from '../../test/fakes/fakeEndpoints.js'
import { createIdentity } from './identity.js'
import type { Identity } from './identity.js'
import type { InstanceMember, MemberStatus, Rumor } from './membershipMessages.js'

const member = (incarnation: string): InstanceMember => ({ ...instanceMember(1), kind: 'entry', incarnation })

const rumor = (incarnation: string, version: number, status: MemberStatus): Rumor => ({ member: member(incarnation), version, status })

const startedAt = 1_000_000
const started = (): Identity => createIdentity(member('b'), startedAt)

describe('identity', () => {
  it('increases its version to refute a suspicion of its own incarnation', () => {
    const identity = started()
    expect(identity.handleRumor(rumor('b', startedAt, 'suspect'), startedAt + 10)).toEqual({ kind: 'raised' })
    expect(identity.version()).toBe(startedAt + 1)
  })

  it('refutes a rumor of its death that carries no version', () => {
    const identity = started()
    identity.handleRumor(rumor('b', 0, 'dead'), startedAt + 10)
    expect(identity.version()).toBe(startedAt + 1)
  })

  it('ignores an earlier process of the same id', () => {
    const identity = started()
    expect(identity.handleRumor(rumor('a', startedAt - 5, 'alive'), startedAt + 10)).toEqual({ kind: 'none' })
  })

  it('takes its id over from an earlier process with a higher version (clock set back) once that is dead', () => {
    const identity = started()
    const later = startedAt + 500_000
    expect(identity.handleRumor(rumor('a', later, 'alive'), startedAt + 1_000)).toEqual({ kind: 'none' })
    expect(identity.handleRumor(rumor('a', later, 'dead'), startedAt + 6_000)).toEqual({ kind: 'raised' })
    expect(identity.version()).toBe(later + 1)
  })

  it('is superseded by an earlier process that stays alive with a higher version', () => {
    const identity = started()
    identity.handleRumor(rumor('a', startedAt + 500_000, 'alive'), startedAt + 1_000)
    expect(identity.handleRumor(rumor('a', startedAt + 500_000, 'alive'), startedAt + 12_000)).toEqual({ kind: 'superseded', by: 'a' })
  })

  it('is superseded by a later process immediately and reports it once', () => {
    const identity = started()
    const now = startedAt + 100_000
    expect(identity.handleRumor(rumor('c', now, 'alive'), now + 10)).toEqual({ kind: 'superseded', by: 'c' })
    expect(identity.handleRumor(rumor('c', now, 'alive'), now + 20)).toEqual({ kind: 'none' })
  })

  it('does not take its id over after the takeover period', () => {
    const identity = started()
    expect(identity.handleRumor(rumor('c', startedAt + 90_000, 'dead'), startedAt + 100_000)).toEqual({ kind: 'none' })
  })
})
