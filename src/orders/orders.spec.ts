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

const version = (weightVersion: string, model = 'm1'): LoadedModel => ({ model, weightVersion })
const wanted = (weightVersion: string, workers: DesiredModel['workers'] = 'all'): DesiredModel => ({ model: 'm1', weightVersion, workers })

const worker = (index: number, models: readonly LoadedModel[], state: Endpoint['state'] = 'live'): Endpoint => {
  const { id, kind, address, dataCentre, fenced, slots } = workerDescriptor(index)
  return { id, kind, address, dataCentre, fenced, slots, models, state, incarnation: `${id}-1`, since: 0 }
}

interface Driver {
  readonly orders: string[]
  readonly run: (duration: number, fault?: LogFault) => void
  readonly give: (input: OrdersInput) => void
  readonly setWorkers: (workers: readonly Endpoint[]) => void
  readonly answer: (result: 'done' | 'failed' | 'staleFence') => void
  readonly phase: () => string
  readonly sent: Array<Extract<OrdersEffect, { kind: 'peer.send' }>>
}

const drive = (hash: Hash, self: Member, members: readonly Member[], log = createFakeLog()): Driver => {
  let list: readonly Endpoint[] = []
  let now = 0
  let fault: LogFault = 'none'
  let open: Array<Extract<OrdersEffect, { kind: 'endpoint.order' }>> = []
  const orders: string[] = []
  const sent: Driver['sent'] = []
  const machine = createOrders({ self, random: createRandom(1), hash, endpoints: () => list, maxConcurrentLoads: 2 })

  const give = (input: OrdersInput): void => {
    for (const effect of machine.handle(input, now)) {
      if (effect.kind === 'log.append' || effect.kind === 'log.read') give(log.perform(effect, now, fault))
      else if (effect.kind === 'peer.send') sent.push(effect)
      else {
        open.push(effect)
        orders.push(`${now} ${effect.endpoint} ${effect.order.kind} ${effect.order.kind === 'role' ? effect.order.role : effect.order.model.weightVersion} fence ${effect.fence}`)
      }
    }
  }

  give({ kind: 'membership.changed', members })
  return {
    orders,
    sent,
    give,
    run: (duration, during = 'none') => {
      fault = during
      for (const end = now + duration; now < end; now += 50) give({ kind: 'tick' })
    },
    setWorkers: workers => {
      list = workers
    },
    answer: result => {
      const answered = open
      open = []
      for (const { owner, token, endpoint } of answered) give({ kind: 'endpoint.ordered', owner, token, endpoint, result })
    },
    phase: () => machine.phase().kind
  }
}

describe('plan of orders', () => {
  it('unloads nothing before half of the targets hold the new version', () => {
    const workers = [worker(0, [version('v1'), version('v2')]), worker(1, [version('v1')]), worker(2, [version('v1')])]
    expect(planOrders([wanted('v2')], workers).unloads).toEqual([])
    const later = [workers[0], worker(1, [version('v1'), version('v2')]), workers[2]]
    expect(planOrders([wanted('v2')], later).unloads.map(({ endpoint }) => endpoint.id)).toEqual(['w0', 'w1'])
  })

  it('does not count suspects and leaving workers as holders', () => {
    const both = [version('v1'), version('v2')]
    const workers = [worker(0, both, 'suspect'), worker(1, both, 'leaving'), worker(2, [version('v1')]), worker(3, both)]
    expect(planOrders([wanted('v2')], workers).unloads).toEqual([])
  })

  it('leaves models alone that the desired state does not name', () => {
    const workers = [worker(0, [version('v1'), version('v9', 'other')])]
    expect(planOrders([wanted('v1')], workers)).toEqual({ loads: [], unloads: [] })
  })

  it('keeps two versions of a model on the workers that each names', () => {
    const workers = [worker(0, [version('v1')]), worker(1, [version('v1')])]
    const plan = planOrders([wanted('v1', ['w0']), wanted('v2', ['w1'])], workers)
    expect(plan.loads.map(({ endpoint, order }) => `${endpoint.id} ${order.model.weightVersion}`)).toEqual(['w1 v2'])
    expect(plan.unloads).toEqual([])
  })
})

describe('orders', () => {
  let hash: Hash
  beforeAll(async () => {
    hash = await loadHash()
  })

  const self = instanceMember(0)

  it('rolls a version out two workers at a time and then unloads the old one', () => {
    const driver = drive(hash, self, [self])
    const workers = Array.from({ length: 3 }, (_, index) => worker(index, [version('v1')]))
    driver.setWorkers(workers)
    driver.give({ kind: 'orders.desired', models: [wanted('v2')] })
    driver.run(1_000)
    driver.answer('done')
    const both = [version('v1'), version('v2')]
    driver.setWorkers([worker(0, both), worker(1, both), workers[2]])
    driver.run(8_000)
    expect(driver.orders).toEqual([
      '250 w0 load v2 fence 0',
      '250 w1 load v2 fence 0',
      '1000 w2 load v2 fence 0',
      '6000 w0 unload v1 fence 0'
    ])
  })

  it('retries a failed order after a growing delay', () => {
    const driver = drive(hash, self, [self])
    driver.setWorkers([worker(0, [])])
    driver.give({ kind: 'orders.desired', models: [wanted('v1')] })
    for (let round = 0; round < 40; round++) {
      driver.run(500)
      driver.answer('failed')
    }
    expect(driver.orders.length).toBeGreaterThan(2)
    expect(driver.orders.length).toBeLessThan(7)
  })

  it('gives no orders once the log has not been read for 10 s, resigns, and claims again', () => {
    const driver = drive(hash, self, [self, instanceMember(1)])
    driver.run(30_000)
    expect(driver.phase()).toBe('holding')
    driver.run(15_000, 'outage')
    driver.setWorkers([worker(0, [])])
    driver.give({ kind: 'orders.desired', models: [wanted('v1')] })
    driver.run(20_000, 'outage')
    expect(driver.orders).toEqual([])
    expect(driver.sent.map(({ message }) => message.kind)).toEqual(['orders.resign'])
    driver.run(40_000)
    expect(driver.orders).toHaveLength(1)
  })

  it('resigns when its instance leaves, and another claims once the resignation is known', () => {
    const log = createFakeLog()
    const members = [self, instanceMember(1)]
    const first = drive(hash, self, members, log)
    first.run(10_000)
    const second = drive(hash, instanceMember(1), members, log)
    second.run(30_000)
    expect([first.phase(), second.phase()].sort()).toEqual(['holding', 'standby'])
    const [holder, other, id] = first.phase() === 'holding' ? [first, second, self.id] : [second, first, instanceMember(1).id]
    const rest = members.filter(member => member.id !== id)
    holder.give({ kind: 'membership.changed', members: rest })
    expect(holder.phase()).toBe('standby')
    holder.sent.forEach(({ message }) => other.give({ kind: 'peer.message', from: id, message }))
    other.run(30_000)
    expect(other.phase()).toBe('holding')
  })

  it('stops at a stale number until the log has been read', () => {
    const log = createFakeLog()
    const driver = drive(hash, self, [self, instanceMember(1)], log)
    driver.run(30_000)
    expect(driver.phase()).toBe('holding')
    driver.setWorkers([worker(0, [])])
    driver.give({ kind: 'orders.desired', models: [wanted('v1')] })
    driver.run(300)
    const claim = { kind: 'orders.claim', holder: 'n1', incarnation: 'n1-1' }
    log.perform({ kind: 'log.append', owner: 'orders', token: 0, stream: 'orders', payload: claim }, 0)
    driver.answer('staleFence')
    driver.run(20_000)
    expect(driver.orders).toHaveLength(1)
    expect(driver.phase()).toBe('standby')
  })

  it('orders a role once for each incarnation of a worker', () => {
    const driver = drive(hash, self, [self])
    driver.setWorkers([worker(0, [])])
    driver.give({ kind: 'orders.desired', models: [], roles: [{ worker: 'w0', role: 'prefill' }] })
    for (let round = 0; round < 20; round++) {
      driver.run(1_000)
      driver.answer('done')
    }
    expect(driver.orders).toEqual(['250 w0 role prefill fence 0'])
  })
})
