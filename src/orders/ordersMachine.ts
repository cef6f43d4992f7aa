/**
 * Orders to workers: commands to load or unload a model version, or to take a
 * role. One instance at a time, the holder of the orders lease, sends orders for
 * the whole fleet. It reconciles the state that workers report with the desired
 * state and limits the number of concurrent orders.
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

/** The orders feature of one instance. Times are in ms. */
export interface Orders {
  /** Handles an input and returns the effects to carry out. */
  readonly handle: (input: OrdersInput, now: number) => readonly OrdersEffect[]
  /** Returns whether this instance holds the orders lease. */
  readonly phase: () => OrdersPhase
  /** Returns the state as plain JSON; `running` lists the orders in flight. */
  readonly dump: () => { readonly phase: OrdersPhase, readonly running: readonly string[], readonly desired: readonly DesiredModel[] }
}

/** An order that was sent and not answered yet. */
interface InFlightOrder {
  readonly endpoint: string
  readonly incarnation: string
  readonly order: EndpointOrder
  readonly sentAt: number
}

/** Delay before an order may be sent to an endpoint again. */
interface Backoff {
  readonly until: number
  readonly failures: number
}

/** Interval between plans, in ms. */
const planInterval = 250
/** Time after which an unanswered order is considered lost, in ms. */
const orderTimeout = 30_000
/** Time after a successful order during which it is not repeated, in ms: reports may not show its result earlier. */
const reportLag = 5_000
/** The delay after n failures is this times 2 to the power of n, in ms, with a jitter of ±50 %. */
const baseRetryDelay = 1_000
/** Upper bound of the retry delay before jitter, in ms. */
const maxRetryDelay = 60_000
/** Time for which enough workers must have held a new version before the old one is unloaded, in ms. */
const unloadDelay = 5_000
const noEffects: readonly OrdersEffect[] = []

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
 * @param options - this instance, the endpoint registry and the limit of concurrent loads
 * @returns the orders feature, initially in standby
 */
export const createOrders = (options: OrdersOptions): Orders => {
  const { random, endpoints, maxConcurrentLoads } = options
  let effects: OrdersEffect[] = []
  const emit = (effect: OrdersEffect): void => {
    effects.push(effect)
  }
  const lease = createOrdersLease(options, emit)
  const inFlight = new Map<number, InFlightOrder>()
  /** Delays after the last answer, by endpoint and order. */
  const backoffs = new Map<string, Backoff>()
  /** Time since which each unload has been possible without interruption, by endpoint and order. */
  const unloadableSince = new Map<string, number>()
  /** The incarnation, role and fencing token of the last acknowledged role order, by endpoint. */
  const acknowledgedRoles = new Map<string, string>()
  let desiredModels: readonly DesiredModel[] = []
  let desiredRoles: readonly DesiredRole[] = []
  let nextPlanAt = Number.NEGATIVE_INFINITY
  let cachedPlan: { readonly list: readonly Endpoint[], readonly desired: readonly DesiredModel[], readonly plan: Plan } | undefined
  let lastToken = 0

  const backoffKey = (endpoint: string, order: EndpointOrder): string => `${endpoint}\u0000${orderKey(order)}`

  const isBackingOff = (endpoint: string, order: EndpointOrder, now: number): boolean =>
    now < (backoffs.get(backoffKey(endpoint, order))?.until ?? 0)

  const summarizeInFlight = (): { readonly loads: number, readonly busy: ReadonlySet<string> } => {
    const orders = [...inFlight.values()]
    return {
      loads: orders.filter(({ order }) => order.kind === 'load').length,
      busy: new Set(orders.map(({ endpoint }) => endpoint))
    }
  }

  const send = (endpoint: Endpoint, order: EndpointOrder, fence: number, now: number): void => {
    lastToken++
    inFlight.set(lastToken, { endpoint: endpoint.id, incarnation: endpoint.incarnation, order, sentAt: now })
    emit({ kind: 'endpoint.order', owner: 'orders', token: lastToken, endpoint: endpoint.id, address: endpoint.address, order, fence })
  }

  const sendLoads = (loads: readonly PlannedOrder[], fence: number, now: number): void => {
    const { loads: loadsInFlight, busy } = summarizeInFlight()
    const unavailable = new Set(busy)
    let freeSlots = maxConcurrentLoads - loadsInFlight
    for (const { endpoint, order } of loads) {
      if (freeSlots <= 0) return
      if (unavailable.has(endpoint.id) || isBackingOff(endpoint.id, order, now)) continue
      unavailable.add(endpoint.id)
      freeSlots--
      send(endpoint, order, fence, now)
    }
  }

  const isUnloadDelayOver = (key: string, now: number): boolean => {
    const since = unloadableSince.get(key) ?? now
    unloadableSince.set(key, since)
    return now - since >= unloadDelay
  }

  const sendUnloads = (unloads: readonly PlannedOrder[], fence: number, now: number): void => {
    const keys = new Set(unloads.map(({ endpoint, order }) => backoffKey(endpoint.id, order)))
    for (const key of unloadableSince.keys()) {
      if (!keys.has(key)) unloadableSince.delete(key)
    }
    const { busy } = summarizeInFlight()
    const unloading = new Set([...inFlight.values()].map(({ order }) => order.kind === 'unload' ? order.model.model : ''))
    for (const { endpoint, order } of unloads) {
      const isDue = isUnloadDelayOver(backoffKey(endpoint.id, order), now)
      if (!isDue || busy.has(endpoint.id) || unloading.has(order.model.model) || isBackingOff(endpoint.id, order, now)) continue
      unloading.add(order.model.model)
      send(endpoint, order, fence, now)
    }
  }

  const sendRoles = (list: readonly Endpoint[], fence: number, now: number): void => {
    const { busy } = summarizeInFlight()
    for (const { worker, role } of desiredRoles) {
      const endpoint = list.find(({ id }) => id === worker)
      if (endpoint?.state !== 'live' || busy.has(worker)) continue
      const order = { kind: 'role', role } as const
      const isAcknowledged = acknowledgedRoles.get(worker) === `${endpoint.incarnation} ${role} ${fence}`
      if (!isAcknowledged && !isBackingOff(worker, order, now)) send(endpoint, order, fence, now)
    }
  }

  const expire = (now: number): void => {
    for (const [id, { sentAt }] of inFlight) {
      if (now - sentAt > orderTimeout) inFlight.delete(id)
    }
    for (const [key, { until }] of backoffs) {
      if (now - until > maxRetryDelay) backoffs.delete(key)
    }
  }

  /** Returns the cached plan while its only inputs, the registry and the desired state, are unchanged. */
  const planFor = (list: readonly Endpoint[]): Plan => {
    if (cachedPlan?.list !== list || cachedPlan.desired !== desiredModels) cachedPlan = { list, desired: desiredModels, plan: planOrders(desiredModels, list) }
    return cachedPlan.plan
  }

  const planAndSend = (now: number): void => {
    const list = endpoints()
    expire(now)
    const fence = lease.fence(now)
    if (fence === undefined) return unloadableSince.clear()
    const { loads, unloads } = planFor(list)
    sendLoads(loads, fence, now)
    sendUnloads(unloads, fence, now)
    sendRoles(list, fence, now)
  }

  const retryDelay = (failures: number): number =>
    Math.min(maxRetryDelay, baseRetryDelay * 2 ** failures) * (0.5 + random.unit())

  const handleAnswer = (input: Extract<OrdersInput, { kind: 'endpoint.ordered' }>, now: number): void => {
    const order = inFlight.get(input.token)
    if (order === undefined) return
    inFlight.delete(input.token)
    const key = backoffKey(order.endpoint, order.order)
    const failures = input.result === 'done' ? 0 : (backoffs.get(key)?.failures ?? 0) + 1
    backoffs.set(key, { until: now + (input.result === 'done' ? reportLag : retryDelay(failures)), failures })
    if (input.result === 'staleFence') return lease.invalidate()
    const phase = lease.phase()
    if (input.result !== 'done' || order.order.kind !== 'role' || phase.kind !== 'holding') return
    acknowledgedRoles.set(order.endpoint, `${order.incarnation} ${order.order.role} ${phase.fence}`)
  }

  const tick = (now: number): void => {
    lease.tick(now)
    if (now < nextPlanAt) return
    nextPlanAt = now + planInterval
    if (lease.phase().kind === 'holding' || inFlight.size > 0) planAndSend(now)
  }

  const handlePeerMessage = (message: PeerMessage): void => {
    if (!message.kind.startsWith('orders.')) return
    const parsed = ordersMessageSchema.safeParse(message)
    if (parsed.success) lease.recordRelease(parsed.data.fence)
  }

  const apply = (input: OrdersInput, now: number): void => {
    switch (input.kind) {
      case 'tick': return tick(now)
      case 'orders.desired':
        desiredModels = input.models
        desiredRoles = input.roles ?? []
        return
      case 'membership.changed': return lease.setMembers(input.members)
      case 'endpoint.ordered': return input.owner === 'orders' ? handleAnswer(input, now) : undefined
      case 'log.appended':
      case 'log.records':
      case 'log.failed': return lease.answer(input, now)
      case 'peer.message': return handlePeerMessage(input.message)
      case 'peer.lost': return undefined
      default: assertNever(input)
    }
  }

  const handle = (input: OrdersInput, now: number): readonly OrdersEffect[] => {
    apply(input, now)
    if (effects.length === 0) return noEffects
    const emitted = effects
    effects = []
    return emitted
  }

  return {
    handle,
    phase: lease.phase,
    dump: () => ({
      phase: lease.phase(),
      running: [...inFlight.values()].map(({ endpoint, order }) => `${endpoint} ${orderKey(order).replaceAll('\u0000', ' ')}`),
      desired: desiredModels
    })
  }
}
