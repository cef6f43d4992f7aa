import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import { buildGatewayPlay } from '../../test/fixtures/gateway.js'
import { loadHash, type Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const at = (steady: number): Moment => ({ steady, wall: steady })

const build = (workers = 1, catalog = buildCatalog()) => buildGatewayPlay(hash, workers, catalog)

describe('a gateway that shuts down', () => {
  it('announces the shutdown at once, and accepts requests for as long as callers may cache its address', () => {
    const { gateway, send, run, firstAt } = build()
    expect(gateway.isReady(at(10))).toBe(true)
    send({ kind: 'gateway.leave' }, 100)
    expect(gateway.isReady(at(110))).toBe(false)
    expect(firstAt('gateway.closing')).toBe(100)
    send({ kind: 'call.arrived', request: 1, call: buildCall() }, 2_400)
    expect(firstAt('attempt.send')).toBe(2_400)
    run(2_420, 4_000)
    expect(firstAt('gateway.closeFront')).toBeGreaterThanOrEqual(100 + 2_400)
    expect(firstAt('gateway.closeFront')).toBeLessThanOrEqual(100 + 3_000)
  })

  it('exits when its requests have ended', () => {
    const { send, run, firstAt, effects } = build()
    send({ kind: 'call.arrived', request: 1, call: buildCall({ patience: 1_000_000 }) }, 90)
    send({ kind: 'gateway.leave' }, 100)
    run(120, 700)
    send({ kind: 'call.left', request: 1, id: 'r1', stage: 'open', reason: 'callerClosed' }, 710)
    run(720, 3_500)
    expect(firstAt('gateway.exit')).toBe(firstAt('gateway.closeFront'))
    const exits = effects.filter(({ effect }) => effect.kind === 'gateway.exit')
    expect(exits.map(({ at, effect }) => effect.kind === 'gateway.exit' ? at + effect.within : 0)).toEqual([100 + 8_000 - 500])
  })

  it('stays a member of the fleet, and hears the others, until its last request has ended', () => {
    const { send, run, firstAt } = build(1, buildCatalog({ routes: [buildRoute({ timeout: 60_000 })] }))
    send({ kind: 'call.arrived', request: 1, call: buildCall({ patience: 1_000_000 }) }, 90)
    send({ kind: 'gateway.leave' }, 100)
    run(120, 5_000)
    expect(firstAt('gateway.closeFront')).toBeLessThan(5_000)
    expect(firstAt('member.withdraw')).toBeUndefined()
    send({ kind: 'call.left', request: 1, id: 'r1', stage: 'open', reason: 'callerClosed' }, 5_010)
    run(5_020, 5_040)
    expect(firstAt('member.withdraw')).toBe(5_020)
  })

  it.each([['sent to a worker', 1, 502], ['that waits for one', 0, 503]])('refuses a request %s before its grace period ends', (_name, workers, status) => {
    const { send, run, effects } = build(workers, buildCatalog({ routes: [buildRoute({ timeout: 60_000, objective: 60_000 })] }))
    send({ kind: 'call.arrived', request: 1, call: buildCall({ patience: 60_000 }) }, 50)
    send({ kind: 'gateway.leave' }, 100)
    run(120, 8_100)
    const answers = effects.filter(({ effect }) => effect.kind === 'call.answer')
    expect(answers.map(({ effect }) => effect.kind === 'call.answer' ? effect.status : 0)).toEqual([status])
    expect(effects.indexOf(answers[0])).toBeLessThan(effects.findIndex(({ effect }) => effect.kind === 'gateway.exit'))
    send({ kind: 'call.arrived', request: 2, call: buildCall({ id: 'later' }) }, 7_580)
    expect(effects.at(-1)).toMatchObject({ effect: { kind: 'call.answer', request: 2, status: 503 } })
  })

  it('names for a request that it reads the time that it may take, the time that is left and its connection', () => {
    const { send, run, logEvents } = build()
    run(0, 100)
    send({ kind: 'gateway.leave' }, 400)
    send({ kind: 'call.arrived', request: 1, call: buildCall({ patience: 900 }), connection: { age: 5_000, earlier: 0 } }, 1_400)
    expect(logEvents()).toContainEqual({ kind: 'leaving', requests: 0, heldUp: 320, grace: 8_000 })
    expect(logEvents()).toContainEqual(expect.objectContaining({ kind: 'arrivedInShutdown', taken: true, since: 1_320, needed: 900, connectionAge: 5_000, earlier: 0 }))
  })

  it('does not claim the rollout lease', () => {
    const { send, run, firstAt } = build()
    send({ kind: 'feed.workers', records: [{ kind: 'present', worker: buildWorker('m1', { service: 'model', models: [{ name: 'llm', version: 1 }] }) }], complete: false }, 50)
    send({ kind: 'gateway.leave' }, 100)
    send({ kind: 'feed.weights', model: 'llm', version: 2 }, 110)
    run(120, 3_000)
    expect(firstAt('claim.read')).toBeUndefined()
  })
})

describe('the directory', () => {
  it('lists the instance itself while no other is known', () => {
    expect(build().gateway.directory(at(10))).toEqual({ addresses: ['10.0.0.1:80'], ttl: 800 })
  })

  it('lists an instance that shuts down for as long as it accepts connections, and no longer, while no other is known', () => {
    const { gateway, send, run, firstAt } = build()
    send({ kind: 'gateway.leave' }, 100)
    run(120, 2_500)
    expect(firstAt('gateway.closeFront')).toBeUndefined()
    expect(gateway.directory(at(2_500)).addresses).toEqual(['10.0.0.1:80'])
    run(2_520, 4_000)
    expect(firstAt('gateway.closeFront')).toBeLessThan(4_000)
    expect(gateway.directory(at(4_000)).addresses).toEqual([])
  })
})
