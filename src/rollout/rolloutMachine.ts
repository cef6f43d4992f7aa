/**
 * Brings workers to the newest weights. It answers the load in which new weights
 * are named while the workers are busy: few load at once, since loads slow one
 * another, those with the least work go first, and the instances are told before
 * a worker is away so that they send their requests elsewhere. An order without
 * an answer may be carried out late; the count of orders that it names keeps it
 * from undoing a newer one.
 */
import { assertNever } from '../errors.js'
import { ageOf, type Moment } from '../lease/readLease.js'
import type { OrderEffect, OrderInput, OrderOutcome, WorkerStatus } from '../ports/orderPort.js'
import type { Worker } from '../workers/workersTypes.js'
import type { WeightsTracker } from '../workers/weightsTracker.js'
import type { WorkersDb } from '../workers/workersDb.js'
import type { RolloutLease } from './rolloutLease.js'

/** What the rollout tells: to the other instances and to the log. */
export type RolloutEvent =
  | { readonly kind: 'loading', readonly worker: string, readonly model: string, readonly version: number, readonly time: number }
  | { readonly kind: 'loaded', readonly worker: string, readonly model: string, readonly version: number }
  | { readonly kind: 'orderAnswered', readonly worker: string, readonly model: string, readonly version: number, readonly outcome: OrderOutcome, readonly fence: number, readonly expectedOrders: number }

/** What the rollout works on. */
export interface RolloutOptions {
  readonly self: string
  /** Part of a service's workers that may load at once. */
  readonly loadShare: number
  readonly workers: WorkersDb
  readonly weights: WeightsTracker
  readonly lease: RolloutLease
  /** Work at a worker, in requests; those with the least load first. */
  readonly requestsAt: (worker: string, now: number) => number
  readonly emit: (effect: OrderEffect) => void
  readonly notify: (notice: RolloutEvent) => void
}

/** The rollout of one instance. */
export interface Rollout {
  readonly tick: (now: Moment) => void
  readonly answer: (input: OrderInput, now: Moment) => void
  readonly dump: () => unknown
}

/** Usual time of a load, in ms. */
const loadTime = 600
/** Time until a worker that accepted an order is asked for the first time, in ms. */
const firstQuestion = 560
const questionInterval = 120
/** A load that takes longer is ordered anew, in ms. */
const loadTimeout = 4_000
const retryPause = 300
const silencePause = 800
/** At least this many workers load at once, where there are more. */
const leastAtOnce = 2

interface Load {
  readonly worker: Worker
  readonly model: string
  readonly version: number
  readonly fence: number
  readonly expectedOrders: number
  readonly startedAt: Moment
  accepted: boolean
  nextQuestion: number
}

/**
 * Creates the rollout of one instance.
 *
 * @param options - this instance and what it knows
 */
export const createRollout = (options: RolloutOptions): Rollout => {
  const { workers, weights, lease, emit, notify: tell } = options
  const loads = new Map<string, Load>()
  const questions = new Map<number, Worker>()
  const orders = new Map<number, string>()
  const counts = new Map<string, { readonly startedAt: number, readonly orders: number }>()
  const pausedUntil = new Map<string, number>()
  let token = 0

  /** Orders that the worker has accepted since its start; undefined until it told. */
  const ordersOf = ({ id, startedAt }: Worker): number | undefined => {
    const counted = counts.get(id)
    return counted?.startedAt === startedAt ? counted.orders : undefined
  }

  /** Answers may be older than what is known already; the count only rises. */
  const noteOrders = (worker: Worker, count: number): void => {
    counts.set(worker.id, { startedAt: worker.startedAt, orders: Math.max(count, ordersOf(worker) ?? 0) })
  }

  interface Outstanding {
    readonly worker: Worker
    readonly model: string
    readonly version: number
  }

  const outstanding = (): readonly Outstanding[] => weights.models().flatMap(model => {
    const newest = weights.newest(model)
    if (newest === undefined) return []
    return [...workers.all()]
      .filter(worker => worker.state === 'live' && (weights.held(worker, model) ?? Infinity) < newest.version)
      .map(worker => ({ worker, model, version: newest.version }))
  })

  const ask = (worker: Worker): void => {
    token++
    questions.set(token, worker)
    emit({ kind: 'worker.ask', token, worker: worker.id, address: worker.address })
  }

  /** The count of orders has to be known before one is given. */
  const askFirst = (worker: Worker, now: Moment): void => {
    pausedUntil.set(worker.id, now.steady + retryPause)
    ask(worker)
  }

  const send = ({ worker, model, version }: Outstanding, expectedOrders: number, fence: number, now: Moment): void => {
    token++
    orders.set(token, worker.id)
    loads.set(worker.id, { worker, model, version, fence, expectedOrders, startedAt: now, accepted: false, nextQuestion: Infinity })
    weights.noteLoading(worker.id, now.steady + loadTime)
    tell({ kind: 'loading', worker: worker.id, model, version, time: loadTime })
    emit({ kind: 'order.send', token, order: { worker: worker.id, address: worker.address, model, version, runs: 'goOn', holder: options.self, fence, expectedOrders } })
  }

  const atOnce = (service: string): number =>
    Math.max(leastAtOnce, Math.floor(workers.live(service).length * options.loadShare))

  const sendMore = (work: readonly Outstanding[], fence: number, now: Moment): void => {
    const ready = work
      .filter(({ worker }) => !loads.has(worker.id) && now.steady >= (pausedUntil.get(worker.id) ?? -Infinity))
      .sort((left, right) => options.requestsAt(left.worker.id, now.steady) - options.requestsAt(right.worker.id, now.steady))
    for (const item of ready) {
      const { service } = item.worker
      const running = [...loads.values()].filter(load => load.worker.service === service).length
      const orders = ordersOf(item.worker)
      if (orders === undefined) askFirst(item.worker, now)
      else if (running < atOnce(service)) send(item, orders, fence, now)
    }
  }

  const askAgain = (load: Load, now: Moment): void => {
    load.nextQuestion = now.steady + questionInterval
    ask(load.worker)
  }

  const finish = (load: Load): void => {
    loads.delete(load.worker.id)
    weights.noteHeld(load.worker, load.model, load.version)
    weights.noteLoaded(load.worker.id)
    tell({ kind: 'loaded', worker: load.worker.id, model: load.model, version: load.version })
  }

  const drop = (load: Load, pause: number, now: Moment): void => {
    loads.delete(load.worker.id)
    weights.noteLoaded(load.worker.id)
    pausedUntil.set(load.worker.id, now.steady + pause)
  }

  const watch = (load: Load, now: Moment): void => {
    const { worker, model, version } = load
    const present = workers.get(worker.id)
    if (present === undefined || present.startedAt !== worker.startedAt) return drop(load, 0, now)
    if ((weights.held(present, model) ?? 0) >= version) return finish(load)
    if (ageOf(load.startedAt, now) > loadTimeout) return drop(load, retryPause, now)
    if (now.steady >= load.nextQuestion) askAgain(load, now)
  }

  const tick = (now: Moment): void => {
    for (const load of [...loads.values()]) watch(load, now)
    const work = outstanding()
    if (work.length === 0) return lease.markIdle()
    lease.acquireOrRenew(now)
    const fence = lease.fence(now)
    if (fence !== undefined) sendMore(work, fence, now)
  }

  const answerOrder = (load: Load, outcome: OrderOutcome, now: Moment): void => {
    const { worker, model, version, fence, expectedOrders } = load
    tell({ kind: 'orderAnswered', worker: worker.id, model, version, outcome, fence, expectedOrders })
    switch (outcome) {
      case 'accepted':
        load.accepted = true
        noteOrders(worker, expectedOrders + 1)
        load.nextQuestion = now.steady + firstQuestion
        return
      case 'holds': return finish(load)
      case 'conflict':
      case 'silent': return askAgain(load, now)
      case 'fenced':
        lease.fenced()
        return drop(load, retryPause, now)
      case 'otherWorker':
      case 'invalid': return drop(load, retryPause, now)
      default: assertNever(outcome)
    }
  }

  const takeStatus = (worker: Worker, status: WorkerStatus, now: Moment): void => {
    for (const held of status.models) weights.noteHeld(worker, held.name, held.version)
    noteOrders(worker, status.orders)
    pausedUntil.delete(worker.id)
    const load = loads.get(worker.id)
    if (load !== undefined) takeLoadStatus(load, status, now)
  }

  const takeLoadStatus = (load: Load, status: WorkerStatus, now: Moment): void => {
    const { worker, model, version } = load
    if ((weights.held(worker, model) ?? 0) >= version) return finish(load)
    if (status.busy) {
      load.accepted = true
      weights.noteLoading(worker.id, now.steady + questionInterval)
      return
    }
    if (!load.accepted) drop(load, retryPause, now)
  }

  /** A worker that answers neither an order nor a question is left alone, so that it holds up no other. */
  const takeAnswer = (worker: Worker, status: WorkerStatus | undefined, now: Moment): void => {
    if (status !== undefined) return takeStatus(worker, status, now)
    const load = loads.get(worker.id)
    if (load !== undefined && !load.accepted) drop(load, silencePause, now)
  }

  const answer = (input: OrderInput, now: Moment): void => {
    switch (input.kind) {
      case 'order.answered': {
        const load = loads.get(orders.get(input.token) ?? '')
        orders.delete(input.token)
        if (load !== undefined) answerOrder(load, input.outcome, now)
        return
      }
      case 'worker.told': {
        const worker = questions.get(input.token)
        questions.delete(input.token)
        if (worker !== undefined) takeAnswer(worker, input.status, now)
        return
      }
      default: assertNever(input)
    }
  }

  return { tick, answer, dump: () => ({ loads: [...loads.keys()], holds: lease.holds() }) }
}
