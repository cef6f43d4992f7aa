import { buildCatalog } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import type { FleetMember } from '../ports/feedPort.js'
import { createFleet, type Fleet } from './fleetMachine.js'
import type { Heartbeat, FleetMessage } from './fleetMessages.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const at = (steady: number): Moment => ({ steady, wall: steady })

const buildMember = (id: string, incarnation = `${id}-1`): FleetMember =>
  ({ id, incarnation, dataCentre: 'a', front: `front-${id}`, peer: { host: '10.0.0.1', port: 1 }, capacity: 1 })

const buildBeat = (over: Partial<Heartbeat> = {}): Heartbeat => ({
  kind: 'fleet.beat',
  incarnation: 'b-1',
  ready: true,
  leaving: false,
  strained: false,
  sentAt: at(0),
  configuration: 4,
  holding: false,
  weights: [],
  ...over
})

const build = (configuration = 4) => {
  const sent: { readonly to: string, readonly message: FleetMessage }[] = []
  const proofs: Moment[] = []
  const resets: string[] = []
  const fleet = createFleet({
    self: buildMember('a'),
    hash,
    own: () => ({ ready: true, leaving: false, strained: false, configuration, proofAge: 100, storeAge: 100, holding: false, readFor: undefined, weights: [] }),
    ownCatalog: () => buildCatalog({ version: configuration }),
    emit: effect => {
      if (effect.kind === 'peer.reset') resets.push(effect.to)
      else sent.push({ to: effect.to, message: effect.message })
    },
    events: {
      configurationProven: (_version, asOf) => proofs.push(asOf),
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
  fleet.setMembers([buildMember('a'), buildMember('b')], [])
  return { fleet, sent, proofs, resets }
}

const frontsAt = (fleet: Fleet, now: number): readonly string[] => fleet.serving(at(now)).map(({ member }) => member.front)

describe('the fleet', () => {
  it('gives callers only instances that beat, are ready and stay', () => {
    const { fleet } = build()
    expect(frontsAt(fleet, 0)).toEqual([])
    fleet.receive('b', buildBeat(), at(100))
    expect(frontsAt(fleet, 200)).toEqual(['front-b'])
    expect(frontsAt(fleet, 1_200)).toEqual([])
    fleet.receive('b', buildBeat({ leaving: true }), at(1_300))
    expect(frontsAt(fleet, 1_310)).toEqual([])
  })

  it('takes a proof as of the own moment that the other echoes, less its age', () => {
    const { fleet, proofs } = build()
    fleet.receive('b', buildBeat({ echo: at(1_000), proofAge: 300 }), at(9_000))
    expect(proofs).toEqual([at(700)])
  })

  it('opens its connection anew where nothing that it sent arrives, though it hears the other', () => {
    const { fleet, resets } = build()
    for (let now = 0; now <= 3_000; now += 50) {
      if (now % 250 === 0) fleet.receive('b', buildBeat({ echo: at(Math.min(now, 500)) }), at(now))
      fleet.tick(at(now))
    }
    expect(resets).toEqual(['b', 'b'])
  })

  it('keeps a connection whose messages arrive', () => {
    const { fleet, resets } = build()
    for (let now = 0; now <= 3_000; now += 50) {
      if (now % 250 === 0) fleet.receive('b', buildBeat({ echo: at(now - 250) }), at(now))
      fleet.tick(at(now))
    }
    expect(resets).toEqual([])
  })

  it('takes no proof without an echo, since a beat may have been held up', () => {
    const { fleet, proofs } = build()
    fleet.receive('b', buildBeat({ proofAge: 0 }), at(9_000))
    expect(proofs).toEqual([])
  })

  it('takes no proof for another configuration, and asks for a newer one', () => {
    const { fleet, proofs, sent } = build(3)
    fleet.receive('b', buildBeat({ echo: at(1_000), proofAge: 0 }), at(1_010))
    expect(proofs).toEqual([])
    expect(sent).toContainEqual({ to: 'b', message: { kind: 'fleet.wantCatalog', version: 4 } })
  })

  it('does not count an instance as able that hears the store only through others', () => {
    const { fleet } = build()
    fleet.receive('b', buildBeat({ proofAge: 100, storeAge: 5_000 }), at(0))
    expect(fleet.hasStoreAccess('b', 'b-1', at(10))).toBe(false)
    fleet.receive('b', buildBeat({ proofAge: 100, storeAge: 500 }), at(20))
    expect(fleet.hasStoreAccess('b', 'b-1', at(30))).toBe(true)
    expect(fleet.hasStoreAccess('b', 'b-0', at(30))).toBe(false)
  })

  it('answers with its configuration when an instance behind asks', () => {
    const { fleet, sent } = build()
    fleet.receive('b', { kind: 'fleet.wantCatalog', version: 4 }, at(0))
    expect(sent).toContainEqual({ to: 'b', message: { kind: 'fleet.catalog', catalog: buildCatalog({ version: 4 }) } })
  })
})
