import { buildWorker } from '../../test/fixtures/forwarding.js'
import { createStatedLimits } from './statedLimits.js'
import { createWorkerLimits, type LimitMessage } from './workerLimits.js'

const worker = buildWorker('w1')

const build = ({ granter = 'b', liveShare = 1 } = {}) => {
  const sent: { readonly to: string, readonly message: LimitMessage }[] = []
  const announced: LimitMessage[] = []
  let decisions = 0
  const limits = createWorkerLimits({
    self: 'a',
    stated: createStatedLimits(),
    granterOf: () => granter,
    instances: () => 7,
    liveShare: () => liveShare,
    send: (to, message) => { sent.push({ to, message }) },
    broadcast: message => { announced.push(message) },
    onDecision: () => { decisions++ }
  })
  const state = (requests: number, now: number): void => {
    limits.applyResponse({ worker: 'w1', startedAt: 1, sentAt: now - 10, ran: true, statement: { kind: 'perSecond', requests } }, now)
  }
  return { limits, state, sent, announced, decisions: () => decisions }
}

const decision = (count: number): LimitMessage => ({ kind: 'fleet.permitDecision', worker: 'w1', startedAt: 1, decision: { kind: 'granted', count } })

describe('the limits of workers', () => {
  it('are told to the other instances when they begin and when they end, also to one that starts later', () => {
    const { limits, state, announced, sent } = build({ granter: 'a' })
    state(2, 1_000)
    state(2, 1_100)
    state(3, 1_200)
    limits.tell('c', 1_300)
    limits.applyResponse({ worker: 'w1', startedAt: 1, sentAt: 1_300, ran: true, statement: undefined }, 1_400)
    expect(announced).toEqual([
      { kind: 'fleet.workerLimit', worker: 'w1', startedAt: 1, perSecond: 2, age: 0 },
      { kind: 'fleet.workerLimit', worker: 'w1', startedAt: 1, age: 100 }
    ])
    expect(sent).toEqual([{ to: 'c', message: { kind: 'fleet.workerLimit', worker: 'w1', startedAt: 1, perSecond: 3, age: 100 } }])
  })

  it('stay in force after a rejection without one and after one that is unreadable', () => {
    const { limits, state } = build()
    state(2, 1_000)
    limits.applyResponse({ worker: 'w1', startedAt: 1, sentAt: 1_300, ran: false, statement: undefined }, 1_400)
    limits.applyResponse({ worker: 'w1', startedAt: 1, sentAt: 1_300, ran: true, statement: { kind: 'unreadable' } }, 1_400)
    expect(limits.perSecond(worker)).toBe(2)
  })

  it('let a request be sent only with a permit, which is used once and in time', () => {
    const { limits, state, sent, decisions } = build()
    expect(limits.take(worker, 1, 0).kind).toBe('unlimited')
    state(2, 1_000)
    expect(limits.take(worker, 1, 1_010).kind).toBe('asked')
    expect(limits.take(worker, 1, 1_020).kind).toBe('asked')
    expect(sent).toHaveLength(1)
    limits.receive('b', decision(2), 1_030)
    expect(decisions()).toBe(1)
    expect(limits.take(worker, 1, 1_040).kind).toBe('held')
    expect(limits.permitFor(worker, 1_600).kind).toBe('wanted')
  })

  it('leave the worker out for a while if the granter does not answer', () => {
    const { limits, state } = build()
    state(2, 1_000)
    limits.take(worker, 1, 1_010)
    expect(limits.permitFor(worker, 1_200)).toEqual({ kind: 'denied', until: 1_450 })
    expect(limits.permitFor(worker, 1_460).kind).toBe('wanted')
  })

  it('are learned by a granter from the question, and not granted by an instance that is no granter', () => {
    const question: LimitMessage = { kind: 'fleet.permitRequest', worker: 'w1', startedAt: 1, perSecond: 4, age: 50, priority: 1 }
    const granting = build({ granter: 'a' })
    granting.limits.receive('c', question, 1_000)
    granting.limits.receive('c', question, 1_250)
    expect(granting.sent.map(({ message }) => message)).toMatchObject([{ decision: { kind: 'denied', wait: 250 } }, { decision: { kind: 'granted' } }])
    expect(granting.limits.perSecond(worker)).toBe(4)
    const other = build()
    other.limits.receive('c', question, 1_000)
    other.limits.receive('c', question, 9_000)
    expect(other.sent.map(({ message }) => message)).toMatchObject([{ decision: { kind: 'denied' } }, { decision: { kind: 'denied' } }])
  })

  it('are granted in part by an instance that reaches a minority of the others', () => {
    const question: LimitMessage = { kind: 'fleet.permitRequest', worker: 'w1', startedAt: 1, perSecond: 4, age: 0, priority: 1 }
    const minority = build({ granter: 'a', liveShare: 0.25 })
    minority.limits.receive('c', question, 1_000)
    expect(minority.sent[0].message).toMatchObject({ decision: { kind: 'denied', wait: 1_000 } })
  })
})
