import { buildFleetEvents } from '../../test/fixtures/fleet.js'
import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import type { FleetMember, StoreReadMode } from '../ports/feedPort.js'
import { createFleet, type Fleet } from './fleetMachine.js'
import type { FleetMessage } from './fleetMessages.js'
import { storeContactTimeout } from './peerLiveness.js'
import { chooseReadMode, readerCount, type ReadModeInput } from './readMode.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const at = (steady: number): Moment => ({ steady, wall: steady })

/** Builds the input of an instance of a larger fleet with enough readers. */
const buildInput = (overrides: Partial<ReadModeInput> = {}): ReadModeInput =>
  ({ size: 60, higherRankedReaders: readerCount, turn: 0, readersMissingFor: 0, current: 'throughPeers', proofAge: 0, holding: false, ...overrides })

describe('the read mode of an instance', () => {
  it('is forItself in a small fleet', () => {
    expect(chooseReadMode(buildInput({ size: 8 }))).toBe('forItself')
  })

  it('is forAll if too few readers rank before it, else throughPeers', () => {
    expect(chooseReadMode(buildInput({ higherRankedReaders: readerCount - 1 }))).toBe('forAll')
    expect(chooseReadMode(buildInput())).toBe('throughPeers')
  })

  it('is inReserve if the readers have fallen silent, and forAll if it holds the rollout lease', () => {
    expect(chooseReadMode(buildInput({ proofAge: 2_700 }))).toBe('inReserve')
    expect(chooseReadMode(buildInput({ holding: true }))).toBe('forAll')
  })
})

describe('an instance that finds too few readers', () => {
  const missing = { higherRankedReaders: readerCount - 1, turn: 4 }

  it('waits for its turn', () => {
    expect(chooseReadMode(buildInput({ ...missing, readersMissingFor: 500 }))).toBe('throughPeers')
    expect(chooseReadMode(buildInput({ ...missing, readersMissingFor: 600 }))).toBe('forAll')
  })

  it('goes on as before until then', () => {
    expect(chooseReadMode(buildInput({ ...missing, current: 'forAll' }))).toBe('forAll')
    expect(chooseReadMode(buildInput({ ...missing, current: 'forItself' }))).toBe('forItself')
    expect(chooseReadMode(buildInput({ ...missing, proofAge: 2_700 }))).toBe('inReserve')
  })
})

/** Simulated time per step, in ms. */
const stepDuration = 100
/** Duration of a long poll of the store, in ms. */
const readDuration = 800

/** Simulates a fleet in which messages arrive within the step, and instances can be dead or cut off from the store. */
const buildFleet = (size: number) => {
  const members = Array.from({ length: size }, (_, index): FleetMember =>
    ({ id: `i${index}`, incarnation: `i${index}-1`, dataCentre: 'a', front: `f${index}`, peer: { host: '10.0.0.1', port: 1 }, capacity: 1 + index % 2 }))
  const dead = new Set<string>()
  const storeUnreachable = new Set<string>()
  const readings = new Map<string, StoreReadMode>(members.map(({ id }) => [id, 'forItself']))
  const proofs = new Map<string, number>(members.map(({ id }) => [id, 0]))
  const sent = new Map<string, number>()
  const storeProofs = new Map<string, number>(members.map(({ id }) => [id, 0]))
  const instances = new Map<string, Fleet>()
  const queue: { readonly from: string, readonly to: string, readonly message: FleetMessage }[] = []
  const missingSince = new Map<string, number>()
  let now = 0
  let reads = 0
  let changesToForAll = 0

  for (const member of members) {
    const { id } = member
    const fleet = createFleet({
      self: member,
      hash,
      own: () => ({
        ready: true,
        leaving: false,
        strained: false,
        cutOff: false,
        configuration: 1,
        proofAge: now - (proofs.get(id) ?? 0),
        storeAge: now - (storeProofs.get(id) ?? 0),
        holding: false,
        readFor: readings.get(id) === 'forAll' ? { workers: 1 } : undefined,
        weights: []
      }),
      ownCatalog: () => undefined,
      emit: effect => { if (effect.kind === 'peer.send') queue.push({ from: id, to: effect.to, message: effect.message }) },
      events: buildFleetEvents({ configurationProven: (_version, asOf) => { proofs.set(id, Math.max(proofs.get(id) ?? 0, asOf.steady)) } })
    })
    fleet.setMembers(members, [])
    instances.set(id, fleet)
  }

  /** The first read after a change of mode returns at once. Each further one is a long poll that returns without changes, so it proves the state at the time it was sent. */
  const read = (id: string): void => {
    const sentAt = sent.get(id)
    const isFirst = now - (storeProofs.get(id) ?? 0) >= storeContactTimeout
    if (sentAt !== undefined && now - sentAt < readDuration && !isFirst) return
    if (sentAt !== undefined && !storeUnreachable.has(id)) {
      proofs.set(id, Math.max(proofs.get(id) ?? 0, sentAt))
      storeProofs.set(id, sentAt)
      if (isFirst && readings.get(id) === 'forAll') instances.get(id)?.announce(at(now))
    }
    sent.delete(id)
    if (readings.get(id) === 'throughPeers') return
    reads++
    sent.set(id, now)
  }

  const step = (): void => {
    now += stepDuration
    for (const [id, fleet] of instances) {
      if (dead.has(id)) continue
      read(id)
      fleet.tick(at(now))
      const higherRankedReaders = fleet.higherRankedReaders(at(now))
      if (higherRankedReaders >= readerCount) missingSince.delete(id)
      else if (!missingSince.has(id)) missingSince.set(id, now)
      const next = chooseReadMode({
        size: fleet.size(at(now)),
        higherRankedReaders,
        turn: fleet.rank(at(now)) - higherRankedReaders,
        readersMissingFor: now - (missingSince.get(id) ?? now),
        current: readings.get(id) ?? 'forItself',
        proofAge: now - (proofs.get(id) ?? 0),
        holding: false
      })
      if (next === 'forAll' && readings.get(id) !== 'forAll') changesToForAll++
      readings.set(id, next)
    }
    for (const { from, to, message } of queue.splice(0)) {
      if (!dead.has(from) && !dead.has(to)) instances.get(to)?.receive(from, message, at(now))
    }
  }

  const liveInstances = (): readonly string[] => members.map(({ id }) => id).filter(id => !dead.has(id))

  return {
    dead,
    storeUnreachable,
    liveInstances,
    /** Advances the time; returns the maximum proof age of any live instance, in ms, and the reads per second. */
    run: (time: number): { readonly maxProofAge: number, readonly reads: number } => {
      let maxProofAge = 0
      const before = reads
      for (let steps = time / stepDuration; steps > 0; steps--) {
        step()
        for (const id of liveInstances()) maxProofAge = Math.max(maxProofAge, now - (proofs.get(id) ?? 0))
      }
      return { maxProofAge, reads: (reads - before) / (time / 1_000) }
    },
    changesToForAll: () => changesToForAll,
    currentReaders: () => liveInstances().filter(id => readings.get(id) === 'forAll'),
    countMissingPeers: (id: string) => size - 1 - (instances.get(id)?.serving(at(now)).length ?? 0)
  }
}

/** Maximum time to apply a configuration in the large deployments, in ms. */
const maxApplyTime = 3_000
/** Proof age in ms beyond which requests with a key are refused, where revoked keys must stop working within 5 s. */
const maxKeyProofAge = 4_500

describe('a fleet of 60 instances', () => {
  it('reads the store through a few readers, and all instances have recent proofs', () => {
    const fleet = buildFleet(60)
    fleet.run(6_000)
    const { maxProofAge, reads } = fleet.run(10_000)
    expect(fleet.currentReaders()).toHaveLength(readerCount)
    expect(reads).toBeLessThan(5)
    expect(maxProofAge).toBeLessThan(maxApplyTime)
  })

  it('continues to accept keys when all readers are killed at once', () => {
    const fleet = buildFleet(60)
    fleet.run(6_000)
    for (const id of fleet.currentReaders()) fleet.dead.add(id)
    expect(fleet.run(10_000).maxProofAge).toBeLessThan(maxKeyProofAge)
    expect(fleet.currentReaders()).toHaveLength(readerCount)
  })

  it('continues to accept keys when all readers are cut off from the store', () => {
    const fleet = buildFleet(60)
    fleet.run(6_000)
    const before = fleet.currentReaders()
    for (const id of before) fleet.storeUnreachable.add(id)
    expect(fleet.run(10_000).maxProofAge).toBeLessThan(maxKeyProofAge)
    expect(fleet.currentReaders().filter(id => !before.includes(id))).toHaveLength(readerCount)
  })

  it('replaces a lost reader by few others, which take turns', () => {
    const fleet = buildFleet(60)
    fleet.run(6_000)
    const before = fleet.changesToForAll()
    fleet.dead.add(fleet.currentReaders()[0])
    fleet.run(10_000)
    expect(fleet.currentReaders()).toHaveLength(readerCount)
    expect(fleet.changesToForAll() - before).toBeLessThanOrEqual(6)
  })

  it('detects dead instances by the reports of the readers, sooner than by its own infrequent heartbeats', () => {
    const fleet = buildFleet(60)
    fleet.run(8_000)
    const [last = ''] = fleet.liveInstances().filter(id => !fleet.currentReaders().includes(id)).slice(-1)
    for (const id of fleet.liveInstances().filter(id => id !== last && !fleet.currentReaders().includes(id)).slice(0, 20)) fleet.dead.add(id)
    fleet.run(3_000)
    expect(fleet.countMissingPeers(last)).toBe(20)
  })
})
