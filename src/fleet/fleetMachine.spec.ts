import { buildCatalog } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import type { FleetMember } from '../ports/feedPort.js'
import { createFleet } from './fleetMachine.js'
import type { Beat, FleetMessage } from './fleetMessages.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const at = (steady: number): Moment => ({ steady, wall: steady })

const buildMember = (id: string, incarnation = `${id}-1`): FleetMember =>
  ({ id, incarnation, dataCentre: 'a', front: `front-${id}`, peer: { host: '10.0.0.1', port: 1 }, capacity: 1 })

const buildBeat = (over: Partial<Beat> = {}): Beat => ({
  kind: 'fleet.beat',
  incarnation: 'b-1',
  ready: true,
  leaving: false,
  sentAt: at(0),
  configuration: 4,
  holding: false,
  weights: [],
  ...over
})

const build = (configuration = 4) => {
  const sent: { readonly to: string, readonly message: FleetMessage }[] = []
  const proofs: Moment[] = []
  const fleet = createFleet({
    self: buildMember('a'),
    hash,
    own: () => ({ ready: true, leaving: false, configuration, proofAge: 100, storeAge: 100, holding: false, readFor: undefined, weights: [] }),
    ownCatalog: () => buildCatalog({ version: configuration }),
    emit: ({ to, message }) => sent.push({ to, message }),
    events: {
      proven: (_version, asOf) => proofs.push(asOf),
      catalog: () => { /* Not looked at. */ },
      weightsNamed: () => { /* Not looked at. */ },
      workerLoading: () => { /* Not looked at. */ },
      workerLoaded: () => { /* Not looked at. */ },
      workerDoubted: () => { /* Not looked at. */ },
      workerSent: () => { /* Not looked at. */ },
      workersConcluded: () => { /* Not looked at. */ },
      readerBelieves: () => { /* Not looked at. */ },
      peerChanged: () => { /* Not looked at. */ }
    }
  })
  fleet.setMembers([buildMember('a'), buildMember('b')], [])
  return { fleet, sent, proofs }
}

describe('the fleet', () => {
  it('gives callers only instances that beat, are ready and stay', () => {
    const { fleet } = build()
    expect(fleet.fronts(at(0))).toEqual([])
    fleet.receive('b', buildBeat(), at(100))
    expect(fleet.fronts(at(200))).toEqual(['front-b'])
    expect(fleet.fronts(at(1_200))).toEqual([])
    fleet.receive('b', buildBeat({ leaving: true }), at(1_300))
    expect(fleet.fronts(at(1_310))).toEqual([])
  })

  it('takes a proof as of the own moment that the other echoes, less its age', () => {
    const { fleet, proofs } = build()
    fleet.receive('b', buildBeat({ echo: at(1_000), proofAge: 300 }), at(9_000))
    expect(proofs).toEqual([at(700)])
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
    expect(fleet.isAble('b', 'b-1', at(10))).toBe(false)
    fleet.receive('b', buildBeat({ proofAge: 100, storeAge: 500 }), at(20))
    expect(fleet.isAble('b', 'b-1', at(30))).toBe(true)
    expect(fleet.isAble('b', 'b-0', at(30))).toBe(false)
  })

  it('answers with its configuration when an instance behind asks', () => {
    const { fleet, sent } = build()
    fleet.receive('b', { kind: 'fleet.wantCatalog', version: 4 }, at(0))
    expect(sent).toContainEqual({ to: 'b', message: { kind: 'fleet.catalog', catalog: buildCatalog({ version: 4 }) } })
  })
})
