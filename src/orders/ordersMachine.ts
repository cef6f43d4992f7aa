/**
 * Orders to workers: which models and versions they load and unload, and their
 * roles. One instance at a time gives orders for the fleet; it compares the
 * desired state with what the workers report and sends a few orders at a time.
 */
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import { assertNever } from '../errors.js'
import type { EndpointOrder } from '../ports/endpointPort.js'
import type { PeerMessage } from '../ports/peerPort.js'
import { createOrdersLease } from './ordersLease.js'
import { ordersMessageSchema } from './ordersTypes.js'
import type { DesiredModel, DesiredRole, OrdersEffect, OrdersInput, OrdersOptions, OrdersPhase } from './ordersTypes.js'
import { modelKey, planOrders } from './plan.js'
import type { Plan, PlannedOrder } from './plan.js'

/** The orders feature. */
export interface Orders {
  readonly handle: (input: OrdersInput, now: number) => readonly OrdersEffect[]
  readonly phase: () => OrdersPhase
  readonly dump: () => { readonly phase: OrdersPhase, readonly running: readonly string[], readonly desired: readonly DesiredModel[] }
}

interface Running {
  readonly endpoint: string
  readonly incarnation: string
  readonly order: EndpointOrder
  readonly sentAt: number
}

interface Pause {
  readonly until: number
  readonly failures: number
}

/** Milliseconds between plans. */
const planInterval = 250
/** An order without answer is taken as lost after this time, in ms. */
const orderTimeout = 30_000
/** A finished order is not repeated before reports can show it, in ms. */
const reportLag = 5_000
const firstRetry = 1_000
const longestRetry = 60_000
/** How long enough workers must have held a new version before the old one is unloaded, in ms. */
const unloadDelay = 5_000
const nothing: readonly OrdersEffect[] = []

const orderKey = (order: EndpointOrder): string => {
  switch (order.kind) {
    case 'load':
    case 'unload': return `${order.kind}\u0000${modelKey(order.model)}`
    case 'role': return `role\u0000${order.role}`
  }
}

/**
 * Creates the orders feature of one instance.
 *
 * @param options - this instance, the registry and the store's bound
 */
export const createOrders = (options: OrdersOptions): Orders => {
  const { random, endpoints, maxConcurrentLoads: loadsAtOnce } = options
  let effects: OrdersEffect[] = []
  const emit = (effect: OrdersEffect): void => {
    effects.push(effect)
  }
  const ownership = createOrdersLease(options, emit)
  const running = new Map<number, Running>()
  /** Orders that wait, by endpoint and order. */
  const pauses = new Map<string, Pause>()
  /** Since when each unload has been possible. */
  const possibleSince = new Map<string, number>()
  /** The role last ordered, by endpoint and incarnation. */
  const roles = new Map<string, string>()
  let desired: readonly DesiredModel[] = []
  let desiredRoles: readonly DesiredRole[] = []
  let nextPlan = Number.NEGATIVE_INFINITY
  let planned: { readonly list: readonly Endpoint[], readonly desired: readonly DesiredModel[], readonly plan: Plan } | undefined
  let token = 0

  const pauseKey = (endpoint: string, order: EndpointOrder): string => `${endpoint}\u0000${orderKey(order)}`

  const isPaused = (endpoint: string, order: EndpointOrder, now: number): boolean =>
    now < (pauses.get(pauseKey(endpoint, order))?.until ?? 0)

  const runningKinds = (): { readonly loads: number, readonly busy: ReadonlySet<string> } => {
    const orders = [...running.values()]
    return {
      loads: orders.filter(({ order }) => order.kind === 'load').length,
      busy: new Set(orders.map(({ endpoint }) => endpoint))
    }
  }

  const send = (endpoint: Endpoint, order: EndpointOrder, fence: number, now: number): void => {
    token++
    running.set(token, { endpoint: endpoint.id, incarnation: endpoint.incarnation, order, sentAt: now })
    emit({ kind: 'endpoint.order', owner: 'orders', token, endpoint: endpoint.id, address: endpoint.address, order, fence })
  }

  const sendLoads = (loads: readonly PlannedOrder[], fence: number, now: number): void => {
    const { loads: present, busy } = runningKinds()
    const taken = new Set(busy)
    let room = loadsAtOnce - present
    for (const { endpoint, order } of loads) {
      if (room <= 0) return
      if (taken.has(endpoint.id) || isPaused(endpoint.id, order, now)) continue
      taken.add(endpoint.id)
      room--
      send(endpoint, order, fence, now)
    }
  }

  const isRipe = (key: string, now: number): boolean => {
    const since = possibleSince.get(key) ?? now
    possibleSince.set(key, since)
    return now - since >= unloadDelay
  }

  const sendUnloads = (unloads: readonly PlannedOrder[], fence: number, now: number): void => {
    const keys = new Set(unloads.map(({ endpoint, order }) => pauseKey(endpoint.id, order)))
    for (const key of possibleSince.keys()) {
      if (!keys.has(key)) possibleSince.delete(key)
    }
    const { busy } = runningKinds()
    const unloading = new Set([...running.values()].map(({ order }) => order.kind === 'unload' ? order.model.model : ''))
    for (const { endpoint, order } of unloads) {
      const ripe = isRipe(pauseKey(endpoint.id, order), now)
      if (!ripe || busy.has(endpoint.id) || unloading.has(order.model.model) || isPaused(endpoint.id, order, now)) continue
      unloading.add(order.model.model)
      send(endpoint, order, fence, now)
    }
  }

  const sendRoles = (list: readonly Endpoint[], fence: number, now: number): void => {
    const { busy } = runningKinds()
    for (const { worker, role } of desiredRoles) {
      const endpoint = list.find(({ id }) => id === worker)
      if (endpoint?.state !== 'live' || busy.has(worker)) continue
      const order = { kind: 'role', role } as const
      const done = roles.get(worker) === `${endpoint.incarnation} ${role} ${fence}`
      if (!done && !isPaused(worker, order, now)) send(endpoint, order, fence, now)
    }
  }

  const expire = (now: number): void => {
    for (const [id, { sentAt }] of running) {
      if (now - sentAt > orderTimeout) running.delete(id)
    }
    for (const [key, { until }] of pauses) {
      if (now - until > longestRetry) pauses.delete(key)
    }
  }

  /** The plan depends on nothing but the registry and the desired state. */
  const planFor = (list: readonly Endpoint[]): Plan => {
    if (planned?.list !== list || planned.desired !== desired) planned = { list, desired, plan: planOrders(desired, list) }
    return planned.plan
  }

  const plan = (now: number): void => {
    const list = endpoints()
    expire(now)
    const fence = ownership.fence(now)
    if (fence === undefined) return possibleSince.clear()
    const { loads, unloads } = planFor(list)
    sendLoads(loads, fence, now)
    sendUnloads(unloads, fence, now)
    sendRoles(list, fence, now)
  }

  const retryDelay = (failures: number): number =>
    Math.min(longestRetry, firstRetry * 2 ** failures) * (0.5 + random.unit())

  const answered = (input: Extract<OrdersInput, { kind: 'endpoint.ordered' }>, now: number): void => {
    const order = running.get(input.token)
    if (order === undefined) return
    running.delete(input.token)
    const key = pauseKey(order.endpoint, order.order)
    const failures = input.result === 'done' ? 0 : (pauses.get(key)?.failures ?? 0) + 1
    pauses.set(key, { until: now + (input.result === 'done' ? reportLag : retryDelay(failures)), failures })
    if (input.result === 'staleFence') return ownership.invalidate()
    const phase = ownership.phase()
    if (input.result !== 'done' || order.order.kind !== 'role' || phase.kind !== 'holding') return
    roles.set(order.endpoint, `${order.incarnation} ${order.order.role} ${phase.fence}`)
  }

  const tick = (now: number): void => {
    ownership.tick(now)
    if (now < nextPlan) return
    nextPlan = now + planInterval
    if (ownership.phase().kind === 'holding' || running.size > 0) plan(now)
  }

  const receive = (message: PeerMessage): void => {
    if (!message.kind.startsWith('orders.')) return
    const parsed = ordersMessageSchema.safeParse(message)
    if (parsed.success) ownership.recordResignation(parsed.data.fence)
  }

  const apply = (input: OrdersInput, now: number): void => {
    switch (input.kind) {
      case 'tick': return tick(now)
      case 'orders.desired':
        desired = input.models
        desiredRoles = input.roles ?? []
        return
      case 'membership.changed': return ownership.setMembers(input.members)
      case 'endpoint.ordered': return input.owner === 'orders' ? answered(input, now) : undefined
      case 'log.appended':
      case 'log.records':
      case 'log.failed': return ownership.answer(input, now)
      case 'peer.message': return receive(input.message)
      case 'peer.lost': return undefined
      default: assertNever(input)
    }
  }

  const handle = (input: OrdersInput, now: number): readonly OrdersEffect[] => {
    apply(input, now)
    if (effects.length === 0) return nothing
    const emitted = effects
    effects = []
    return emitted
  }

  return {
    handle,
    phase: ownership.phase,
    dump: () => ({
      phase: ownership.phase(),
      running: [...running.values()].map(({ endpoint, order }) => `${endpoint} ${orderKey(order).replaceAll('\u0000', ' ')}`),
      desired
    })
  }
}
