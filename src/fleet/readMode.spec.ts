import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import type { FleetMember, StoreReadMode } from '../ports/feedPort.js'
import { createFleet, type Fleet } from './fleetMachine.js'
import type { FleetMessage } from './fleetMessages.js'
import { chooseReadMode, readerCount } from './readMode.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const at = (steady: number): Moment => ({ steady, wall: steady })

describe('how an instance reads', () => {
  it('is by itself in a small fleet', () => {
    expect(chooseReadMode({ size: 8, higherRankedReaders: 3, proofAge: 0, holding: false })).toBe('forItself')
  })

  it('is for all where few before it do', () => {
    expect(chooseReadMode({ size: 60, higherRankedReaders: readerCount - 1, proofAge: 0, holding: false })).toBe('forAll')
    expect(chooseReadMode({ size: 60, higherRankedReaders: readerCount, proofAge: 0, holding: false })).toBe('throughPeers')
  })

  it('is its own concern when those before it have fallen silent, or it gives orders', () => {
    expect(chooseReadMode({ size: 60, higherRankedReaders: readerCount, proofAge: 2_700, holding: false })).toBe('inReserve')
    expect(chooseReadMode({ size: 60, higherRankedReaders: readerCount, proofAge: 0, holding: true })).toBe('forAll')
  })
})

const stepTime = 100
/** Time that a read for all waits, in ms. */
const readTime = 700

/** A fleet in which messages arrive at once, some instances are dead and some do not reach the store. */
const buildFleet = (size: number) => {
  const members = Array.from({ length: size }, (_, index): FleetMember =>
    ({ id: `i${index}`, incarnation: `i${index}-1`, dataCentre: 'a', front: `f${index}`, peer: { host: '10.0.0.1', port: 1 }, capacity: 1 + index % 2 }))
  const dead = new Set<string>()
  const cutOff = new Set<string>()
  const readings = new Map<string, StoreReadMode>(members.map(({ id }) => [id, 'forItself']))
  const proofs = new Map<string, number>(members.map(({ id }) => [id, 0]))
  const sent = new Map<string, number>()
  const storeProofs = new Map<string, number>(members.map(({ id }) => [id, 0]))
  const instances = new Map<string, Fleet>()
  const queue: { readonly from: string, readonly to: string, readonly message: FleetMessage }[] = []
  let now = 0
  let reads = 0

  for (const member of members) {
    const { id } = member
    const fleet = createFleet({
      self: member,
      hash,
      own: () => ({
        ready: true,
        leaving: false,
        strained: false,
        configuration: 1,
        proofAge: now - (proofs.get(id) ?? 0),
        storeAge: now - (storeProofs.get(id) ?? 0),
        holding: false,
        readFor: readings.get(id) === 'forAll' ? { workers: 1 } : undefined,
        weights: []
      }),
      ownCatalog: () => undefined,
      emit: effect => { if (effect.kind === 'peer.send') queue.push({ from: id, to: effect.to, message: effect.message }) },
      events: {
        configurationProven: (_version, asOf) => proofs.set(id, Math.max(proofs.get(id) ?? 0, asOf.steady)),
        catalog: () => { /* Not looked at. */ },
        weightsNamed: () => { /* Not looked at. */ },
        workerLoading: () => { /* Not looked at. */ },
        workerLoaded: () => { /* Not looked at. */ },
        workerDoubted: () => { /* Not looked at. */ },
        peerSentToWorker: () => { /* Not looked at. */ },
        workerRecordsReceived: () => { /* Not looked at. */ },
        readerStateReceived: () => { /* Not looked at. */ },
        peerChanged: () => { /* Not looked at. */ }
      }
    })
    fleet.setMembers(members, [])
    instances.set(id, fleet)
  }

  /** Each read waits for news and is answered without any, so that it proves how things were when it was sent. */
  const read = (id: string): void => {
    const sentAt = sent.get(id)
    if (sentAt !== undefined && now - sentAt < readTime) return
    if (sentAt !== undefined && !cutOff.has(id)) {
      proofs.set(id, Math.max(proofs.get(id) ?? 0, sentAt))
      storeProofs.set(id, sentAt)
    }
    sent.delete(id)
    if (readings.get(id) === 'throughPeers') return
    reads++
    sent.set(id, now)
  }

  const step = (): void => {
    now += stepTime
    for (const [id, fleet] of instances) {
      if (dead.has(id)) continue
      read(id)
      fleet.tick(at(now))
      readings.set(id, chooseReadMode({
        size: fleet.size(at(now)),
        higherRankedReaders: fleet.higherRankedReaders(at(now)),
        proofAge: now - (proofs.get(id) ?? 0),
        holding: false
      }))
    }
    for (const { from, to, message } of queue.splice(0)) {
      if (!dead.has(from) && !dead.has(to)) instances.get(to)?.receive(from, message, at(now))
    }
  }

  const living = (): readonly string[] => members.map(({ id }) => id).filter(id => !dead.has(id))

  return {
    dead,
    cutOff,
    living,
    /** Oldest proof that any living instance had meanwhile, and reads a second. */
    run: (time: number): { readonly oldest: number, readonly reads: number } => {
      let oldest = 0
      const before = reads
      for (let steps = time / stepTime; steps > 0; steps--) {
        step()
        for (const id of living()) oldest = Math.max(oldest, now - (proofs.get(id) ?? 0))
      }
      return { oldest, reads: (reads - before) / (time / 1_000) }
    },
    readersNow: () => living().filter(id => readings.get(id) === 'forAll'),
    silentTo: (id: string) => size - 1 - (instances.get(id)?.serving(at(now)).length ?? 0)
  }
}

/** Time to apply a configuration on the large deployments, in ms. */
const applyWithin = 3_000
/** Age of a proof, in ms, beyond which requests with a key are refused where keys have to end within 5 s. */
const keyLimit = 4_500

describe('a fleet of sixty', () => {
  it('reads the store through a few, and all have proofs that are new', () => {
    const fleet = buildFleet(60)
    fleet.run(6_000)
    const { oldest, reads } = fleet.run(10_000)
    expect(fleet.readersNow()).toHaveLength(readerCount)
    expect(reads).toBeLessThan(5)
    expect(oldest).toBeLessThan(applyWithin)
  })

  it('serves keys on when all that read are killed together', () => {
    const fleet = buildFleet(60)
    fleet.run(6_000)
    for (const id of fleet.readersNow()) fleet.dead.add(id)
    expect(fleet.run(10_000).oldest).toBeLessThan(keyLimit)
    expect(fleet.readersNow()).toHaveLength(readerCount)
  })

  it('serves keys on when all that read are cut off from the store', () => {
    const fleet = buildFleet(60)
    fleet.run(6_000)
    const before = fleet.readersNow()
    for (const id of before) fleet.cutOff.add(id)
    expect(fleet.run(10_000).oldest).toBeLessThan(keyLimit)
    expect(fleet.readersNow().filter(id => !before.includes(id))).toHaveLength(readerCount)
  })

  it('hears of the dead from those that read, sooner than by its own rare beats', () => {
    const fleet = buildFleet(60)
    fleet.run(8_000)
    const [last = ''] = fleet.living().filter(id => !fleet.readersNow().includes(id)).slice(-1)
    for (const id of fleet.living().filter(id => id !== last && !fleet.readersNow().includes(id)).slice(0, 20)) fleet.dead.add(id)
    fleet.run(3_000)
    expect(fleet.silentTo(last)).toBe(20)
  })
})
