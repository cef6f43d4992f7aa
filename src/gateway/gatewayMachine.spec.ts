import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
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
  return { gateway, give, run, when }
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
    expect(build().gateway.directory(at(10))).toEqual({ addresses: ['10.0.0.1:80'], ttl: 800 })
  })
})
