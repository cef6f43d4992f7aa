import { instanceMember, workerDescriptor } from '../../test/fakes/fakeEndpoints.js'
import { createFakeLog } from '../../test/fakes/fakeLog.js'
import type { LogFault } from '../../test/fakes/fakeLog.js'
import type { Endpoint, LoadedModel } from '../endpoints/endpointsTypes.js'
import { loadHash } from '../hash.js'
import type { Hash } from '../hash.js'
import type { Member } from '../ports/membershipPort.js'
import { createRandom } from '../random.js'
import { createOrders } from './ordersMachine.js'
import type { DesiredModel, OrdersEffect, OrdersInput } from './ordersTypes.js'
import { planOrders } from './plan.js'

const loadedVersion = (weightVersion: string, model = 'm1'): LoadedModel => ({ model, weightVersion })
const desiredVersion = (weightVersion: string, workers: DesiredModel['workers'] = 'all'): DesiredModel => ({ model: 'm1', weightVersion, workers })

const worker = (index: number, models: readonly LoadedModel[], state: Endpoint['state'] = 'live'): Endpoint => {
  const { id, kind, address, dataCentre, fenced, slots } = workerDescriptor(index)
  return { id, kind, address, dataCentre, fenced, slots, models, state, incarnation: `${id}-1`, since: 0 }
}

interface Harness {
  readonly orders: string[]
  readonly run: (duration: number, fault?: LogFault) => void
  readonly deliver: (input: OrdersInput) => void
  readonly setWorkers: (workers: readonly Endpoint[]) => void
  readonly answer: (result: 'done' | 'failed' | 'staleFence') => void
  readonly phase: () => string
  readonly sent: Array<Extract<OrdersEffect, { kind: 'peer.send' }>>
}

const createHarness = (hash: Hash, self: Member, members: readonly Member[], log = createFakeLog()): Harness => {
  let endpoints: readonly Endpoint[] = []
  let now = 0
  let fault: LogFault = 'none'
  let unanswered: Array<Extract<OrdersEffect, { kind: 'endpoint.order' }>> = []
  const orders: string[] = []
  const sent: Harness['sent'] = []
  const machine = createOrders({ self, random: createRandom(1), hash, endpoints: () => endpoints, maxConcurrentLoads: 2 })

  const deliver = (input: OrdersInput): void => {
    for (const effect of machine.handle(input, now)) {
      if (effect.kind === 'log.append' || effect.kind === 'log.read') deliver(log.perform(effect, now, fault))
      else if (effect.kind === 'peer.send') sent.push(effect)
      else {
        unanswered.push(effect)
        orders.push(`${now} ${effect.endpoint} ${effect.order.kind} ${effect.order.kind === 'role' ? effect.order.role : effect.order.model.weightVersion} fence ${effect.fence}`)
      }
    }
  }

  deliver({ kind: 'membership.changed', members })
  return {
    orders,
    sent,
    deliver,
    run: (duration, logFault = 'none') => {
      fault = logFault
      for (const end = now + duration; now < end; now += 50) deliver({ kind: 'tick' })
    },
    setWorkers: workers => {
      endpoints = workers
    },
    answer: result => {
      const answered = unanswered
      unanswered = []
      for (const { owner, token, endpoint } of answered) deliver({ kind: 'endpoint.ordered', owner, token, endpoint, result })
    },
    phase: () => machine.phase().kind
  }
}

describe('planOrders', () => {
  it('unloads no old version before half of the target workers hold the new one', () => {
    const workers = [worker(0, [loadedVersion('v1'), loadedVersion('v2')]), worker(1, [loadedVersion('v1')]), worker(2, [loadedVersion('v1')])]
    expect(planOrders([desiredVersion('v2')], workers).unloads).toEqual([])
    const later = [workers[0], worker(1, [loadedVersion('v1'), loadedVersion('v2')]), workers[2]]
    expect(planOrders([desiredVersion('v2')], later).unloads.map(({ endpoint }) => endpoint.id)).toEqual(['w0', 'w1'])
  })

  it('does not count suspect and leaving workers as holders of a version', () => {
    const both = [loadedVersion('v1'), loadedVersion('v2')]
    const workers = [worker(0, both, 'suspect'), worker(1, both, 'leaving'), worker(2, [loadedVersion('v1')]), worker(3, both)]
    expect(planOrders([desiredVersion('v2')], workers).unloads).toEqual([])
  })

  it('plans no orders for models that the desired state does not mention', () => {
    const workers = [worker(0, [loadedVersion('v1'), loadedVersion('v9', 'other')])]
    expect(planOrders([desiredVersion('v1')], workers)).toEqual({ loads: [], unloads: [] })
  })

  it('keeps two versions of a model on their respective target workers', () => {
    const workers = [worker(0, [loadedVersion('v1')]), worker(1, [loadedVersion('v1')])]
    const plan = planOrders([desiredVersion('v1', ['w0']), desiredVersion('v2', ['w1'])], workers)
    expect(plan.loads.map(({ endpoint, order }) => `${endpoint.id} ${order.model.weightVersion}`)).toEqual(['w1 v2'])
    expect(plan.unloads).toEqual([])
  })
})

describe('the orders feature', () => {
  let hash: Hash
  beforeAll(async () => {
    hash = await loadHash()
  })

  const self = instanceMember(0)

  it('rolls out a version on two workers at a time, then unloads the old one', () => {
    const harness = createHarness(hash, self, [self])
    const workers = Array.from({ length: 3 }, (_, index) => worker(index, [loadedVersion('v1')]))
    harness.setWorkers(workers)
    harness.deliver({ kind: 'orders.desired', models: [desiredVersion('v2')] })
    harness.run(1_000)
    harness.answer('done')
    const both = [loadedVersion('v1'), loadedVersion('v2')]
    harness.setWorkers([worker(0, both), worker(1, both), workers[2]])
    harness.run(8_000)
    expect(harness.orders).toEqual([
      '250 w0 load v2 fence 0',
      '250 w1 load v2 fence 0',
      '1000 w2 load v2 fence 0',
      '6000 w0 unload v1 fence 0'
    ])
  })

  it('retries a failed order with exponential backoff', () => {
    const harness = createHarness(hash, self, [self])
    harness.setWorkers([worker(0, [])])
    harness.deliver({ kind: 'orders.desired', models: [desiredVersion('v1')] })
    for (let round = 0; round < 40; round++) {
      harness.run(500)
      harness.answer('failed')
    }
    expect(harness.orders.length).toBeGreaterThan(2)
    expect(harness.orders.length).toBeLessThan(7)
  })

  it('sends no orders after 10 s without a read of the log, releases the lease, and claims it again after the outage', () => {
    const harness = createHarness(hash, self, [self, instanceMember(1)])
    harness.run(30_000)
    expect(harness.phase()).toBe('holding')
    harness.run(15_000, 'outage')
    harness.setWorkers([worker(0, [])])
    harness.deliver({ kind: 'orders.desired', models: [desiredVersion('v1')] })
    harness.run(20_000, 'outage')
    expect(harness.orders).toEqual([])
    expect(harness.sent.map(({ message }) => message.kind)).toEqual(['orders.resign'])
    harness.run(40_000)
    expect(harness.orders).toHaveLength(1)
  })

  it('releases the lease when its instance leaves, and another instance claims it once it learns of the release', () => {
    const log = createFakeLog()
    const members = [self, instanceMember(1)]
    const first = createHarness(hash, self, members, log)
    first.run(10_000)
    const second = createHarness(hash, instanceMember(1), members, log)
    second.run(30_000)
    expect([first.phase(), second.phase()].sort()).toEqual(['holding', 'standby'])
    const [holder, other, id] = first.phase() === 'holding' ? [first, second, self.id] : [second, first, instanceMember(1).id]
    const rest = members.filter(member => member.id !== id)
    holder.deliver({ kind: 'membership.changed', members: rest })
    expect(holder.phase()).toBe('standby')
    holder.sent.forEach(({ message }) => other.deliver({ kind: 'peer.message', from: id, message }))
    other.run(30_000)
    expect(other.phase()).toBe('holding')
  })

  it('stops sending after a worker rejects the fencing token, and goes to standby when the log shows a newer claim', () => {
    const log = createFakeLog()
    const harness = createHarness(hash, self, [self, instanceMember(1)], log)
    harness.run(30_000)
    expect(harness.phase()).toBe('holding')
    harness.setWorkers([worker(0, [])])
    harness.deliver({ kind: 'orders.desired', models: [desiredVersion('v1')] })
    harness.run(300)
    const claim = { kind: 'orders.claim', holder: 'n1', incarnation: 'n1-1' }
    log.perform({ kind: 'log.append', owner: 'orders', token: 0, stream: 'orders', payload: claim }, 0)
    harness.answer('staleFence')
    harness.run(20_000)
    expect(harness.orders).toHaveLength(1)
    expect(harness.phase()).toBe('standby')
  })

  it('sends a role order once for each incarnation of a worker', () => {
    const harness = createHarness(hash, self, [self])
    harness.setWorkers([worker(0, [])])
    harness.deliver({ kind: 'orders.desired', models: [], roles: [{ worker: 'w0', role: 'prefill' }] })
    for (let round = 0; round < 20; round++) {
      harness.run(1_000)
      harness.answer('done')
    }
    expect(harness.orders).toEqual(['250 w0 role prefill fence 0'])
  })
})
