import { buildWorker } from '../../test/fixtures/forwarding.js'
import type { Moment } from '../lease/readLease.js'
import type { OrderEffect, OrderOutcome } from '../ports/orderPort.js'
import { createWeightsTracker } from '../workers/weightsTracker.js'
import { createWorkersDb } from '../workers/workersDb.js'
import { createRollout } from './rolloutMachine.js'

const at = (steady: number): Moment => ({ steady, wall: steady })

const build = (count: number, options: { readonly fence?: () => number | undefined } = {}) => {
  const workers = createWorkersDb()
  const weights = createWeightsTracker()
  const effects: OrderEffect[] = []
  const requests = new Map<string, number>()
  let fenced = 0
  let releases = 0
  const ids = Array.from({ length: count }, (_, index) => `w${index}`)
  workers.apply(ids.map(id => ({ kind: 'present', worker: buildWorker(id, { service: 'model', models: [{ name: 'llm', version: 1 }] }) })), true, 0)
  const rollout = createRollout({
    self: 'e1',
    loadShare: 0.286,
    workers,
    weights,
    lease: {
      acquireOrRenew: () => { /* The lease is held from the start. */ },
      markIdle: () => { /* The lease is held from the start. */ },
      answer: () => { /* The lease is held from the start. */ },
      fence: options.fence ?? (() => 7),
      noteOrder: () => { /* The lease is held from the start. */ },
      holds: () => true,
      fenced: () => { fenced++ },
      release: () => { releases++ }
    },
    requestsAt: worker => requests.get(worker) ?? 0,
    emit: effect => effects.push(effect),
    notify: () => { /* There is no other instance. */ }
  })
  const orders = () => effects.flatMap(effect => effect.kind === 'order.send' ? [effect] : [])
  const statusRequests = () => effects.flatMap(effect => effect.kind === 'worker.ask' ? [effect] : [])
  let answered = 0
  /** Answers all status requests sent so far. */
  const answerStatus = (now: number, status: { version: number, busy?: boolean, orders?: number }): void => {
    for (const { token } of statusRequests().slice(answered)) {
      answered++
      rollout.answer({ kind: 'worker.told', token, status: { models: [{ name: 'llm', version: status.version }], busy: status.busy ?? false, orders: status.orders ?? 0 } }, at(now))
    }
  }
  const answer = (order: number, outcome: OrderOutcome, now: number): void =>
    rollout.answer({ kind: 'order.answered', token: orders()[order].token, outcome }, at(now))
  return { workers, weights, rollout, orders, statusRequests, answerStatus, answer, requests, fenced: () => fenced, releases: () => releases }
}

/** Announces version 2 and lets the rollout learn the order counts of all workers. */
const begin = (fixture: ReturnType<typeof build>): void => {
  fixture.weights.name('llm', 2, 0)
  fixture.rollout.tick(at(0))
  fixture.answerStatus(5, { version: 1, orders: 3 })
  fixture.rollout.tick(at(10))
}

describe('the rollout of weights', () => {
  it('sends no orders without a fencing token', () => {
    const fixture = build(6, { fence: () => undefined })
    begin(fixture)
    expect(fixture.orders()).toEqual([])
  })

  it('requests the order count first and names it in the order', () => {
    const fixture = build(6)
    begin(fixture)
    expect(fixture.orders()[0].order).toMatchObject({ model: 'llm', version: 2, fence: 7, holder: 'e1', expectedOrders: 3, runs: 'goOn' })
  })

  it('loads few workers at once, those with the fewest requests first', () => {
    const fixture = build(6)
    fixture.requests.set('w0', 9).set('w1', 8).set('w2', 7).set('w3', 6)
    begin(fixture)
    expect(fixture.orders().map(({ order }) => order.worker).sort()).toEqual(['w4', 'w5'])
    expect(fixture.weights.isLoading('w4', 20)).toBe(true)
  })

  it('continues with the next workers when loads are confirmed', () => {
    const fixture = build(3)
    begin(fixture)
    fixture.answer(0, 'accepted', 15)
    fixture.answer(1, 'accepted', 15)
    fixture.rollout.tick(at(580))
    fixture.answerStatus(585, { version: 2, orders: 4 })
    fixture.rollout.tick(at(590))
    expect(fixture.orders()).toHaveLength(3)
  })

  it('does not wait for a worker that answers neither an order nor a status request', () => {
    const fixture = build(3)
    begin(fixture)
    const first = fixture.orders()[0].order.worker
    fixture.answer(0, 'silent', 700)
    const statusRequest = fixture.statusRequests().at(-1)
    fixture.rollout.answer({ kind: 'worker.told', token: statusRequest?.token ?? 0, status: undefined }, at(710))
    fixture.rollout.tick(at(720))
    expect(fixture.orders()).toHaveLength(3)
    expect(fixture.orders()[2].order.worker).not.toBe(first)
  })

  it('requests the status after a conflict and names the reported order count in the next order', () => {
    const fixture = build(2)
    begin(fixture)
    fixture.answer(0, 'conflict', 15)
    fixture.answerStatus(20, { version: 1, orders: 5 })
    fixture.rollout.tick(at(400))
    expect(fixture.orders().at(-1)?.order).toMatchObject({ worker: fixture.orders()[0].order.worker, expectedOrders: 5 })
  })

  // Guards against new weights that come 4 s late: a holder's order met the load of its predecessor and was taken for it.
  it('orders again as soon as the load of an earlier order, which the worker preferred, has ended', () => {
    const fixture = build(2)
    begin(fixture)
    const { worker } = fixture.orders()[0].order
    fixture.answer(0, 'conflict', 15)
    fixture.answerStatus(20, { version: 1, orders: 4, busy: true })
    fixture.rollout.tick(at(140))
    fixture.answerStatus(145, { version: 1, orders: 4 })
    fixture.rollout.tick(at(160))
    expect(fixture.orders().filter(({ order }) => order.worker === worker)).toHaveLength(2)
    expect(fixture.orders().at(-1)?.order).toMatchObject({ worker, version: 2, expectedOrders: 4 })
  })

  it('orders again when an order without an answer turns out to have met the load of an earlier one', () => {
    const fixture = build(2)
    begin(fixture)
    const { worker } = fixture.orders()[0].order
    fixture.answer(0, 'silent', 715)
    fixture.answerStatus(720, { version: 1, orders: 4, busy: true })
    fixture.rollout.tick(at(840))
    fixture.answerStatus(845, { version: 1, orders: 4 })
    fixture.rollout.tick(at(860))
    expect(fixture.orders().filter(({ order }) => order.worker === worker)).toHaveLength(2)
  })

  it('waits for an accepted load whose report lags behind', () => {
    const fixture = build(2)
    begin(fixture)
    fixture.answer(0, 'accepted', 15)
    fixture.answer(1, 'accepted', 15)
    fixture.rollout.tick(at(560))
    fixture.answerStatus(565, { version: 1, orders: 3 })
    fixture.rollout.tick(at(700))
    expect(fixture.orders()).toHaveLength(2)
  })

  it('reports to the lease that a worker refused its fencing token', () => {
    const fixture = build(2)
    begin(fixture)
    fixture.answer(0, 'fenced', 15)
    expect(fixture.fenced()).toBe(1)
  })

  // Guards against an order that reaches a worker after one of the next holder, as the lease was given up while it was on its way.
  it('gives the lease up only when its last order was answered', () => {
    const fixture = build(6)
    begin(fixture)
    fixture.rollout.release(at(12))
    expect(fixture.releases()).toBe(0)
    fixture.answer(0, 'accepted', 15)
    expect(fixture.releases()).toBe(0)
    fixture.answer(1, 'silent', 710)
    expect(fixture.releases()).toBe(1)
  })

  it('gives the lease up at once if no order is on its way', () => {
    const fixture = build(6)
    fixture.rollout.release(at(12))
    expect(fixture.releases()).toBe(1)
  })

  it('keeps the lease if it goes on before its last order was answered', () => {
    const fixture = build(6)
    begin(fixture)
    fixture.rollout.release(at(12))
    fixture.rollout.tick(at(20))
    fixture.answer(0, 'accepted', 25)
    fixture.answer(1, 'accepted', 25)
    expect(fixture.releases()).toBe(0)
  })
})
