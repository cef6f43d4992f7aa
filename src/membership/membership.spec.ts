import { createFakeNetwork } from '../../test/fakes/fakeNetwork.js'
import type { Delivery, FakeNetwork, MessageInTransit } from '../../test/fakes/fakeNetwork.js'
import { createVirtualTime } from '../../test/fakes/virtualTime.js'
import type { VirtualTime } from '../../test/fakes/virtualTime.js'
import { loadHash } from '../hash.js'
import type { Hash } from '../hash.js'
import type { Member } from '../ports/membershipPort.js'
import { tickInterval } from '../ports/peerPort.js'
import { createRandom } from '../random.js'
import { createMembership } from './membershipMachine.js'
import type { Membership, MembershipFeatureEffect } from './membershipTypes.js'

const memberOf = (index: number, incarnation = `i${index}-1`): Member => ({
  id: `n${index}`,
  kind: 'entry',
  incarnation,
  address: { host: '127.0.0.1', port: 7000 + index },
  dataCentre: `dc${index % 3}`,
  state: 'live',
  size: 1
})

interface Fleet {
  readonly time: VirtualTime
  readonly network: FakeNetwork
  readonly instances: Map<string, Membership>
  readonly effects: MembershipFeatureEffect[]
  readonly start: (member: Member, seeds: readonly Member[]) => Membership
  readonly kill: (id: string) => void
  readonly freeze: (id: string, duration: number) => void
  readonly run: (duration: number) => void
}

const createFleet = (hash: Hash, counting = false): Fleet => {
  const time = createVirtualTime(1_000_000)
  const network = createFakeNetwork(time, createRandom(5), counting)
  const instances = new Map<string, Membership>()
  const frozenUntil = new Map<string, number>()
  const effects: MembershipFeatureEffect[] = []

  const perform = (id: string, emitted: readonly MembershipFeatureEffect[]): void => {
    for (const effect of emitted) {
      if (effect.kind === 'peer.send') network.send({ from: id, to: effect.to, message: effect.message })
      else effects.push(effect)
    }
  }

  const start = (member: Member, seeds: readonly Member[]): Membership => {
    const { id } = member
    const instance = createMembership({ self: member, seeds, hash, random: createRandom(hash.h32(id + member.incarnation) | 0), startedAt: time.now() })
    instances.set(id, instance)
    const isCurrent = (): boolean => instances.get(id) === instance
    network.join(id, (from, message) => {
      if (time.now() < (frozenUntil.get(id) ?? 0)) return
      perform(id, instance.handle({ kind: 'peer.message', from, message }, time.now()))
    })
    const tick = (): void => {
      if (!isCurrent()) return
      if (time.now() >= (frozenUntil.get(id) ?? 0)) perform(id, instance.handle({ kind: 'tick' }, time.now()))
      time.after(tickInterval, tick)
    }
    tick()
    return instance
  }

  return {
    time,
    network,
    instances,
    effects,
    start,
    kill: id => {
      instances.delete(id)
      network.leave(id)
    },
    freeze: (id, duration) => frozenUntil.set(id, time.now() + duration),
    run: duration => time.runUntil(time.now() + duration)
  }
}

const startFleet = (hash: Hash, size: number, counting = false): Fleet => {
  const fleet = createFleet(hash, counting)
  const members = Array.from({ length: size }, (_, index) => memberOf(index))
  members.forEach(member => fleet.start(member, members.slice(0, 3)))
  return fleet
}

const aliveIds = (instance: Membership | undefined): readonly string[] => instance?.alive().map(({ id }) => id) ?? []

describe('membership', () => {
  let hash: Hash
  beforeAll(async () => {
    hash = await loadHash()
  })

  it('discovers all instances through three seeds while the platform is down', () => {
    const fleet = startFleet(hash, 8)
    fleet.run(10_000)
    for (const instance of fleet.instances.values()) expect(aliveIds(instance)).toHaveLength(8)
  })

  it('contains the seeds before any answer arrives', () => {
    const fleet = startFleet(hash, 8)
    expect(aliveIds(fleet.instances.get('n7'))).toEqual(['n0', 'n1', 'n2', 'n7'])
  })

  it('drops a crashed instance within 8 s and contains its next incarnation 4 s after the restart', () => {
    const fleet = startFleet(hash, 8)
    fleet.run(10_000)
    fleet.kill('n4')
    fleet.run(8_000)
    for (const instance of fleet.instances.values()) expect(aliveIds(instance)).not.toContain('n4')
    fleet.start(memberOf(4, 'i4-2'), [memberOf(0), memberOf(1), memberOf(2)])
    fleet.run(4_000)
    for (const instance of fleet.instances.values()) expect(aliveIds(instance)).toContain('n4')
  })

  it('keeps an instance alive that one peer cannot reach', () => {
    const fleet = startFleet(hash, 8)
    fleet.run(10_000)
    const cut = ({ from, to }: MessageInTransit): Delivery => [from, to].sort().join() === 'n1,n2' ? 'drop' : 'deliver'
    fleet.network.intercept(cut)
    fleet.run(30_000)
    expect(aliveIds(fleet.instances.get('n1'))).toContain('n2')
    expect(aliveIds(fleet.instances.get('n5'))).toEqual(expect.arrayContaining(['n1', 'n2']))
  })

  it('keeps an instance leaving, although the list still says live, until its next incarnation appears', () => {
    const fleet = startFleet(hash, 8)
    fleet.run(10_000)
    const leaver = fleet.instances.get('n3')
    leaver?.leave(fleet.time.now()).forEach(effect => {
      if (effect.kind === 'peer.send') fleet.network.send({ from: 'n3', to: effect.to, message: effect.message })
    })
    fleet.run(100)
    const observer = fleet.instances.get('n6')
    expect(aliveIds(observer)).not.toContain('n3')
    observer?.handle({ kind: 'membership.list', members: [memberOf(3)] }, fleet.time.now())
    fleet.run(5_000)
    expect(observer?.stateOf('n3')).toBe('leaving')
    expect(observer?.members().map(({ id }) => id)).toContain('n3')
    fleet.start(memberOf(3, 'i3-2'), [memberOf(0)])
    fleet.run(5_000)
    expect(observer?.stateOf('n3')).toBe('alive')
  })

  it('readmits an instance after a pause, and the paused instance suspects no peer', () => {
    const fleet = startFleet(hash, 8)
    fleet.run(10_000)
    fleet.freeze('n5', 20_000)
    fleet.run(15_000)
    expect(aliveIds(fleet.instances.get('n0'))).not.toContain('n5')
    fleet.run(5_100)
    expect(aliveIds(fleet.instances.get('n5'))).toHaveLength(8)
    fleet.run(15_000)
    for (const instance of fleet.instances.values()) expect(aliveIds(instance)).toHaveLength(8)
  })

  it('converges again after a data centre was partitioned from the others', () => {
    const fleet = startFleet(hash, 9)
    fleet.run(10_000)
    const dataCentreOf = (id: string): number => Number(id.slice(1)) % 3
    fleet.network.intercept(({ from, to }) => (dataCentreOf(from) === 0) === (dataCentreOf(to) === 0) ? 'deliver' : 'drop')
    fleet.run(30_000)
    expect(aliveIds(fleet.instances.get('n0'))).toEqual(['n0', 'n3', 'n6'])
    fleet.network.intercept(() => 'deliver')
    fleet.run(20_000)
    for (const instance of fleet.instances.values()) expect(aliveIds(instance)).toHaveLength(9)
  })

  it('stops a process whose id belongs to a later process', () => {
    const fleet = startFleet(hash, 5)
    fleet.run(70_000)
    const earlier = fleet.instances.get('n2')
    fleet.kill('n2')
    fleet.start(memberOf(2, 'i2-2'), [memberOf(0)])
    fleet.run(3_000)
    const now = fleet.time.now()
    const emitted = earlier?.handle({ kind: 'tick' }, now) ?? []
    const ping = emitted.find(effect => effect.kind === 'peer.send')
    expect(ping).toBeDefined()
    const message = { kind: 'membership.ping', seq: 1, sum: 0, self: { member: memberOf(2), version: 1_000_000, status: 'alive' }, rumors: [], health: [] }
    const answers = fleet.instances.get('n0')?.handle({ kind: 'peer.message', from: 'n2', message }, now) ?? []
    const effects = answers.flatMap(effect => effect.kind === 'peer.send' && effect.to === 'n2'
      ? earlier?.handle({ kind: 'peer.message', from: 'n0', message: effect.message }, now) ?? []
      : [])
    expect(effects).toContainEqual({ kind: 'membership.superseded', by: 'i2-2' })
    expect(fleet.instances.get('n0')?.members().find(({ id }) => id === 'n2')?.incarnation).toBe('i2-2')
  })

  it('keeps a crashed instance dead among 160 instances that know each other from the list', () => {
    const fleet = createFleet(hash)
    const members = Array.from({ length: 160 }, (_, index) => memberOf(index))
    members.forEach(member => fleet.start(member, []).handle({ kind: 'membership.list', members }, fleet.time.now()))
    fleet.run(10_000)
    fleet.kill('n7')
    fleet.run(15_000)
    expect(new Set([...fleet.instances.values()].map(instance => instance.stateOf('n7')))).toEqual(new Set(['dead']))
    fleet.run(5_000)
    expect(new Set([...fleet.instances.values()].map(instance => instance.stateOf('n7')))).toEqual(new Set(['dead']))
  })

  it('sends less than 2 KB/s from each idle instance at 320 instances', () => {
    const fleet = createFleet(hash, true)
    const members = Array.from({ length: 320 }, (_, index) => memberOf(index))
    members.forEach(member => fleet.start(member, []).handle({ kind: 'membership.list', members }, fleet.time.now()))
    fleet.run(6_000)
    const before = members.map(({ id }) => fleet.network.bytes(id))
    fleet.run(5_000)
    const rates = members.map(({ id }, index) => (fleet.network.bytes(id) - before[index]) / 5)
    const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length
    expect(mean).toBeLessThan(1_000)
    expect(Math.max(...rates)).toBeLessThan(2_000)
  })

  it('is complete within 15 s on 64 instances that start together without the platform', () => {
    const fleet = startFleet(hash, 64)
    fleet.run(15_000)
    for (const instance of fleet.instances.values()) expect(aliveIds(instance)).toHaveLength(64)
  })
})
