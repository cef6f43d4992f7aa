/**
 * Keeps all instances together to the limits that workers state. For each limited
 * worker one instance, chosen by rendezvous hashing, grants permits; the others ask
 * it when they want to send the worker a request. An instance that was denied a
 * permit does without the worker for the time that the granter states, so that the
 * number of questions follows the limit and not the number of requests.
 *
 * A granter that reaches only a minority of the instances grants that part of the
 * limit, since another may grant permits on the other side of a partition.
 */
import { LRUCache } from 'lru-cache'
import type { FleetMessage } from '../fleet/fleetMessages.js'
import type { LimitStatement } from '../ports/forwardPort.js'
import type { Worker } from '../workers/workersTypes.js'
import { createPermitGranter, permitValidity, type PermitDecision, type PermitGranter } from './permitGranter.js'
import type { LimitChange, StatedLimit, StatedLimits } from './statedLimits.js'

/** Messages about limits between instances. */
export type LimitMessage = Extract<FleetMessage, { kind: 'fleet.workerLimit' | 'fleet.permitRequest' | 'fleet.permitDecision' }>

/** Whether a request may be sent to a worker. */
export type Permit =
  /** The worker has no limit. */
  | { readonly kind: 'unlimited' }
  | { readonly kind: 'held' }
  /** None is held; one may be asked for. */
  | { readonly kind: 'wanted' }
  /** The granter has been asked and has not answered yet. */
  | { readonly kind: 'asked' }
  /** None before `until` (ms). */
  | { readonly kind: 'denied', readonly until: number }

/** What a response says of its worker's limit. */
export interface LimitReport {
  readonly worker: string
  readonly startedAt: number
  /** When the request was sent, in ms. */
  readonly sentAt: number
  /** Whether the worker ran the request; only such a response shows that a limit is no longer stated. */
  readonly ran: boolean
  readonly statement: LimitStatement | undefined
}

/** What the limits depend on; times in ms. */
export interface WorkerLimitsOptions {
  readonly self: string
  readonly stated: StatedLimits
  /** Returns the instance that grants the permits of a worker. */
  readonly granterOf: (worker: string) => string
  /** Number of live instances, this one included. */
  readonly instances: () => number
  /** Fraction of the known instances that are live. */
  readonly liveShare: () => number
  readonly send: (to: string, message: LimitMessage) => void
  readonly broadcast: (message: LimitMessage) => void
  /** Called when the granter has answered. */
  readonly onDecision: () => void
}

/** The limits of workers at one instance; times in ms. */
export interface WorkerLimits {
  readonly permitFor: (worker: Worker, now: number) => Permit
  /** Uses a held permit, or asks for one; `priority` of the request, 0 is the highest. Anything but `unlimited` and `held` means that the request may not be sent. */
  readonly take: (worker: Worker, priority: number, now: number) => Permit
  /** Applies what a response says, and tells the other instances of a limit that begins or ends. */
  readonly applyResponse: (report: LimitReport, now: number) => LimitChange
  /** Limit of a worker, in requests a second; undefined if it has none. */
  readonly perSecond: (worker: Worker) => number | undefined
  readonly receive: (from: string, message: LimitMessage, now: number) => void
  /** Tells an instance that has become reachable of the limits for which this one grants permits. */
  readonly tell: (instance: string, now: number) => void
}

/** Time for the granter's answer, in ms. */
const answerTimeout = 150
/** Time for which an instance whose granter has not answered, or is not one any more, does without the worker, in ms. */
const unansweredWait = 250
/** Fraction of the known instances up to which a granter may be in a minority. */
const minorityShare = 0.5
/** Shortest time between two announcements about one worker, in ms. */
const announceInterval = 250
/** Number of workers whose permits are remembered. */
const maxWorkers = 2_000

/** What this instance holds of one lifetime of a worker. */
interface Holding {
  readonly startedAt: number
  permits: number
  permitsUntil: number
  askedAt: number | undefined
  deniedUntil: number
}

interface Granting {
  readonly startedAt: number
  readonly granter: PermitGranter
}

const unlimited: Permit = { kind: 'unlimited' }

/**
 * Creates the limits of one instance.
 *
 * @param options - the stated limits and the other instances
 */
export const createWorkerLimits = (options: WorkerLimitsOptions): WorkerLimits => {
  const { self, stated } = options
  const holdings = new LRUCache<string, Holding>({ max: maxWorkers })
  const grantings = new LRUCache<string, Granting>({ max: maxWorkers })
  const announcedAt = new LRUCache<string, number>({ max: maxWorkers })

  const holdingOf = (worker: string, startedAt: number): Holding => {
    const known = holdings.get(worker)
    if (known?.startedAt === startedAt) return known
    const created: Holding = { startedAt, permits: 0, permitsUntil: -Infinity, askedAt: undefined, deniedUntil: -Infinity }
    holdings.set(worker, created)
    return created
  }

  const granterFor = (worker: string, startedAt: number, now: number): PermitGranter => {
    const known = grantings.get(worker)
    if (known?.startedAt === startedAt) return known.granter
    const granter = createPermitGranter(now)
    grantings.set(worker, { startedAt, granter })
    return granter
  }

  const decide = (instance: string, limit: StatedLimit, priority: number, now: number): PermitDecision => {
    const share = options.liveShare()
    const perSecond = limit.perSecond * (share > minorityShare ? 1 : share)
    return granterFor(limit.worker, limit.startedAt, now).decide({ instance, priority, perSecond, instances: options.instances() }, now)
  }

  const applyDecision = (holding: Holding, decision: PermitDecision, now: number): void => {
    holding.askedAt = undefined
    if (decision.kind === 'denied') {
      holding.deniedUntil = now + decision.wait
      return
    }
    holding.permits = (now < holding.permitsUntil ? holding.permits : 0) + decision.count
    holding.permitsUntil = now + permitValidity
  }

  const ask = (holding: Holding, limit: StatedLimit, priority: number, now: number): void => {
    const granter = options.granterOf(limit.worker)
    if (granter === self) return applyDecision(holding, decide(self, limit, priority, now), now)
    holding.askedAt = now
    const { worker, startedAt, perSecond, statedAt } = limit
    options.send(granter, { kind: 'fleet.permitRequest', worker, startedAt, perSecond, age: now - statedAt, priority })
  }

  const permitOf = (holding: Holding, now: number): Permit => {
    if (holding.permits > 0 && now < holding.permitsUntil) return { kind: 'held' }
    if (holding.askedAt !== undefined && now < holding.askedAt + answerTimeout) return { kind: 'asked' }
    if (holding.askedAt !== undefined) applyDecision(holding, { kind: 'denied', wait: unansweredWait }, now)
    return now < holding.deniedUntil ? { kind: 'denied', until: holding.deniedUntil } : { kind: 'wanted' }
  }

  const permitFor = ({ id, startedAt }: Worker, now: number): Permit =>
    stated.get(id, startedAt) === undefined ? unlimited : permitOf(holdingOf(id, startedAt), now)

  const take = ({ id, startedAt }: Worker, priority: number, now: number): Permit => {
    const limit = stated.get(id, startedAt)
    if (limit === undefined) return unlimited
    const holding = holdingOf(id, startedAt)
    if (permitOf(holding, now).kind === 'wanted') ask(holding, limit, priority, now)
    const permit = permitOf(holding, now)
    if (permit.kind === 'held') holding.permits--
    return permit
  }

  const announce = (message: LimitMessage & { kind: 'fleet.workerLimit' }, now: number): void => {
    if (now - (announcedAt.get(message.worker) ?? -Infinity) < announceInterval) return
    announcedAt.set(message.worker, now)
    options.broadcast(message)
  }

  const applyResponse = ({ worker, startedAt, sentAt, ran, statement }: LimitReport, now: number): LimitChange => {
    if (statement?.kind === 'unreadable') return 'none'
    if (statement !== undefined) {
      const change = stated.state({ worker, startedAt, perSecond: statement.requests, statedAt: now })
      if (change === 'stated') announce({ kind: 'fleet.workerLimit', worker, startedAt, perSecond: statement.requests, age: 0 }, now)
      return change
    }
    if (!ran) return 'none'
    const change = stated.withdraw(worker, startedAt, sentAt)
    if (change === 'withdrawn') announce({ kind: 'fleet.workerLimit', worker, startedAt, age: now - sentAt }, now)
    return change
  }

  const applyPeerStatement = ({ worker, startedAt, perSecond, age }: LimitMessage & { kind: 'fleet.workerLimit' }, now: number): void => {
    if (perSecond === undefined) stated.withdraw(worker, startedAt, now - age)
    else stated.state({ worker, startedAt, perSecond, statedAt: now - age })
  }

  const answerRequest = (from: string, { worker, startedAt, perSecond, age, priority }: LimitMessage & { kind: 'fleet.permitRequest' }, now: number): void => {
    stated.state({ worker, startedAt, perSecond, statedAt: now - age })
    const limit = stated.get(worker, startedAt)
    const isGranter = limit !== undefined && options.granterOf(worker) === self
    const decision = isGranter ? decide(from, limit, priority, now) : { kind: 'denied' as const, wait: unansweredWait }
    options.send(from, { kind: 'fleet.permitDecision', worker, startedAt, decision })
  }

  const receive = (from: string, message: LimitMessage, now: number): void => {
    switch (message.kind) {
      case 'fleet.workerLimit': return applyPeerStatement(message, now)
      case 'fleet.permitRequest': return answerRequest(from, message, now)
      case 'fleet.permitDecision':
        applyDecision(holdingOf(message.worker, message.startedAt), message.decision, now)
        return options.onDecision()
    }
  }

  const tell = (instance: string, now: number): void => {
    for (const { worker, startedAt, perSecond, statedAt } of stated.all()) {
      if (options.granterOf(worker) === self) options.send(instance, { kind: 'fleet.workerLimit', worker, startedAt, perSecond, age: now - statedAt })
    }
  }

  return { permitFor, take, applyResponse, perSecond: ({ id, startedAt }) => stated.get(id, startedAt)?.perSecond, receive, tell }
}
