/**
 * Forwards requests: finds route and workspace, sends each request to a worker,
 * passes the response on unchanged, and decides what to do when a worker rejects
 * the request, closes the connection early, sends nothing or sends an invalid
 * response. A request that is given up gets an error response at once.
 */
import { createWaitingQueue } from '../admission/waitingQueue.js'
import { assertNever } from '../errors.js'
import type { Moment } from '../lease/readLease.js'
import type { AnswerHead, Call, ForwardInput } from '../ports/forwardPort.js'
import { noteEnded, noteFailure, noteSuccess } from '../placement/workerLoad.js'
import type { PoisonAttempt } from '../poisonParts/poisonPartsTypes.js'
import { admitRequest } from './admitRequest.js'
import { createSuspectWorkers } from './suspectWorkers.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Attempt, AttemptEnd, Exchange, SendCause } from './forwardingTypes.js'
import { placeRequest, priorityOf, type PlacementResult } from './placeRequest.js'
import { refusalResponse, outcomeOf, type Refusal } from './refusal.js'
import { rejectionReason } from './rejection.js'
import { decideWait, rejectedRetryAfter } from './waitOrRefuse.js'
import { applyFirstEvent, applyLimit, applyRejection, applyResponseState, applyWorkerNotices } from './workerNotices.js'
import { fitsOrigin, noteStreamEvent } from './streamContinuation.js'
import { hasRecentData, isLate, isSilent, isStalled } from './attemptTimeouts.js'

/** Request forwarding of one instance. */
export interface Forwarding {
  /** Handles a request, or an event of an attempt or a probe. */
  readonly handle: (input: ForwardInput, moment: Moment) => void
  /** Ends requests whose deadline has passed, checks attempts in progress and tries to place waiting requests. */
  readonly tick: (moment: Moment) => void
  /** Tries to place waiting requests, as their workers may accept them now. */
  readonly placeWaiting: (moment: Moment) => void
  /** Number of requests in progress, waiting ones included. */
  readonly size: () => number
  /** Number of requests that wait for a worker of any service. */
  readonly waiting: () => number
  /** Suspects a worker that another instance could not reach, from `now` (ms) on. */
  readonly suspectWorker: (worker: string, now: number) => void
  /** Probes a worker that has cut an attempt. */
  readonly probeWorker: (worker: string, now: number) => void
  /** Ends the requests with blocked parts that wait, or whose answer has not begun. */
  readonly endBlocked: (moment: Moment) => void
  /** Counts of requests for the state dump. */
  readonly dump: () => unknown
}

/** Time, in ms, after which the requests of an unreachable worker that cannot be retried on another one are given up. */
const unreachableLimit = 1_500
/** Maximum number of retries of one request; after that its caller gets an error. */
const maxRetries = 4
/** Number of workers that may have crashed of one request; after that it is not retried. */
const maxCrashes = 2
/** Lowest HTTP status of worker errors that are retried on another worker. */
const firstServerError = 500

const isSuccess = (status: number): boolean => status >= 200 && status < 300

/** Whether the request may run on another worker although a worker may have run it already. */
const isRetryable = ({ route }: Exchange): boolean => route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)

const poisonAttemptOf = ({ id, worker, workerStartedAt, head, flight }: Attempt): PoisonAttempt => ({ id, worker, workerStartedAt, answered: head !== undefined, begunAt: flight.firstEventAt })

/**
 * Creates the request forwarding of one instance, without requests.
 *
 * @param context - state and outputs of the instance
 */
export const createForwarding = (context: ForwardingContext): Forwarding => {
  const exchanges = new Map<number, Exchange>()
  const byAttempt = new Map<number, Exchange>()
  const waitingQueue = createWaitingQueue()
  const suspectWorkers = createSuspectWorkers(context)
  let lastAttempt = 0

  const elapsed = (exchange: Exchange, now: number): number => Math.round(now - exchange.arrivedAt)

  const sendRefusal = (request: number, id: string, refusal: Refusal, after: number, moment: Moment): void => {
    const answer = refusalResponse(refusal, context.random.unit())
    context.log({
      kind: 'refused',
      id,
      reason: refusal.kind,
      outcome: outcomeOf(refusal),
      after,
      configuration: context.catalog()?.catalog.version ?? 0,
      proofAge: Math.round(Math.min(context.lease.age(moment), Number.MAX_SAFE_INTEGER))
    })
    context.emit({ kind: 'call.answer', request, ...answer })
  }

  const endAttempt = (exchange: Exchange, cancel: boolean): void => {
    const { attempt } = exchange
    if (attempt === undefined) return
    noteEnded(context.loadOf(attempt.worker), attempt.flight)
    byAttempt.delete(attempt.id)
    exchange.attempt = undefined
    if (!cancel) return
    context.poisonParts.noteCancelled(attempt.worker, attempt.id)
    context.emit({ kind: 'attempt.cancel', attempt: attempt.id })
  }

  const removeExchange = (exchange: Exchange, whole: boolean, now: number): void => {
    if (exchange.streamBegun) context.streamOrigins.end(exchange.call.id, whole, now)
    exchanges.delete(exchange.request)
    waitingQueue.remove(exchange.request)
  }

  const refuse = (exchange: Exchange, refusal: Refusal, { now, moment }: DecisionTime): void => {
    const { request, call } = exchange
    removeExchange(exchange, false, now)
    if (exchange.headSent) {
      context.log({ kind: 'brokenOff', id: call.id, reason: refusal.kind, after: elapsed(exchange, now), events: exchange.events })
      context.emit({ kind: 'call.abort', request })
      return
    }
    const accurateRefusal = exchange.mayHaveRun && outcomeOf(refusal) === 'not_run' ? { kind: 'broken' } as const : refusal
    sendRefusal(request, call.id, accurateRefusal, elapsed(exchange, now), moment)
  }

  const tryPlacement = (exchange: Exchange, cause: SendCause, time: DecisionTime): void => {
    lastAttempt++
    exchange.awaitsPeerFor = undefined
    const placement = placeRequest(context, exchange, cause, lastAttempt, time)
    switch (placement.kind) {
      case 'sent':
        waitingQueue.remove(exchange.request)
        byAttempt.set(lastAttempt, exchange)
        return
      case 'refused': return refuse(exchange, placement.refusal, time)
      case 'awaitsPeer':
        exchange.awaitsPeerFor = cause
        return waitingQueue.add({ request: exchange.request, priority: priorityOf(exchange), since: exchange.arrivedAt, expiresAt: exchange.deadline })
      case 'noneAvailable': return enqueue(exchange, cause, placement, time)
      default: assertNever(placement)
    }
  }

  /** Number of waiting requests of the same service that come before this one. */
  const countBefore = (exchange: Exchange): number =>
    waitingQueue.inOrder().filter(({ request, priority }) => request !== exchange.request && priority <= priorityOf(exchange) && exchanges.get(request)?.service === exchange.service).length

  const enqueue = (exchange: Exchange, cause: SendCause, { pausedUntil, interval = 0 }: Extract<PlacementResult, { kind: 'noneAvailable' }>, time: DecisionTime): void => {
    const { request, route, arrivedAt, deadline, excluded, sentTo, service } = exchange
    const decision = decideWait({
      arrivedAt,
      deadline,
      objective: route.objective,
      workersExhausted: sentTo.size >= route.maxWorkers,
      hasLiveWorker: context.workers.live(service).some(worker => !excluded.has(worker.id) && fitsOrigin(context, exchange, worker, time.now)),
      isRetry: cause !== 'first' && cause !== 'waited',
      pausedUntil: pausedUntil === undefined || interval === 0 ? pausedUntil : pausedUntil + countBefore(exchange) * interval
    }, time.now)
    if (decision.kind === 'refuse') return refuse(exchange, decision.refusal, time)
    waitingQueue.add({ request, priority: priorityOf(exchange), since: arrivedAt, expiresAt: decision.until })
  }

  const handleArrival = (request: number, call: Call, time: DecisionTime): void => {
    const { now, moment } = time
    const admission = admitRequest(context, call, time)
    if (admission.kind === 'refused') return sendRefusal(request, call.id, admission.refusal, 0, moment)
    const { route, workspace, service } = admission
    const exchange: Exchange = {
      request,
      call,
      route,
      workspace,
      service,
      arrivedAt: now,
      deadline: now + Math.min(call.patience ?? Infinity, route.timeout),
      sentTo: new Set(),
      excluded: new Set(),
      retryCount: 0,
      crashCount: 0,
      mayHaveRun: false,
      attempt: undefined,
      awaitsPeerFor: undefined,
      origin: undefined,
      streamBegun: false,
      headSent: false,
      lastEventId: undefined,
      events: 0,
      firstEventAt: undefined
    }
    exchanges.set(request, exchange)
    context.retries(service).recordRequest(now)
    tryPlacement(exchange, 'first', time)
  }

  /** Retries a request if the retry budget allows it, else refuses it with `fallback`. A retry that the worker rejects is charged to the budget, too. */
  const retry = (exchange: Exchange, cause: SendCause, fallback: Refusal, time: DecisionTime): void => {
    const { now } = time
    const allowed = exchange.retryCount < maxRetries && now < exchange.deadline &&
      context.retries(exchange.service).take(context.instances(), now)
    if (!allowed) return refuse(exchange, fallback, time)
    exchange.retryCount++
    tryPlacement(exchange, cause, time)
  }

  const failAttempt = (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, now: number): void => {
    const { worker, workerStartedAt, sentAt, flight: { firstEventAt } } = attempt
    context.log({
      kind: 'attemptFailed',
      id: exchange.call.id,
      worker,
      reason,
      after: Math.round(now - sentAt),
      ...(firstEventAt === undefined ? {} : { begun: Math.round(now - firstEventAt) }),
      startedAt: workerStartedAt
    })
    endAttempt(exchange, cancel)
  }

  /** Retries a request that the worker states it has not run. */
  const handleRejection = (exchange: Exchange, attempt: Attempt, head: AnswerHead, time: DecisionTime): void => {
    const rejection = rejectionReason(context, exchange, attempt, head)
    applyRejection(context, suspectWorkers, exchange, attempt, rejection, time.now)
    failAttempt(exchange, attempt, rejection.kind === 'unavailable' ? 'turnedAway' : rejection.kind, false, time.now)
    retry(exchange, rejection.kind === 'otherVersion' ? 'otherVersion' : 'turnedAway', { kind: 'turnedAway', wait: rejectedRetryAfter }, time)
  }

  /** Ends an attempt that failed after the worker may have run the request; retries the request if that is allowed. */
  const handleLostAttempt = (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, time: DecisionTime): void => {
    exchange.mayHaveRun = true
    noteFailure(context.loadOf(attempt.worker))
    failAttempt(exchange, attempt, reason, cancel, time.now)
    const wasCut = reason === 'cut' || reason === 'partialEvent'
    if (wasCut && context.poisonParts.noteCut(poisonAttemptOf(attempt), exchange.call, time.now)) exchange.crashCount++
    if (!isRetryable(exchange) || exchange.crashCount >= maxCrashes) return refuse(exchange, { kind: 'broken' }, time)
    exchange.excluded.add(attempt.worker)
    retry(exchange, exchange.events > 0 ? 'resume' : 'failed', { kind: 'broken' }, time)
  }

  const handleUnsent = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    failAttempt(exchange, attempt, 'unsent', false, time.now)
    suspectWorkers.markSuspect(attempt.worker, 'unreachable', time.now)
    exchange.excluded.add(attempt.worker)
    exchange.sentTo.delete(attempt.worker)
    if (time.now >= exchange.deadline) refuse(exchange, { kind: 'lateUnsent' }, time)
    else tryPlacement(exchange, 'unsent', time)
  }

  const isStream = ({ route }: Exchange, head: AnswerHead): boolean => route.kind === 'stream' && isSuccess(head.status)

  const handleHead = (exchange: Exchange, attempt: Attempt, head: AnswerHead, time: DecisionTime): void => {
    const { now } = time
    const { call } = exchange
    attempt.head = head
    attempt.lastDataAt = now
    applyWorkerNotices(context, exchange, attempt, head, now)
    if (head.requestId !== undefined && head.requestId !== call.id) return handleLostAttempt(exchange, attempt, 'garbled', true, time)
    applyLimit(context, exchange, attempt, head, now)
    applyResponseState(context, exchange, attempt, head, now)
    if (head.notRun) return
    if (isSuccess(head.status) && !head.signed) return handleLostAttempt(exchange, attempt, 'garbled', true, time)
    if (!isStream(exchange, head)) return
    if (exchange.headSent) return
    exchange.headSent = true
    exchange.mayHaveRun = true
    context.emit({ kind: 'call.open', request: exchange.request, status: head.status, headers: head.headers })
  }

  const handleData = (exchange: Exchange, attempt: Attempt, bytes: Buffer, now: number): void => {
    attempt.lastDataAt = now
    const { head } = attempt
    if (head === undefined) return
    context.poisonParts.noteHeard(attempt.worker, attempt.workerStartedAt, now)
    if (!isStream(exchange, head) || head.notRun) {
      attempt.body.push(bytes)
      return
    }
    const events = attempt.splitter.push(bytes)
    if (events === undefined) return
    if (attempt.flight.firstEventAt === undefined) {
      applyFirstEvent(context, exchange, attempt, now)
      context.poisonParts.noteBegun(poisonAttemptOf(attempt), exchange.call.prompt, now)
    }
    noteStreamEvent(context, exchange, attempt, now)
    exchange.events += events.count
    exchange.firstEventAt ??= now
    if (events.lastId !== undefined) exchange.lastEventId = events.lastId
    context.emit({ kind: 'call.write', request: exchange.request, bytes: events.bytes })
  }

  const complete = (exchange: Exchange, attempt: Attempt, head: AnswerHead, now: number): void => {
    const load = context.loadOf(attempt.worker)
    const isBuffered = !isStream(exchange, head)
    noteSuccess(load, isBuffered && isSuccess(head.status) ? now - attempt.sentAt : undefined)
    endAttempt(exchange, false)
    removeExchange(exchange, true, now)
    context.log({ kind: 'answered', id: exchange.call.id, worker: attempt.worker, status: head.status, after: elapsed(exchange, now), events: exchange.events, ...(exchange.firstEventAt === undefined ? {} : { first: Math.round(exchange.firstEventAt - exchange.arrivedAt) }) })
    if (isBuffered) context.emit({ kind: 'call.answer', request: exchange.request, status: head.status, headers: head.headers, body: Buffer.concat(attempt.body) })
    else context.emit({ kind: 'call.end', request: exchange.request })
  }

  const handleEnd = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    const { head } = attempt
    if (head === undefined) return handleLostAttempt(exchange, attempt, 'garbled', false, time)
    if (head.notRun) return handleRejection(exchange, attempt, head, time)
    if (isStream(exchange, head) && attempt.splitter.hasPartialEvent()) return handleLostAttempt(exchange, attempt, 'partialEvent', false, time)
    const isRetryableError = head.status >= firstServerError && isRetryable(exchange) && !exchange.headSent
    if (isRetryableError && canRetry(exchange, time.now)) return handleLostAttempt(exchange, attempt, 'failedAnswer', false, time)
    if (exchange.headSent && !isStream(exchange, head)) return handleLostAttempt(exchange, attempt, 'failedAnswer', false, time)
    if (head.status >= firstServerError) noteFailure(context.loadOf(attempt.worker))
    complete(exchange, attempt, head, time.now)
  }

  const canRetry = (exchange: Exchange, now: number): boolean => {
    const { route, sentTo, service, retryCount } = exchange
    if (retryCount >= maxRetries || sentTo.size >= route.maxWorkers) return false
    const hasOther = context.workers.live(service).some(worker => !sentTo.has(worker.id) && fitsOrigin(context, exchange, worker, now))
    return hasOther && context.retries(service).canTake(context.instances(), now)
  }

  const handleCallerLeft = (exchange: Exchange, now: number): void => {
    context.log({ kind: 'callerLeft', id: exchange.call.id, after: elapsed(exchange, now), events: exchange.events })
    endAttempt(exchange, true)
    removeExchange(exchange, false, now)
  }

  const handleAttempt = (input: Extract<ForwardInput, { readonly attempt: number }>, time: DecisionTime): void => {
    const exchange = byAttempt.get(input.attempt)
    const attempt = exchange?.attempt
    if (exchange === undefined || attempt?.id !== input.attempt) return
    switch (input.kind) {
      case 'attempt.head': return handleHead(exchange, attempt, input.head, time)
      case 'attempt.data': return handleData(exchange, attempt, input.bytes, time.now)
      case 'attempt.ended': return handleEnd(exchange, attempt, time)
      case 'attempt.failed':
        if (input.failure === 'unsent') return handleUnsent(exchange, attempt, time)
        if (attempt.head?.notRun === true) return handleRejection(exchange, attempt, attempt.head, time)
        return handleLostAttempt(exchange, attempt, input.failure, false, time)
      default: assertNever(input)
    }
  }

  /** Retries a request of an unreachable worker on another one; if that is not possible, gives it up after `unreachableLimit`; `suspectedFor` in ms. */
  const leaveUnreachableWorker = (exchange: Exchange, attempt: Attempt, suspectedFor: number, time: DecisionTime): void => {
    if (hasRecentData(attempt, time.now)) return
    if (isRetryable(exchange) && canRetry(exchange, time.now)) return handleLostAttempt(exchange, attempt, 'silent', true, time)
    if (suspectedFor < unreachableLimit) return
    exchange.mayHaveRun = true
    failAttempt(exchange, attempt, 'silent', true, time.now)
    refuse(exchange, { kind: 'broken' }, time)
  }

  const handleProbe = ({ worker, reachable, refused = false }: Extract<ForwardInput, { kind: 'worker.probed' }>, time: DecisionTime): void => {
    context.poisonParts.noteProbed(worker, { reachable, refused }, time.now)
    const suspectedFor = suspectWorkers.handleProbeResult(worker, reachable, time.now)
    if (suspectedFor === undefined) return
    for (const exchange of exchanges.values()) {
      if (exchange.attempt?.worker === worker) leaveUnreachableWorker(exchange, exchange.attempt, suspectedFor, time)
    }
  }

  const handle = (input: ForwardInput, moment: Moment): void => {
    const time = { now: moment.steady, moment }
    switch (input.kind) {
      case 'call.arrived': return handleArrival(input.request, input.call, time)
      case 'call.unreadable': return sendRefusal(input.request, 'none', { kind: 'unreadable', problem: input.problem }, 0, moment)
      case 'call.left': {
        const exchange = exchanges.get(input.request)
        if (exchange !== undefined) handleCallerLeft(exchange, time.now)
        return
      }
      case 'worker.probed': return handleProbe(input, time)
      default: return handleAttempt(input, time)
    }
  }

  const expire = (exchange: Exchange, time: DecisionTime): void => {
    const sent = exchange.attempt !== undefined
    if (exchange.attempt !== undefined) {
      exchange.mayHaveRun = true
      endAttempt(exchange, true)
    }
    refuse(exchange, sent || exchange.mayHaveRun ? { kind: 'late' } : { kind: 'lateUnsent' }, time)
  }

  /** Suspects the worker of a late, silent or stalled attempt; retries the request on another worker if that is allowed. */
  const checkProgress = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    const { now } = time
    if (!attempt.doubted && isLate(attempt, now)) {
      attempt.doubted = true
      suspectWorkers.markSuspect(attempt.worker, 'silent', now)
    }
    const stalled = isStalled(exchange, attempt, now)
    if (attempt.silent || (!stalled && !isSilent(attempt, now))) return
    attempt.silent = true
    noteFailure(context.loadOf(attempt.worker))
    suspectWorkers.markSuspect(attempt.worker, 'silent', now)
    if (!isRetryable(exchange) || !canRetry(exchange, now)) return
    exchange.mayHaveRun = true
    failAttempt(exchange, attempt, 'silent', true, now)
    exchange.excluded.add(attempt.worker)
    retry(exchange, stalled ? 'resume' : 'silent', { kind: 'broken' }, time)
  }

  const placeWaiting = (time: DecisionTime): void => {
    for (const { request } of waitingQueue.inOrder()) {
      const exchange = exchanges.get(request)
      if (exchange !== undefined) tryPlacement(exchange, exchange.awaitsPeerFor ?? 'waited', time)
    }
  }

  const tick = (moment: Moment): void => {
    const time = { now: moment.steady, moment }
    suspectWorkers.tick(time.now)
    for (const exchange of exchanges.values()) {
      if (exchange.deadline <= time.now) expire(exchange, time)
      else if (exchange.attempt !== undefined) checkProgress(exchange, exchange.attempt, time)
    }
    for (const { request } of waitingQueue.removeExpired(time.now)) {
      const exchange = exchanges.get(request)
      if (exchange !== undefined) refuse(exchange, { kind: 'noWorker' }, time)
    }
    placeWaiting(time)
  }

  const endBlocked = (time: DecisionTime): void => {
    for (const exchange of exchanges.values()) {
      const { attempt, call } = exchange
      if (!context.poisonParts.isBlocked(call.prompt, time.now) || attempt?.flight.firstEventAt !== undefined) continue
      if (attempt !== undefined) {
        exchange.mayHaveRun = true
        failAttempt(exchange, attempt, 'blockedPart', true, time.now)
      }
      refuse(exchange, { kind: 'blockedPart' }, time)
    }
  }

  return {
    handle,
    tick,
    placeWaiting: moment => placeWaiting({ now: moment.steady, moment }),
    size: () => exchanges.size,
    waiting: waitingQueue.size,
    endBlocked: moment => endBlocked({ now: moment.steady, moment }),
    probeWorker: (worker, now) => suspectWorkers.markSuspect(worker, 'cut', now),
    suspectWorker: (worker, now) => suspectWorkers.markSuspect(worker, 'peer', now),
    dump: () => ({ requests: exchanges.size, waiting: waitingQueue.size() })
  }
}
