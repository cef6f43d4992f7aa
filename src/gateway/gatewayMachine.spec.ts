import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import { cacheScope } from '../placement/cacheScope.js'
import type { Call } from '../ports/forwardPort.js'
import type { PeerMessage } from '../ports/peerPort.js'
import { createRandom } from '../random.js'
import { createGateway } from './gatewayMachine.js'
import type { GatewayEffect, GatewayInput } from './gatewayTypes.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const at = (steady: number): Moment => ({ steady, wall: steady })

const build = () => {
  const effects: { readonly at: number, readonly effect: GatewayEffect }[] = []
  const gateway = createGateway({
    self: { id: 'a', incarnation: 'a-1', dataCentre: 'a', front: '10.0.0.1:80', peer: { host: '10.0.0.1', port: 90 }, capacity: 1 },
    bounds: () => ({
      forwarding: { keys: 4_500, absence: 1_500, weights: 8_000 },
      retries: { fraction: 0.2, slack: 50, window: 10_000 },
      addressLife: 800,
      addressLifeFactor: 3,
      grace: 8_000,
      loadShare: 0.286
    }),
    hash,
    random: createRandom(1)
  })
  const give = (input: GatewayInput, now: number): void => {
    for (const effect of gateway.handle(input, at(now))) effects.push({ at: now, effect })
  }
  const run = (from: number, to: number): void => {
    for (let now = from; now <= to; now += 20) give({ kind: 'tick' }, now)
  }
  /** When an effect was asked for first. */
  const when = (kind: GatewayEffect['kind']): number | undefined => effects.find(({ effect }) => effect.kind === kind)?.at
  give({ kind: 'feed.catalog', catalog: buildCatalog() }, 0)
  give({ kind: 'feed.proof', asOf: at(0) }, 0)
  give({ kind: 'feed.workers', records: [{ kind: 'present', worker: buildWorker('w1') }], complete: true }, 0)
  return { gateway, give, run, when, effects }
}

describe('a gateway that leaves', () => {
  it('says so at once, and takes requests for as long as callers may keep its address', () => {
    const { gateway, give, run, when } = build()
    expect(gateway.isReady(at(10))).toBe(true)
    give({ kind: 'gateway.leave' }, 100)
    expect(gateway.isReady(at(110))).toBe(false)
    expect(when('gateway.closing')).toBe(100)
    give({ kind: 'call.arrived', request: 1, call: buildCall() }, 2_400)
    expect(when('attempt.send')).toBe(2_400)
    run(2_420, 4_000)
    expect(when('gateway.closeFront')).toBeGreaterThanOrEqual(100 + 2_400)
    expect(when('gateway.closeFront')).toBeLessThanOrEqual(100 + 3_000)
  })

  it('ends when its requests have ended', () => {
    const { give, run, when } = build()
    give({ kind: 'call.arrived', request: 1, call: buildCall({ patience: 1_000_000 }) }, 90)
    give({ kind: 'gateway.leave' }, 100)
    run(120, 700)
    give({ kind: 'call.left', request: 1 }, 710)
    run(720, 3_500)
    expect(when('gateway.exit')).toBe(when('gateway.closeFront'))
  })

  it('claims no duty to order weights', () => {
    const { give, run, when } = build()
    give({ kind: 'feed.workers', records: [{ kind: 'present', worker: buildWorker('m1', { service: 'model', models: [{ name: 'llm', version: 1 }] }) }], complete: false }, 50)
    give({ kind: 'gateway.leave' }, 100)
    give({ kind: 'feed.weights', model: 'llm', version: 2 }, 110)
    run(120, 3_000)
    expect(when('claim.read')).toBeUndefined()
  })
})

describe('the directory', () => {
  it('names the instance itself while it knows no other', () => {
    expect(build().gateway.directory(at(10))).toEqual({ addresses: ['10.0.0.1:80'], life: 800 })
  })
})

const scopeOf = (): string => cacheScope('llm', 1, undefined)

/** An instance among thirty, three of which read the store for all and believe the part store to be in reach. */
const buildLarge = () => {
  const fixture = build()
  const partStore = { name: 'parts', maxConnections: 90, purpose: { kind: 'partStore' as const, address: { host: '10.0.0.9', port: 1 }, dataCentre: 'a', memoryTokens: 800_000 } }
  const members = Array.from({ length: 30 }, (_, index) => ({
    id: `p${index}`, incarnation: 'x', dataCentre: 'a', front: `10.0.1.${index}:80`, peer: { host: '10.0.1.1', port: 1 }, capacity: 2
  }))
  fixture.give({ kind: 'feed.catalog', catalog: buildCatalog({ version: 2, services: [...buildCatalog().services, partStore] }) }, 20)
  fixture.give({ kind: 'feed.workers', records: ['m1', 'm2'].map(id => ({ kind: 'present', worker: buildWorker(id, { service: 'model', models: [{ name: 'llm', version: 1 }] }) })), complete: false }, 20)
  fixture.give({ kind: 'feed.members', members, withdrawn: [] }, 20)
  const beat = (now: number): void => {
    for (const [index, { id }] of members.entries()) {
      const readFor = index < 3 ? { workers: 0, partStore: true, silent: [] } : undefined
      fixture.give({ kind: 'peer.message', from: id, message: { kind: 'fleet.beat', incarnation: 'x', ready: true, leaving: false, sentAt: at(now), echo: at(now), configuration: 2, proofAge: 0, storeAge: index < 3 ? 0 : 9_000, holding: false, weights: [], ...(readFor === undefined ? {} : { readFor }) } as PeerMessage }, now)
    }
  }
  for (let now = 40; now <= 400; now += 20) {
    if (now % 200 === 0) beat(now)
    fixture.give({ kind: 'tick' }, now)
  }
  const call = (id: string): Call => buildCall({ id, host: 'model.example', path: '/model/x', target: '/model/x', prompt: { model: 'llm', inputTokens: 7_000, maxOutputTokens: 5, parts: [{ id: 'aa', tokens: 6_000 }, { id: `own-${id}`, tokens: 1_000 }] } })
  return { ...fixture, call }
}

describe('an instance of a larger fleet', () => {
  it('lets a prompt be stored that none is known to have stored, and tells all', () => {
    const { give, effects, call } = buildLarge()
    give({ kind: 'call.arrived', request: 1, call: call('r1') }, 420)
    const sent = effects.flatMap(({ effect }) => effect.kind === 'attempt.send' ? [effect.dispatch] : [])
    expect(sent[0].model).toMatchObject({ source: { host: '10.0.0.9' }, target: { host: '10.0.0.9' } })
    const told = effects.flatMap(({ effect }) => effect.kind === 'peer.send' && effect.message.kind === 'fleet.sent' ? [effect.message] : [])
    expect(told).toHaveLength(30)
    expect(told[0]).toMatchObject({ stores: true, parts: [{ id: 'aa', tokens: 6_000 }] })
  })

  it('does not let it be stored again that another instance has, so that the store is left to shared parts', () => {
    const { give, effects, call } = buildLarge()
    give({ kind: 'peer.message', from: 'p9', message: { kind: 'fleet.sent', worker: 'm1', unreadTokens: 7_000, scope: scopeOf(), parts: [{ id: 'aa', tokens: 6_000 }], stores: true } as PeerMessage }, 410)
    give({ kind: 'call.arrived', request: 1, call: call('r1') }, 420)
    const sent = effects.flatMap(({ effect }) => effect.kind === 'attempt.send' ? [effect.dispatch] : [])
    expect(sent[0].model).toMatchObject({ source: { host: '10.0.0.9' } })
    expect(sent[0].model?.target).toBeUndefined()
  })
})
