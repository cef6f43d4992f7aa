import { buildFleetEvents } from '../../test/fixtures/fleet.js'
import { buildCatalog } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import type { FleetMember } from '../ports/feedPort.js'
import { createFleet, type Fleet } from './fleetMachine.js'
import type { FleetMessage, Heartbeat } from './fleetMessages.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const at = (steady: number): Moment => ({ steady, wall: steady })

const buildMember = (id: string, incarnation = `${id}-1`): FleetMember =>
  ({ id, incarnation, dataCentre: 'a', front: `front-${id}`, peer: { host: '10.0.0.1', port: 1 }, capacity: 1 })

const buildHeartbeat = (overrides: Partial<Heartbeat> = {}): Heartbeat => ({
  kind: 'fleet.beat',
  incarnation: 'b-1',
  ready: true,
  leaving: false,
  strained: false,
  cutOff: false,
  sentAt: at(0),
  configuration: 4,
  holding: false,
  weights: [],
  ...overrides
})

const build = (configuration = 4) => {
  const sent: { readonly to: string, readonly message: FleetMessage }[] = []
  const proofs: Moment[] = []
  const resets: string[] = []
  const leaving: string[] = []
  let behind = 0
  const fleet = createFleet({
    self: buildMember('a'),
    hash,
    own: () => ({ ready: true, leaving: false, strained: false, cutOff: false, configuration, proofAge: 100, storeAge: 100, holding: false, readFor: undefined, weights: [] }),
    ownCatalog: () => buildCatalog({ version: configuration }),
    emit: effect => {
      if (effect.kind === 'peer.reset') resets.push(effect.to)
      else sent.push({ to: effect.to, message: effect.message })
    },
    events: buildFleetEvents({
      configurationProven: (_version, asOf) => { proofs.push(asOf) },
      configurationBehind: () => { behind++ },
      workerLeaving: worker => { leaving.push(worker) }
    })
  })
  fleet.setMembers([buildMember('a'), buildMember('b')], [])
  return { fleet, sent, proofs, resets, leaving, behind: () => behind }
}

const servingFrontsAt = (fleet: Fleet, now: number): readonly string[] => fleet.serving(at(now)).map(({ member }) => member.front)

describe('the fleet', () => {
  it('takes no proof from a time that this instance has not reached: its configuration would count as proven for ever', () => {
    const { fleet, proofs, resets } = build()
    const odd = [{ echo: at(1e308), proofAge: 0 }, { echo: at(1e308), proofAge: 1e308 }, { echo: at(90), proofAge: -1e308 }, { echo: at(90), proofAge: -5_000 }]
    for (const beat of odd) fleet.receive('b', buildHeartbeat({ ...beat, echoOf: 'a-1' }), at(100))
    expect(proofs.filter(({ steady }) => steady > 100)).toEqual([])
    for (let now = 120; now < 60_000; now += 20) fleet.tick(at(now))
    expect(resets).toContain('b')
  })

  it('takes no proof from the echo of a heartbeat that an earlier incarnation sent', () => {
    const { fleet, proofs } = build()
    fleet.receive('b', buildHeartbeat({ echo: at(8_000), echoOf: 'a-0', proofAge: 100 }), at(300))
    fleet.receive('b', buildHeartbeat({ echo: at(8_000), proofAge: 100 }), at(310))
    expect(proofs).toEqual([])
    fleet.receive('b', buildHeartbeat({ echo: at(200), echoOf: 'a-1', proofAge: 100 }), at(320))
    expect(proofs).toEqual([at(100)])
  })

  it('counts silent instances among the known ones for a minute', () => {
    const { fleet } = build()
    expect(fleet.liveShare(at(0))).toBe(0.5)
    fleet.receive('b', buildHeartbeat(), at(50_000))
    expect(fleet.liveShare(at(50_100))).toBe(1)
    expect(fleet.liveShare(at(70_000))).toBe(0.5)
    expect(fleet.liveShare(at(110_100))).toBe(1)
  })

  it('gives each key to the same live instance everywhere, and none to one that is leaving', () => {
    const { fleet } = build()
    const keys = ['k1', 'k2', 'k3', 'k4', 'k5', 'k6']
    expect(keys.map(key => fleet.ownersOf(key, 1, at(0))[0])).toEqual(keys.map(() => 'a'))
    fleet.receive('b', buildHeartbeat(), at(100))
    expect(new Set(keys.map(key => fleet.ownersOf(key, 1, at(200))[0]))).toEqual(new Set(['a', 'b']))
    fleet.receive('b', buildHeartbeat({ leaving: true }), at(300))
    expect(keys.map(key => fleet.ownersOf(key, 1, at(310))[0])).toEqual(keys.map(() => 'a'))
  })

  it('lists only instances that send heartbeats, are ready and are not leaving', () => {
    const { fleet } = build()
    expect(servingFrontsAt(fleet, 0)).toEqual([])
    fleet.receive('b', buildHeartbeat(), at(100))
    expect(servingFrontsAt(fleet, 200)).toEqual(['front-b'])
    expect(servingFrontsAt(fleet, 1_200)).toEqual([])
    fleet.receive('b', buildHeartbeat({ leaving: true }), at(1_300))
    expect(servingFrontsAt(fleet, 1_310)).toEqual([])
  })

  it('keeps what it heard from a restarted instance when the record of the restart arrives later', () => {
    const { fleet } = build()
    fleet.receive('b', buildHeartbeat(), at(100))
    fleet.receive('b', buildHeartbeat({ incarnation: 'b-2' }), at(5_000))
    fleet.setMembers([buildMember('b', 'b-2')], [])
    expect(servingFrontsAt(fleet, 5_100)).toEqual(['front-b'])
    fleet.setMembers([buildMember('b', 'b-3')], [])
    expect(servingFrontsAt(fleet, 5_200)).toEqual([])
  })

  it('replies at once to an instance that has not heard from it', () => {
    const { fleet, sent } = build()
    fleet.receive('b', buildHeartbeat({ sentAt: at(70) }), at(100))
    expect(sent).toEqual([{ to: 'b', message: expect.objectContaining({ kind: 'fleet.beat', echo: at(70) }) }])
    fleet.receive('b', buildHeartbeat({ echo: at(100) }), at(120))
    expect(sent).toHaveLength(1)
  })

  it('passes on that a worker is leaving', () => {
    const { fleet, leaving } = build()
    fleet.receive('b', { kind: 'fleet.workerLeaving', worker: 'w1', startedAt: 7 }, at(0))
    expect(leaving).toEqual(['w1'])
  })

  it('reports once that it is behind, until it has caught up', () => {
    const { fleet, behind } = build(3)
    fleet.receive('b', buildHeartbeat(), at(100))
    fleet.receive('b', buildHeartbeat(), at(600))
    expect(behind()).toBe(1)
    fleet.receive('b', buildHeartbeat({ configuration: 3 }), at(1_000))
    fleet.receive('b', buildHeartbeat(), at(1_500))
    expect(behind()).toBe(2)
  })

  it('dates a proof by the echoed own send time minus the age of the proof', () => {
    const { fleet, proofs } = build()
    fleet.receive('b', buildHeartbeat({ echo: at(1_000), proofAge: 300 }), at(9_000))
    expect(proofs).toEqual([at(700)])
  })

  it('resets a connection that delivers nothing to the peer, though its heartbeats arrive', () => {
    const { fleet, resets } = build()
    for (let now = 0; now <= 3_000; now += 50) {
      if (now % 250 === 0) fleet.receive('b', buildHeartbeat({ echo: at(Math.min(now, 500)) }), at(now))
      fleet.tick(at(now))
    }
    expect(resets).toEqual(['b', 'b'])
  })

  it('keeps a connection that delivers its messages', () => {
    const { fleet, resets } = build()
    for (let now = 0; now <= 3_000; now += 50) {
      if (now % 250 === 0) fleet.receive('b', buildHeartbeat({ echo: at(now - 250) }), at(now))
      fleet.tick(at(now))
    }
    expect(resets).toEqual([])
  })

  it('ignores a proof without an echo, since the heartbeat may have been delayed', () => {
    const { fleet, proofs } = build()
    fleet.receive('b', buildHeartbeat({ proofAge: 0 }), at(9_000))
    expect(proofs).toEqual([])
  })

  it('ignores a proof of another configuration, and requests a newer one', () => {
    const { fleet, proofs, sent } = build(3)
    fleet.receive('b', buildHeartbeat({ echo: at(1_000), proofAge: 0 }), at(1_010))
    expect(proofs).toEqual([])
    expect(sent).toContainEqual({ to: 'b', message: { kind: 'fleet.wantCatalog', version: 4 } })
  })

  it('does not report store access for an instance that reads the store only through others', () => {
    const { fleet } = build()
    fleet.receive('b', buildHeartbeat({ proofAge: 100, storeAge: 5_000 }), at(0))
    expect(fleet.hasStoreAccess('b', 'b-1', at(10))).toBe(false)
    fleet.receive('b', buildHeartbeat({ proofAge: 100, storeAge: 500 }), at(20))
    expect(fleet.hasStoreAccess('b', 'b-1', at(30))).toBe(true)
    expect(fleet.hasStoreAccess('b', 'b-0', at(30))).toBe(false)
  })

  it('sends its configuration to an instance that requests it', () => {
    const { fleet, sent } = build()
    fleet.receive('b', { kind: 'fleet.wantCatalog', version: 4 }, at(0))
    expect(sent).toContainEqual({ to: 'b', message: { kind: 'fleet.catalog', catalog: buildCatalog({ version: 4 }) } })
  })
})
