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
  const work = new Map<string, number>()
  let fenced = 0
  const ids = Array.from({ length: count }, (_, index) => `w${index}`)
  workers.apply(ids.map(id => ({ kind: 'present', worker: buildWorker(id, { service: 'model', models: [{ name: 'llm', version: 1 }] }) })), true, 0)
  const rollout = createRollout({
    self: 'e1',
    loadShare: 0.286,
    workers,
    weights,
    lease: {
      acquireOrRenew: () => { /* Held from the start. */ },
      markIdle: () => { /* Held from the start. */ },
      answer: () => { /* Held from the start. */ },
      fence: options.fence ?? (() => 7),
      holds: () => true,
      fenced: () => { fenced++ },
      release: () => { /* Held from the start. */ }
    },
    requestsAt: worker => work.get(worker) ?? 0,
    emit: effect => effects.push(effect),
    notify: () => { /* No other instance here. */ }
  })
  const orders = () => effects.flatMap(effect => effect.kind === 'order.send' ? [effect] : [])
  const questions = () => effects.flatMap(effect => effect.kind === 'worker.ask' ? [effect] : [])
  let told = 0
  /** Answers all questions asked so far. */
  const tell = (now: number, status: { version: number, busy?: boolean, orders?: number }): void => {
    for (const { token } of questions().slice(told)) {
      told++
      rollout.answer({ kind: 'worker.told', token, status: { models: [{ name: 'llm', version: status.version }], busy: status.busy ?? false, orders: status.orders ?? 0 } }, at(now))
    }
  }
  const answer = (order: number, outcome: OrderOutcome, now: number): void =>
    rollout.answer({ kind: 'order.answered', token: orders()[order].token, outcome }, at(now))
  return { workers, weights, rollout, orders, questions, tell, answer, work, fenced: () => fenced }
}

/** Names version 2 and lets the counts of orders become known. */
const begin = (fixture: ReturnType<typeof build>): void => {
  fixture.weights.name('llm', 2, 0)
  fixture.rollout.tick(at(0))
  fixture.tell(5, { version: 1, orders: 3 })
  fixture.rollout.tick(at(10))
}

describe('the rollout of weights', () => {
  it('orders nothing without a fencing number', () => {
    const fixture = build(6, { fence: () => undefined })
    begin(fixture)
    expect(fixture.orders()).toEqual([])
  })

  it('asks for the count of orders first and names it', () => {
    const fixture = build(6)
    begin(fixture)
    expect(fixture.orders()[0].order).toMatchObject({ model: 'llm', version: 2, fence: 7, holder: 'e1', expectedOrders: 3, runs: 'goOn' })
  })

  it('loads few at once, those with the least work first', () => {
    const fixture = build(6)
    fixture.work.set('w0', 9).set('w1', 8).set('w2', 7).set('w3', 6)
    begin(fixture)
    expect(fixture.orders().map(({ order }) => order.worker).sort()).toEqual(['w4', 'w5'])
    expect(fixture.weights.isLoading('w4', 20)).toBe(true)
  })

  it('goes on with the next workers when a load is confirmed', () => {
    const fixture = build(3)
    begin(fixture)
    fixture.answer(0, 'accepted', 15)
    fixture.answer(1, 'accepted', 15)
    fixture.rollout.tick(at(580))
    fixture.tell(585, { version: 2, orders: 4 })
    fixture.rollout.tick(at(590))
    expect(fixture.orders()).toHaveLength(3)
  })

  it('takes no slot for a worker that answers neither an order nor a question', () => {
    const fixture = build(3)
    begin(fixture)
    const first = fixture.orders()[0].order.worker
    fixture.answer(0, 'silent', 700)
    const question = fixture.questions().at(-1)
    fixture.rollout.answer({ kind: 'worker.told', token: question?.token ?? 0, status: undefined }, at(710))
    fixture.rollout.tick(at(720))
    expect(fixture.orders()).toHaveLength(3)
    expect(fixture.orders()[2].order.worker).not.toBe(first)
  })

  it('asks again after a conflict and names the count that it hears', () => {
    const fixture = build(2)
    begin(fixture)
    fixture.answer(0, 'conflict', 15)
    fixture.tell(20, { version: 1, orders: 5 })
    fixture.rollout.tick(at(400))
    expect(fixture.orders().at(-1)?.order).toMatchObject({ worker: fixture.orders()[0].order.worker, expectedOrders: 5 })
  })

  it('gives no more orders with a number that a worker refused', () => {
    const fixture = build(2)
    begin(fixture)
    fixture.answer(0, 'fenced', 15)
    expect(fixture.fenced()).toBe(1)
  })
})
