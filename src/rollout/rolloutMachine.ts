/**
 * Brings workers to the newest weights while they serve requests. Only a few
 * workers load at once, since loads slow one another down, and those with the
 * fewest requests go first. The other instances are notified before a worker becomes
 * unavailable, so that they send their requests elsewhere. An order that gets no
 * response may be carried out late; the order count that it names, which the
 * worker compares with its own, keeps it from undoing a newer order.
 */
import { assertNever } from '../errors.js'
import { ageOf, type Moment } from '../lease/readLease.js'
import type { OrderEffect, OrderInput, OrderOutcome, WorkerStatus } from '../ports/orderPort.js'
import type { Worker } from '../workers/workersTypes.js'
import type { WeightsTracker } from '../workers/weightsTracker.js'
import type { WorkersDb } from '../workers/workersDb.js'
import { createLoadTime } from './loadTime.js'
import type { RolloutLease } from './rolloutLeaseTypes.js'

/** A step of the rollout that is reported to the other instances and the log; `time` is the expected load time in ms. */
export type RolloutEvent =
  | { readonly kind: 'loading', readonly worker: string, readonly model: string, readonly version: number, readonly time: number }
  | { readonly kind: 'loaded', readonly worker: string, readonly model: string, readonly version: number }
  | { readonly kind: 'orderAnswered', readonly worker: string, readonly model: string, readonly version: number, readonly outcome: OrderOutcome, readonly fence: number, readonly expectedOrders: number }

/** Settings and dependencies of a rollout. */
export interface RolloutOptions {
  /** Id of this instance. */
  readonly self: string
  /** Fraction of a service's workers that may load at once. */
  readonly loadShare: number
  readonly workers: WorkersDb
  readonly weights: WeightsTracker
  readonly lease: RolloutLease
  /** Returns the number of requests at a worker; workers with the fewest requests are updated first. */
  readonly requestsAt: (worker: string, now: number) => number
  readonly emit: (effect: OrderEffect) => void
  readonly notify: (event: RolloutEvent) => void
}

/** The rollout of one instance. */
export interface Rollout {
  /** Checks running loads and, while this instance holds the lease, orders further ones. */
  readonly tick: (now: Moment) => void
  /** Handles a worker's response to an order or a status request. */
  readonly answer: (input: OrderInput, now: Moment) => void
  /** Gives the lease up once no order is on its way, so that none arrives after one of the next holder; the next tick withdraws it. */
  readonly release: (now: Moment) => void
  readonly dump: () => unknown
}

/** Part of the expected load time after which the worker's status is first requested. */
const firstStatusShare = 0.93
/** Time between further status requests, in ms. */
const statusInterval = 120
/** Time after which a load that has not finished is ordered again, in ms. */
const loadTimeout = 4_000
/** Wait after a failed order or a status request before the worker's next order, in ms. */
const retryDelay = 300
/** The same for a worker that did not respond, in ms. */
const silenceDelay = 800
/** Number of workers of a service that may always load at once, if it has as many. */
const minConcurrentLoads = 2

interface Load {
  readonly worker: Worker
  readonly model: string
  readonly version: number
  readonly fence: number
  readonly expectedOrders: number
  readonly startedAt: Moment
  /** Steady time in ms of the last status that showed the load in progress. */
  lastBusyAt: number | undefined
  accepted: boolean
  /** Whether the worker rejected the order for an earlier one or a wrong count. */
  conflicting: boolean
  /** Steady time in ms of the next status request. */
  nextStatusAt: number
}

/**
 * Creates the rollout of one instance.
 *
 * @param options - settings and dependencies
 */
export const createRollout = (options: RolloutOptions): Rollout => {
  const { workers, weights, lease, emit, notify } = options
  const loads = new Map<string, Load>()
  const statusRequests = new Map<number, Worker>()
  const orders = new Map<number, string>()
  const orderCounts = new Map<string, { readonly startedAt: number, readonly orders: number }>()
  const pausedUntil = new Map<string, number>()
  const loadTime = createLoadTime()
  let token = 0
  let isReleasing = false

  /** Returns the number of orders that the worker has accepted since its start; undefined until it has reported it. */
  const orderCountOf = ({ id, startedAt }: Worker): number | undefined => {
    const counted = orderCounts.get(id)
    return counted?.startedAt === startedAt ? counted.orders : undefined
  }

  /** Records a count of accepted orders. A response may be older than what is known already, and the count only rises, so the highest is kept. */
  const noteOrderCount = (worker: Worker, count: number): void => {
    orderCounts.set(worker.id, { startedAt: worker.startedAt, orders: Math.max(count, orderCountOf(worker) ?? 0) })
  }

  interface OutstandingLoad {
    readonly worker: Worker
    readonly model: string
    readonly version: number
  }

  const outstandingLoads = (): readonly OutstandingLoad[] => weights.models().flatMap(model => {
    const newest = weights.newest(model)
    if (newest === undefined) return []
    return [...workers.all()]
      .filter(worker => worker.state === 'live' && (weights.held(worker, model) ?? Infinity) < newest.version)
      .map(worker => ({ worker, model, version: newest.version }))
  })

  const requestStatus = (worker: Worker): void => {
    token++
    statusRequests.set(token, worker)
    emit({ kind: 'worker.ask', token, worker: worker.id, address: worker.address })
  }

  /** Requests the order count, which has to be known before the first order. */
  const requestOrderCount = (worker: Worker, now: Moment): void => {
    pausedUntil.set(worker.id, now.steady + retryDelay)
    requestStatus(worker)
  }

  const sendOrder = ({ worker, model, version }: OutstandingLoad, expectedOrders: number, fence: number, now: Moment): void => {
    token++
    orders.set(token, worker.id)
    loads.set(worker.id, { worker, model, version, fence, expectedOrders, startedAt: now, lastBusyAt: undefined, accepted: false, conflicting: false, nextStatusAt: Infinity })
    lease.noteOrder(now)
    weights.noteLoading(worker.id, now.steady + loadTime.expected())
    notify({ kind: 'loading', worker: worker.id, model, version, time: loadTime.expected() })
    emit({ kind: 'order.send', token, order: { worker: worker.id, address: worker.address, model, version, runs: 'goOn', holder: options.self, fence, expectedOrders } })
  }

  const maxConcurrentLoads = (service: string): number =>
    Math.max(minConcurrentLoads, Math.floor(workers.live(service).length * options.loadShare))

  const startLoads = (outstanding: readonly OutstandingLoad[], fence: number, now: Moment): void => {
    const ready = outstanding
      .filter(({ worker }) => !loads.has(worker.id) && now.steady >= (pausedUntil.get(worker.id) ?? -Infinity))
      .sort((left, right) => options.requestsAt(left.worker.id, now.steady) - options.requestsAt(right.worker.id, now.steady))
    for (const item of ready) {
      const { service } = item.worker
      const running = [...loads.values()].filter(load => load.worker.service === service).length
      const orderCount = orderCountOf(item.worker)
      if (orderCount === undefined) requestOrderCount(item.worker, now)
      else if (running < maxConcurrentLoads(service)) sendOrder(item, orderCount, fence, now)
    }
  }

  const requestLoadStatus = (load: Load, now: Moment): void => {
    load.nextStatusAt = now.steady + statusInterval
    requestStatus(load.worker)
  }

  const finish = (load: Load): void => {
    loads.delete(load.worker.id)
    weights.noteHeld(load.worker, load.model, load.version)
    weights.noteLoaded(load.worker.id)
    notify({ kind: 'loaded', worker: load.worker.id, model: load.model, version: load.version })
  }

  const abandon = (load: Load, delay: number, now: Moment): void => {
    loads.delete(load.worker.id)
    weights.noteLoaded(load.worker.id)
    pausedUntil.set(load.worker.id, now.steady + delay)
  }

  const checkLoad = (load: Load, now: Moment): void => {
    const { worker, model, version } = load
    const present = workers.get(worker.id)
    if (present === undefined || present.startedAt !== worker.startedAt) return abandon(load, 0, now)
    if ((weights.held(present, model) ?? 0) >= version) return finish(load)
    if (ageOf(load.startedAt, now) > loadTimeout) return abandon(load, retryDelay, now)
    if (now.steady >= load.nextStatusAt) requestLoadStatus(load, now)
  }

  const releaseIfIdle = (now: Moment): void => {
    if (!isReleasing || orders.size > 0) return
    isReleasing = false
    lease.release(now)
  }

  const release = (now: Moment): void => {
    isReleasing = true
    releaseIfIdle(now)
  }

  const tick = (now: Moment): void => {
    isReleasing = false
    for (const load of [...loads.values()]) checkLoad(load, now)
    const outstanding = outstandingLoads()
    if (outstanding.length === 0) return lease.markIdle(now)
    lease.acquireOrRenew(now)
    const fence = lease.fence(now)
    if (fence !== undefined) startLoads(outstanding, fence, now)
  }

  const handleOutcome = (load: Load, outcome: OrderOutcome, now: Moment): void => {
    const { worker, model, version, fence, expectedOrders } = load
    notify({ kind: 'orderAnswered', worker: worker.id, model, version, outcome, fence, expectedOrders })
    switch (outcome) {
      case 'accepted':
        load.accepted = true
        noteOrderCount(worker, expectedOrders + 1)
        load.nextStatusAt = load.startedAt.steady + firstStatusShare * loadTime.expected()
        return
      case 'holds': return finish(load)
      case 'conflict':
        load.conflicting = true
        return requestLoadStatus(load, now)
      case 'silent': return requestLoadStatus(load, now)
      case 'fenced':
        lease.fenced()
        return abandon(load, retryDelay, now)
      case 'otherWorker':
      case 'invalid': return abandon(load, retryDelay, now)
      default: assertNever(outcome)
    }
  }

  const handleStatus = (worker: Worker, status: WorkerStatus, now: Moment): void => {
    for (const held of status.models) weights.noteHeld(worker, held.name, held.version)
    noteOrderCount(worker, status.orders)
    pausedUntil.delete(worker.id)
    const load = loads.get(worker.id)
    if (load !== undefined) handleLoadStatus(load, status, now)
  }

  const handleLoadStatus = (load: Load, status: WorkerStatus, now: Moment): void => {
    const { worker, model, version } = load
    if ((weights.held(worker, model) ?? 0) >= version) {
      if (load.accepted) loadTime.noteLoad((load.lastBusyAt ?? load.startedAt.steady) - load.startedAt.steady, now.steady - load.startedAt.steady)
      return finish(load)
    }
    if (status.busy) {
      load.lastBusyAt = now.steady
      load.accepted ||= !load.conflicting
      weights.noteLoading(worker.id, now.steady + statusInterval)
      return
    }
    // A load that was in progress has ended without this version, so it was that of an earlier order.
    if (load.lastBusyAt !== undefined) return abandon(load, 0, now)
    if (!load.accepted) abandon(load, retryDelay, now)
  }

  /** Handles the response to a status request. A worker that answers neither an order nor a status request is paused, so that it does not delay others. */
  const handleStatusResponse = (worker: Worker, status: WorkerStatus | undefined, now: Moment): void => {
    if (status !== undefined) return handleStatus(worker, status, now)
    const load = loads.get(worker.id)
    if (load !== undefined && !load.accepted) abandon(load, silenceDelay, now)
  }

  const answer = (input: OrderInput, now: Moment): void => {
    switch (input.kind) {
      case 'order.answered': {
        lease.noteOrder(now)
        const load = loads.get(orders.get(input.token) ?? '')
        orders.delete(input.token)
        if (load !== undefined) handleOutcome(load, input.outcome, now)
        return releaseIfIdle(now)
      }
      case 'worker.told': {
        const worker = statusRequests.get(input.token)
        statusRequests.delete(input.token)
        if (worker !== undefined) handleStatusResponse(worker, input.status, now)
        return
      }
      default: assertNever(input)
    }
  }

  return { tick, answer, release, dump: () => ({ loads: [...loads.keys()], holds: lease.holds() }) }
}
