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

const buildBeat = (weights: readonly { readonly model: string, readonly version: number }[]): PeerMessage & Record<string, unknown> =>
  ({ kind: 'fleet.beat', incarnation: 'b-1', ready: true, leaving: false, sentAt: at(10), configuration: 1, holding: false, weights })

const catalogOf = (version: number): PeerMessage & Record<string, unknown> => ({ kind: 'fleet.catalog', catalog: buildCatalog({ version }) })

const loadingOf = (worker: string): PeerMessage & Record<string, unknown> => ({ kind: 'fleet.loading', worker, model: 'm', version: 1, time: 1e308 })

const sentOf = (tokens: number): PeerMessage & Record<string, unknown> => ({ kind: 'fleet.sent', worker: 'w1', unreadTokens: tokens, scope: 's', parts: [{ id: 'aa', tokens }] })

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

  it.each([1e308, 2 ** 53, 1.5, -1])('passes over the version %d of weights, after which no worker would hold the newest ones', version => {
    const { send, gateway, effects } = build()
    send({ kind: 'peer.message', from: 'b', message: buildBeat([{ model: 'llm', version }]) }, 20)
    send({ kind: 'feed.weights', model: 'llm', version }, 20)
    send({ kind: 'feed.weights', model: 'llm', version: 2 }, 30)
    send({ kind: 'tick' }, 2_000)
    const named = effects.flatMap(effect => effect.kind === 'gateway.note' && effect.note.kind === 'weightsNamed' ? [effect.note.version] : [])
    expect(named).toEqual([2])
    gateway.directory(at(2_000))
  })

  it('passes over a configuration of a peer whose version no later one can exceed', () => {
    const { send, effects } = build()
    send({ kind: 'peer.message', from: 'b', message: catalogOf(1e308) }, 20)
    send({ kind: 'feed.catalog', catalog: buildCatalog({ version: 100 }) }, 30)
    const versions = effects.flatMap(effect => effect.kind === 'gateway.note' && effect.note.kind === 'configurationInForce' ? [effect.note.version] : [])
    expect(versions.at(-1)).toBe(100)
  })

  it('gives requests again to workers that load weights, as another instance has said, without an end', () => {
    const { send, effects } = build()
    const service = { name: 'desk', maxConnections: 100, purpose: { kind: 'model' as const, slots: 8, memoryTokens: 100_000, tokenBytes: 100, linkSpeed: 100 } }
    send({ kind: 'feed.catalog', catalog: buildCatalog({ version: 100, services: [service] }) }, 20)
    for (const worker of ['w1', 'w2']) send({ kind: 'peer.message', from: 'b', message: loadingOf(worker) }, 20)
    send({ kind: 'feed.proof', asOf: at(120_000) }, 120_000)
    send({ kind: 'call.arrived', request: 1, call: buildCall({ prompt: { model: 'm', inputTokens: 10, maxOutputTokens: 10, parts: [] } }) }, 120_000)
    expect(effects.flatMap(effect => effect.kind === 'attempt.send' ? [effect.attempt] : [])).toHaveLength(1)
  })

  it.each([1.5, 0, -1, 1e308, 5e-324])('takes parts of %d tokens from a part store or another instance', tokens => {
    const partStore = { host: '10.9.0.1', port: 80 }
    const service = { name: 'parts', maxConnections: 100, purpose: { kind: 'partStore' as const, address: partStore, dataCentre: 'a', memoryTokens: 1_000 } }
    survives([
      { kind: 'feed.catalog', catalog: buildCatalog({ version: 100, services: [service] }) },
      { kind: 'feed.parts', store: partStore, restarted: true, changes: [{ kind: 'kept', scope: 's', part: 'aa', tokens }] },
      { kind: 'peer.message', from: 'b', message: sentOf(tokens) }
    ])
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
