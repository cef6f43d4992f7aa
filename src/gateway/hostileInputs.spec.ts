/** Guards against one message of another instance, one head of a worker or one record of the store that ends the process or keeps an instance from serving. */
import fc from 'fast-check'
import { z } from 'zod'
import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { buildGatewayBounds } from '../../test/fixtures/gateway.js'
import { anything, valuesOf } from '../../test/fixtures/hostileValues.js'
import { catalogSchema, type Catalog } from '../catalog/catalogTypes.js'
import { createFrameReader, encodeFrame } from '../adapters/peerFrames.js'
import { fleetMessageSchema } from '../fleet/fleetMessages.js'
import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import type { PeerMessage } from '../ports/peerPort.js'
import { createRandom } from '../random.js'
import { workerRecordSchema, type WorkerRecord } from '../workers/workersTypes.js'
import { createGateway, tickInterval } from './gatewayMachine.js'
import type { GatewayEffect, GatewayInput } from './gatewayTypes.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const at = (steady: number): Moment => ({ steady, wall: steady })

const build = (bounds = buildGatewayBounds) => {
  const effects: GatewayEffect[] = []
  const gateway = createGateway({
    self: { id: 'a', incarnation: 'a-1', dataCentre: 'a', front: '10.0.0.1:80', peer: { host: '10.0.0.1', port: 90 }, capacity: 1 },
    bounds,
    hash,
    random: createRandom(1)
  })
  const send = (input: GatewayInput, now: number): void => { effects.push(...gateway.handle(input, at(now))) }
  const errors = () => effects.flatMap(effect => effect.kind === 'gateway.error' ? [{ place: effect.place, error: effect.error }] : [])
  send({ kind: 'feed.catalog', catalog: buildCatalog() }, 0)
  send({ kind: 'feed.proof', asOf: at(0) }, 0)
  send({ kind: 'feed.workers', records: ['w1', 'w2'].map(id => ({ kind: 'present', worker: buildWorker(id) })), complete: true }, 0)
  send({ kind: 'feed.members', members: [{ id: 'b', incarnation: 'b-1', dataCentre: 'a', front: '10.0.0.2:80', peer: { host: '10.0.0.2', port: 90 }, capacity: 1 }], withdrawn: [] }, 0)
  return { gateway, effects, send, errors }
}

/** Feeds a series of inputs to an instance, one a tick, and then a request; no error may be thrown. */
const survives = (inputs: readonly GatewayInput[]): void => {
  const { gateway, send, errors } = build()
  let now = 20
  for (const input of inputs) {
    send(input, now)
    send({ kind: 'tick' }, now)
    now += tickInterval
  }
  send({ kind: 'call.arrived', request: 1, call: buildCall() }, now)
  gateway.directory(at(now))
  JSON.stringify(gateway.dump(at(now)))
  gateway.gauges(at(now))
  expect(errors()).toEqual([])
}

describe('an instance', () => {
  it('throws no error for any message of a peer that the framing lets through', () => {
    fc.assert(fc.property(fc.array(valuesOf(fleetMessageSchema), { minLength: 1, maxLength: 4 }), values => {
      const reader = createFrameReader(4_194_304)
      const decoded = values.flatMap(value => reader.push(encodeFrame(value)).unwrapOr([]))
      survives(decoded.flatMap(message => typeof message === 'object' && message !== null && 'kind' in message && typeof message.kind === 'string' ? [{ kind: 'peer.message' as const, from: 'b', message: message as PeerMessage }] : []))
    }), { seed: 61, numRuns: 250 })
  })

  it('throws no error for any record of a worker or configuration that the schemas accept', () => {
    const records = valuesOf(z.array(workerRecordSchema)).filter((value): value is WorkerRecord[] => z.array(workerRecordSchema).safeParse(value).success)
    const catalogs = valuesOf(catalogSchema).filter((value): value is Catalog => catalogSchema.safeParse(value).success)
    fc.assert(fc.property(records, fc.boolean(), (accepted, complete) => survives([{ kind: 'feed.workers', records: accepted, complete }])), { seed: 62, numRuns: 100 })
    fc.assert(fc.property(catalogs, catalog => survives([{ kind: 'feed.catalog', catalog }])), { seed: 63, numRuns: 100 })
  })

  it('throws no error for any record of the claim stream', () => {
    fc.assert(fc.property(anything, claim => survives([{ kind: 'claim.records', token: 1, records: [{ offset: 0, claim }], end: 1, era: 0 }])), { seed: 64, numRuns: 100 })
  })

  it('runs the other steps of a tick, and serves, while one step throws an error at every tick, which is reported each time', () => {
    let failing = false
    const failIfAsked = (): void => { if (failing) throw new TypeError('broken') }
    const { effects, errors, send } = build(() => {
      failIfAsked()
      // The shutdown keeps the limits with which it began, and reads them at each tick.
      return Object.defineProperty(buildGatewayBounds(), 'grace', { get: () => failIfAsked() ?? 8_000 })
    })
    send({ kind: 'gateway.leave' }, 10)
    failing = true
    for (let now = 20; now <= 2_000; now += tickInterval) send({ kind: 'tick' }, now)
    expect(errors()).toHaveLength(100)
    expect(new Set(errors().map(({ place }) => place))).toEqual(new Set(['tick.shutdown']))
    expect(effects.filter(effect => effect.kind === 'peer.send').length).toBeGreaterThan(5)
    send({ kind: 'call.arrived', request: 1, call: buildCall() }, 2_010)
    expect(effects.find(effect => effect.kind === 'call.answer')).toMatchObject({ status: 500 })
  })
})
