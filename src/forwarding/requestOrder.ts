/**
 * Applies the order of service under shortage to the requests of an instance. It
 * takes effect for services whose workers state their pace and for workspaces
 * with a quota; all other requests are refused, ordered and sent as without it.
 */
import type { WaitingOrder, AdmissionDecision } from '../admission/admissionDecision.js'
import { createServiceOrder, type OrderedRequest, type ServiceOrder } from '../admission/serviceOrder.js'
import type { Workspace } from '../catalog/catalogTypes.js'
import type { Standing } from '../fairness/fairness.js'
import type { WorkerLoad } from '../placement/workerLoad.js'
import type { RequestFingerprints } from '../poisonRequests/requestFingerprint.js'
import type { WorkersDb } from '../workers/workersDb.js'
import type { Exchange, ForwardLogEvent, SendCause } from './forwardingTypes.js'
import type { Refusal } from './refusal.js'
import { priorityOf, workerPriority } from './requestPriority.js'

/** What the order of an instance depends on. */
export interface RequestOrderOptions {
  readonly workers: Pick<WorkersDb, 'live'>
  readonly loadOf: (worker: string) => WorkerLoad
  /** Whether the configuration gives a workspace a quota. */
  readonly hasQuota: (workspace: Workspace) => boolean
  readonly fingerprintOf: RequestFingerprints
  readonly log: (event: Extract<ForwardLogEvent, { kind: 'shortageChanged' }>) => void
}

/** The worker chosen for a request. */
export interface ExpectedAt {
  readonly worker: { readonly id: string }
  /** Time to the response, or to a stream's first event, in ms. */
  readonly expected: number
  /** Prompt tokens that the worker has to prefill. */
  readonly unreadTokens: number
  /** What a model worker is sent besides the request, its priority included; undefined for plain services. */
  readonly model: unknown
}

/** The order of service of one instance; times in ms. */
export interface RequestOrder {
  /** Decides whether a request is sent to the chosen worker, and with which priority. */
  readonly decide: (exchange: Exchange, target: ExpectedAt, cause: SendCause, now: number) => AdmissionDecision
  /** Place of a request in the waiting queue. */
  readonly orderOf: (exchange: Exchange, now: number) => Pick<WaitingOrder, 'priority' | 'since'> & Partial<WaitingOrder>
  /** Records that a request was sent as last decided. */
  readonly noteSent: (exchange: Exchange, now: number) => void
  /** Records that a worker turned a request away. */
  readonly noteTurnedAway: (exchange: Exchange, now: number) => void
  /** Applies what an instance that sees the requests of many says of a workspace at a service. */
  readonly noteStanding: (service: string, workspace: string, standing: Standing, now: number) => void
  /** Sets the time of a refusal at which its caller is asked back. */
  readonly spreadReturn: (exchange: Exchange, refusal: Refusal, now: number) => Refusal
  /** Largest shortage of a service, 0 to 1. */
  readonly shortage: (now: number) => number
}

/** Work of a request as the shares count it. */
interface CountedWork {
  /** Size, in tokens. */
  readonly size: number
  readonly isOverShare: boolean
}

/** What is remembered of a request in progress. */
interface Progress {
  isPlaced: boolean
  /** How it counts if it is sent as last decided. */
  decided: CountedWork
  /** How it was counted; undefined while it is not. */
  counted: CountedWork | undefined
}

/** The order of a service and what was last believed of it. */
interface OrderedService {
  readonly order: ServiceOrder
  wasShort: boolean
}

/** Time for which it is assumed that workers state their pace, or do not, in ms. */
const paceCheckInterval = 1_000
/** Size of a request without a prompt, in tokens; all such requests count alike. */
const plainSize = 1_000

/** Largest size that counts, in tokens, so that one absurd count does not weigh on its workspace for minutes. */
const maxSize = 1_000_000

/** Work that a request is at its worker: the tokens to prefill and the most that it may write. A long part that the worker has cached costs nearly nothing. */
const sizeAt = ({ call: { prompt } }: Exchange, unreadTokens: number): number => {
  if (prompt === undefined) return plainSize
  const size = unreadTokens + prompt.maxOutputTokens
  return Number.isNaN(size) ? plainSize : Math.max(1, Math.min(maxSize, size))
}

/** Decision without the order: only requests that no worker can begin in time are refused. */
const decideAlone = (exchange: Exchange, expected: number, now: number): AdmissionDecision => {
  const timeLeft = exchange.deadline - now
  if (expected >= timeLeft) return { kind: 'refuse', reason: 'overloaded', wait: Math.max(0, expected - timeLeft / 2) }
  return { kind: 'admit', priority: workerPriority(exchange), isOverShare: false }
}

/** Fraction of this instance's requests that wait at a worker and have a lower priority; those of other instances are taken to be alike. */
const yieldingShare = ({ flights }: WorkerLoad, priority: number): number => {
  let waiting = 0
  let yielding = 0
  for (const flight of flights) {
    if (flight.firstEventAt !== undefined) continue
    waiting++
    if (flight.priority !== undefined && flight.priority > priority) yielding++
  }
  return waiting === 0 ? 0 : yielding / waiting
}

/**
 * Creates the order of service of one instance, without requests.
 *
 * @param options - the workers and workspaces that decide where it takes effect
 */
export const createRequestOrder = ({ workers, loadOf, hasQuota, fingerprintOf, log }: RequestOrderOptions): RequestOrder => {
  const services = new Map<string, OrderedService>()
  const paceChecks = new Map<string, { readonly at: number, readonly stated: boolean }>()
  const progress = new WeakMap<Exchange, Progress>()

  const statePace = (service: string, now: number): boolean => {
    const last = paceChecks.get(service)
    if (last !== undefined && now - last.at < paceCheckInterval) return last.stated
    const stated = workers.live(service).some(({ id }) => loadOf(id).report?.counts.pace !== undefined)
    paceChecks.set(service, { at: now, stated })
    return stated
  }

  const isOrdered = ({ workspace, service }: Exchange, now: number): boolean =>
    (workspace !== undefined && hasQuota(workspace)) || statePace(service, now)

  const serviceOf = (name: string): OrderedService => {
    const service = services.get(name) ?? { order: createServiceOrder(), wasShort: false }
    services.set(name, service)
    return service
  }

  const progressOf = (exchange: Exchange): Progress => {
    const known = progress.get(exchange) ?? { isPlaced: false, decided: { size: 0, isOverShare: false }, counted: undefined }
    progress.set(exchange, known)
    return known
  }

  const logChange = (name: string, service: OrderedService, now: number): void => {
    const short = service.order.isShort(now)
    if (short === service.wasShort) return
    service.wasShort = short
    log({ kind: 'shortageChanged', service: name, short, share: Number(service.order.shortage(now).toFixed(2)) })
  }

  const requestOf = (exchange: Exchange, priority: number): OrderedRequest => ({
    workspace: exchange.workspace?.name,
    priority,
    arrivedAt: exchange.arrivedAt,
    deadline: exchange.deadline,
    objective: exchange.route.objective,
    fingerprint: () => fingerprintOf(exchange)
  })

  const decide = (exchange: Exchange, { worker, expected, unreadTokens, model }: ExpectedAt, cause: SendCause, now: number): AdmissionDecision => {
    if (!isOrdered(exchange, now)) return decideAlone(exchange, expected, now)
    const service = serviceOf(exchange.service)
    const known = progressOf(exchange)
    const size = sizeAt(exchange, unreadTokens)
    const priority = workerPriority(exchange)
    const decision = service.order.decide({
      ...requestOf(exchange, priority),
      size,
      expected,
      yieldingShare: yieldingShare(loadOf(worker.id), priority),
      isPrioritized: model !== undefined,
      isFirst: !known.isPlaced,
      wasTurnedAway: cause === 'turnedAway',
      isRefusable: !exchange.mayHaveRun && exchange.attempt === undefined && exchange.call.resumeAfter === undefined
    }, now)
    known.isPlaced = true
    known.decided = { size, isOverShare: decision.kind === 'admit' && decision.isOverShare }
    logChange(exchange.service, service, now)
    return decision
  }

  const noteSent = (exchange: Exchange, now: number): void => {
    const known = progress.get(exchange)
    if (known === undefined || known.counted !== undefined) return
    known.counted = known.decided
    const { size, isOverShare } = known.counted
    serviceOf(exchange.service).order.noteSent(exchange.workspace?.name, size, isOverShare, now)
  }

  const noteTurnedAway = (exchange: Exchange, now: number): void => {
    const counted = progress.get(exchange)?.counted
    if (counted === undefined) return
    progressOf(exchange).counted = undefined
    serviceOf(exchange.service).order.noteTurnedAway(exchange.workspace?.name, counted.size, counted.isOverShare, now)
  }

  const spreadReturn = (exchange: Exchange, refusal: Refusal, now: number): Refusal => {
    if (refusal.kind !== 'overloaded' && refusal.kind !== 'turnedAway' && refusal.kind !== 'overShare') return refusal
    if (!isOrdered(exchange, now)) return refusal
    const { wait } = refusal
    const caller = { fingerprint: fingerprintOf(exchange), arrivedAt: exchange.arrivedAt, wait }
    return { ...refusal, wait: serviceOf(exchange.service).order.returnAfter(caller, now), spread: true }
  }

  return {
    decide,
    orderOf: (exchange, now) => isOrdered(exchange, now)
      ? serviceOf(exchange.service).order.orderOf(requestOf(exchange, priorityOf(exchange)), now)
      : { priority: priorityOf(exchange), since: exchange.arrivedAt },
    noteSent,
    noteTurnedAway,
    noteStanding: (service, workspace, standing, now) => serviceOf(service).order.noteStanding(workspace, standing, now),
    spreadReturn,
    shortage: now => Math.max(0, ...[...services.values()].map(({ order }) => order.shortage(now)))
  }
}
