/**
 * Forwards requests: finds route and workspace, sends each request to a worker,
 * passes the response on unchanged, and decides what to do when a worker rejects
 * the request, closes the connection early, sends nothing or sends an invalid
 * response. A request that is given up gets an error response at once.
 */
import { createWaitingQueue } from '../admission/waitingQueue.js'
import { assertNever } from '../errors.js'
import type { Moment } from '../lease/readLease.js'
import type { ForwardInput } from '../ports/forwardPort.js'
import { noteFailure } from '../placement/workerLoad.js'
import { admitRequest } from './admitRequest.js'
import { createAttemptInputs } from './attemptInputs.js'
import { createAttemptsInProgress } from './attemptsInProgress.js'
import { hasRecentData, isLate, isSilent, isStalled } from './attemptTimeouts.js'
import { createCallerResponses } from './callerResponses.js'
import { createExchange } from './createExchange.js'
import { isRetryable } from './exchangeKind.js'
import { isExcludedForGood, mayFindWorker } from './exclusions.js'
import { createHeldAnswers } from './heldAnswers.js'
import { createSuspectWorkers } from './suspectWorkers.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Attempt, Exchange, SendCause } from './forwardingTypes.js'
import { placeRequest, type PlacementResult } from './placeRequest.js'
import { noteQuotaArrival } from './quotaCredit.js'
import type { Refusal } from './refusal.js'
import { maxRetries } from './retryLimits.js'
import { createRelays } from './relays.js'
import { priorityOf } from './requestPriority.js'
import { createRequestIsolation } from './requestIsolation.js'
import { createRequestShutdown } from './requestShutdown.js'
import { createSecondAttempts } from './secondAttempts.js'
import { decideWait } from './waitOrRefuse.js'
import { fitsOrigin } from './streamContinuation.js'

/** Request forwarding of one instance. */
export interface Forwarding {
  /** Handles a request, or an event of an attempt or a probe. */
  readonly handle: (input: ForwardInput, moment: Moment) => void
  /** Ends requests whose deadline has passed, checks attempts in progress and tries to place waiting requests. */
  readonly tick: (moment: Moment) => void
  /** Tries to place waiting requests, as their workers may accept them now. */
  readonly placeWaiting: (moment: Moment) => void
  /** Tries to place a waiting request, as the coordinator that was asked has answered. */
  readonly placeOne: (request: number, moment: Moment) => void
  /** Refuses the requests that no worker has had. */
  readonly endWaiting: (moment: Moment) => void
  /** Refuses the requests in progress, or breaks their responses off. */
  readonly endAll: (moment: Moment) => void
  /** Number of requests in progress, waiting ones included. */
  readonly size: () => number
  /** Number of requests that wait for a worker of any service. */
  readonly waiting: () => number
  /** Suspects a worker that another instance could not reach, from `now` (ms) on. */
  readonly suspectWorker: (worker: string, now: number) => void
  /** Suspects a worker that has cut an attempt, and probes it. */
  readonly probeWorker: (worker: string, now: number) => void
  /** Probes a worker to find out whether it is in reach; it is suspect only if it is not. */
  readonly checkWorker: (worker: string) => void
  /** Lets other instances take the requests of a service from which this one has been cut off. */
  readonly passOn: (service: string, moment: Moment) => void
  /** Ends the blocked requests that wait, or whose answer has not begun. */
  readonly endBlocked: (moment: Moment) => void
  /** Counts of requests for the state dump. */
  readonly dump: () => unknown
}

/** Time, in ms, for which a worker that is not listed any more has to be unreachable before its requests are given up. */
const goneAfter = 1_500

/** Time between two ticks, in ms, from which on silence of workers is judged only at the next tick. */
const maxTickDelay = 100

/**
 * Creates the request forwarding of one instance, without requests.
 *
 * @param context - state and outputs of the instance
 */
export const createForwarding = (context: ForwardingContext): Forwarding => {
  const exchanges = new Map<number, Exchange>()
  const waitingQueue = createWaitingQueue()
  let lastTickAt = -Infinity
  const hasRequestsAt = (worker: string): boolean =>
    [...exchanges.values()].some(({ attempt, second }) => attempt?.worker === worker || second?.worker === worker)
  const suspectWorkers = createSuspectWorkers({ ...context, hasRequestsAt })
  const heldAnswers = createHeldAnswers()
  const attempts = createAttemptsInProgress(context, heldAnswers)
  const relayed = new Map<number, Exchange>()
  const responses = createCallerResponses(context, exchanges, waitingQueue, attempts, relayed, heldAnswers)
  const isolation = createRequestIsolation({ context, exchanges, responses, removeWaiting: waitingQueue.remove })
  /** Closes the connection on which a too large answer comes; its attempt or relayed request has then failed. */
  const giveUpOversized = (attempt: number | undefined, time: DecisionTime): void => {
    if (attempt === undefined) return
    context.emit({ kind: 'attempt.cancel', attempt })
    handleInput({ kind: 'attempt.failed', attempt, failure: 'oversized' }, time)
  }

  const relays = createRelays({
    context,
    byId: relayed,
    responses,
    heldAnswers,
    giveUpOversized,
    nextId: attempts.nextId,
    placeAgain: (exchange, time) => tryPlacement(exchange, 'unsent', time),
    retry: (exchange, time) => retry(exchange, exchange.events > 0 ? 'resume' : 'failed', { kind: 'broken' }, time)
  })
  const seconds = createSecondAttempts(context, attempts)
  const shutdown = createRequestShutdown({ context, exchanges, responses, isolation })

  const tryPlacement = (exchange: Exchange, cause: SendCause, time: DecisionTime): void => {
    exchange.awaitsPeerFor = undefined
    if (!shutdown.mayBegin(exchange, time.now)) return responses.refuse(exchange, { kind: 'shuttingDown' }, time)
    const placement = placeRequest(context, exchange, cause, attempts.nextId(), time)
    switch (placement.kind) {
      case 'sent':
        waitingQueue.remove(exchange.request)
        return attempts.begin(exchange, placement.attempt)
      case 'refused': return responses.refuse(exchange, placement.refusal, time)
      case 'awaitsPeer':
        exchange.awaitsPeerFor = cause
        return waitingQueue.add({ request: exchange.request, ...context.requestOrder.orderOf(exchange, time.now), expiresAt: exchange.deadline })
      case 'relay':
        waitingQueue.remove(exchange.request)
        return relays.begin(exchange, placement.peers, time)
      case 'noneAvailable': return enqueue(exchange, cause, placement, time)
      default: assertNever(placement)
    }
  }

  /** Number of waiting requests of the same service that come before this one. */
  const countBefore = (exchange: Exchange): number =>
    waitingQueue.inOrder().filter(({ request, priority }) => request !== exchange.request && priority <= priorityOf(exchange) && exchanges.get(request)?.service === exchange.service).length

  const enqueue = (exchange: Exchange, cause: SendCause, { pausedUntil, interval = 0 }: Extract<PlacementResult, { kind: 'noneAvailable' }>, time: DecisionTime): void => {
    const { request, route, arrivedAt, deadline, sentTo, service, lastEventAt } = exchange
    const hasBegun = exchange.headSent && lastEventAt !== undefined
    const decision = decideWait({
      arrivedAt,
      deadline,
      objective: route.objective,
      lastEventAt: hasBegun ? lastEventAt : undefined,
      workersExhausted: hasBegun ? !mayFindWorker(context, exchange) : sentTo.size >= route.maxWorkers,
      hasLiveWorker: context.workerReach.mayBeCutOff(service) || context.workers.live(service).some(worker => !isExcludedForGood(exchange, worker.id) && fitsOrigin(context, exchange, worker, time.now)),
      isRetry: cause !== 'first' && cause !== 'waited',
      pausedUntil: pausedUntil === undefined || interval === 0 ? pausedUntil : pausedUntil + countBefore(exchange) * interval
    }, time.now)
    if (decision.kind === 'refuse') return responses.refuse(exchange, decision.refusal, time)
    waitingQueue.add({ request, ...context.requestOrder.orderOf(exchange, time.now), expiresAt: decision.until })
  }

  const handleArrival = ({ request, call, connection }: Extract<ForwardInput, { kind: 'call.arrived' }>, time: DecisionTime): void => {
    const { now, moment } = time
    const admission = admitRequest(context, call, time)
    if (admission.kind === 'refused') return responses.sendRefusal(request, call.id, admission.refusal, 0, moment)
    const { route, workspace, service } = admission
    const exchange = createExchange({ request, call, route, workspace, service }, now)
    if (!shutdown.takes(exchange, connection, now)) return responses.sendRefusal(request, call.id, { kind: 'shuttingDown' }, 0, moment)
    exchanges.set(request, exchange)
    context.retries(service).recordRequest(now)
    noteQuotaArrival(context, exchange, now)
    tryPlacement(exchange, 'first', time)
  }

  /** Retries a request if the retry budget allows it, else refuses it with `fallback`. A retry that the worker rejects is charged to the budget, too. */
  const retry = (exchange: Exchange, cause: SendCause, fallback: Refusal, time: DecisionTime): void => {
    const { now } = time
    const allowed = exchange.retryCount < maxRetries && now < exchange.deadline &&
      context.retries(exchange.service).take(context.instances(), now)
    if (!allowed) return responses.refuse(exchange, fallback, time)
    exchange.retryCount++
    tryPlacement(exchange, cause, time)
    if (!exchanges.has(exchange.request)) context.retries(exchange.service).giveBack(now)
  }

  const canRetry = (exchange: Exchange, now: number): boolean => {
    const { route, sentTo, service, retryCount } = exchange
    if (retryCount >= maxRetries || sentTo.size >= route.maxWorkers) return false
    const hasOther = context.workers.live(service).some(worker => !sentTo.has(worker.id) && fitsOrigin(context, exchange, worker, now))
    return hasOther && context.retries(service).canTake(context.instances(), now)
  }

  const inputs = createAttemptInputs({
    context,
    suspectWorkers,
    attempts,
    heldAnswers,
    giveUpOversized,
    seconds,
    responses,
    retry,
    canRetry,
    placeAgain: (exchange, time) => tryPlacement(exchange, 'unsent', time)
  })

  /** Whether the worker's lifetime that got the attempt is not listed any more. */
  const isUnlisted = ({ worker, workerStartedAt }: Attempt): boolean => context.workers.get(worker)?.startedAt !== workerStartedAt

  /** Tries another worker for a request of an unreachable one, which may be silent and go on; gives the attempt up once the worker is not listed either. */
  const handleUnreachableWorker = (exchange: Exchange, attempt: Attempt, suspectedFor: number, time: DecisionTime): void => {
    if (hasRecentData(attempt, time.now)) return
    if (exchange.attempt === attempt) seconds.begin(exchange, attempt, 'unreachable', time)
    if (suspectedFor >= goneAfter && isUnlisted(attempt)) inputs.handleLostAttempt(exchange, attempt, 'silent', true, time)
  }

  const handleProbe = ({ worker, reachable, refused = false }: Extract<ForwardInput, { kind: 'worker.probed' }>, time: DecisionTime): void => {
    if (reachable) context.workerReach.noteConnected(worker, time.now)
    else context.workerReach.noteUnreachable(worker, suspectWorkers.isReportedByPeer(worker) ? 'alsoByPeer' : 'own', time.now)
    context.poisonRequests.noteProbed(worker, { reachable, refused }, time.now)
    const suspectedFor = suspectWorkers.handleProbeResult(worker, reachable, time.now)
    if (suspectedFor === undefined) return
    for (const exchange of exchanges.values()) {
      for (const attempt of [exchange.attempt, exchange.second]) {
        if (attempt?.worker === worker) isolation.run('unreachableWorker', exchange.request, time, () => handleUnreachableWorker(exchange, attempt, suspectedFor, time))
      }
    }
  }

  const handleInput = (input: ForwardInput, time: DecisionTime): void => {
    const { moment } = time
    switch (input.kind) {
      case 'call.arrived': return handleArrival(input, time)
      case 'call.unreadable': return responses.sendRefusal(input.request, 'none', { kind: 'unreadable', problem: input.problem }, 0, moment)
      case 'call.left': {
        const exchange = exchanges.get(input.request)
        if (exchange !== undefined) responses.abandon(exchange, input.reason, time.now)
        return
      }
      case 'worker.probed': return handleProbe(input, time)
      default: return relays.handle(input, time) ? undefined : inputs.handle(input, time)
    }
  }

  /** The request to which an input belongs. */
  const requestOf = (input: ForwardInput): number | undefined => {
    if ('request' in input) return input.request
    if (!('attempt' in input)) return undefined
    return (relayed.get(input.attempt) ?? attempts.find(input.attempt)?.exchange)?.request
  }

  const handle = (input: ForwardInput, moment: Moment): void => {
    const time = { now: moment.steady, moment }
    isolation.run(input.kind, requestOf(input), time, () => handleInput(input, time))
  }

  /** Whether a worker may be running the request now. */
  const isUnderWay = ({ attempt, relay }: Exchange): boolean => attempt !== undefined || relay !== undefined

  const expire = (exchange: Exchange, time: DecisionTime): void => {
    if (isUnderWay(exchange)) exchange.mayHaveRun = true
    responses.refuse(exchange, exchange.mayHaveRun ? { kind: 'late' } : { kind: 'lateUnsent' }, time)
  }

  const suspectIfLate = (attempt: Attempt, now: number): void => {
    if (attempt.doubted || !isLate(attempt, now)) return
    attempt.doubted = true
    suspectWorkers.markSuspect(attempt.worker, 'silent', now)
  }

  /** Suspects the worker of a late, silent or stalled attempt; a silent or stalled one gets a second attempt beside it. */
  const checkProgress = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    const { now } = time
    seconds.check(exchange, now)
    suspectIfLate(attempt, now)
    if (exchange.second !== undefined) suspectIfLate(exchange.second, now)
    if (!isStalled(exchange, attempt, now) && !isSilent(attempt, now)) return
    if (!attempt.silent) {
      attempt.silent = true
      noteFailure(context.loadOf(attempt.worker))
      suspectWorkers.markSuspect(attempt.worker, 'silent', now)
    }
    seconds.begin(exchange, attempt, 'silent', time)
  }

  const placeWaiting = (time: DecisionTime): void => {
    for (const { request } of waitingQueue.inOrder()) {
      const exchange = exchanges.get(request)
      if (exchange !== undefined) isolation.run('placeWaiting', request, time, () => tryPlacement(exchange, exchange.awaitsPeerFor ?? 'waited', time))
    }
  }

  const placeOne = (request: number, time: DecisionTime): void => {
    const exchange = exchanges.get(request)
    if (exchange?.awaitsPeerFor !== undefined && exchange.attempt === undefined) tryPlacement(exchange, exchange.awaitsPeerFor, time)
  }

  /** Whether this instance was held up until now, so that responses may have arrived that it has not read. */
  const wasHeldUp = (now: number): boolean => {
    const heldUp = now - lastTickAt > maxTickDelay
    lastTickAt = now
    return heldUp
  }

  const endIfBlocked = (exchange: Exchange, time: DecisionTime): void => {
    const { attempt, second } = exchange
    const block = context.poisonRequests.blockOf(exchange, time.now)
    if (block === undefined) return
    if (second !== undefined) attempts.fail(exchange, second, block, true, time.now)
    if (attempt?.flight.firstEventAt !== undefined) return
    if (attempt !== undefined) {
      exchange.mayHaveRun = true
      attempts.fail(exchange, attempt, block, true, time.now)
    }
    responses.refuse(exchange, { kind: block }, time)
  }

  const endBlocked = (time: DecisionTime): void => {
    for (const exchange of exchanges.values()) isolation.run('endBlocked', exchange.request, time, () => endIfBlocked(exchange, time))
  }

  /** Whether the request gets nothing from its worker, and another instance may take it. */
  const isHeldUp = (exchange: Exchange, attempt: Attempt, now: number): boolean =>
    !hasRecentData(attempt, now) && isRetryable(exchange) && context.retries(exchange.service).canTake(context.instances(), now)

  const passOnIfHeldUp = (exchange: Exchange, time: DecisionTime): void => {
    const { attempt, second } = exchange
    if (attempt === undefined || !isHeldUp(exchange, attempt, time.now)) return
    if (second !== undefined) attempts.fail(exchange, second, 'silent', true, time.now)
    attempts.fail(exchange, attempt, 'silent', true, time.now)
    exchange.mayHaveRun = true
    exchange.answerLost = true
    retry(exchange, exchange.events > 0 ? 'resume' : 'silent', { kind: 'broken' }, time)
  }

  const passOn = (service: string, time: DecisionTime): void => {
    for (const exchange of exchanges.values()) {
      if (exchange.service === service) isolation.run('passOn', exchange.request, time, () => passOnIfHeldUp(exchange, time))
    }
    placeWaiting(time)
  }

  const tick = (moment: Moment): void => {
    const time = { now: moment.steady, moment }
    const mayHaveUnread = wasHeldUp(time.now)
    isolation.run('suspectWorkers', undefined, time, () => suspectWorkers.tick(time.now))
    for (const exchange of exchanges.values()) {
      isolation.run('checkProgress', exchange.request, time, () => {
        if (exchange.deadline <= time.now) expire(exchange, time)
        else if (exchange.attempt !== undefined && !mayHaveUnread) checkProgress(exchange, exchange.attempt, time)
      })
    }
    for (const { request } of waitingQueue.removeExpired(time.now)) {
      const exchange = exchanges.get(request)
      if (exchange !== undefined) isolation.run('waitExpired', request, time, () => responses.refuse(exchange, { kind: 'noWorker' }, time))
    }
    placeWaiting(time)
  }

  return {
    handle,
    tick,
    endWaiting: moment => shutdown.endWaiting({ now: moment.steady, moment }),
    endAll: moment => shutdown.endAll({ now: moment.steady, moment }),
    placeWaiting: moment => placeWaiting({ now: moment.steady, moment }),
    placeOne: (request, moment) => placeOne(request, { now: moment.steady, moment }),
    size: () => exchanges.size,
    waiting: waitingQueue.size,
    passOn: (service, moment) => passOn(service, { now: moment.steady, moment }),
    endBlocked: moment => endBlocked({ now: moment.steady, moment }),
    probeWorker: (worker, now) => suspectWorkers.markSuspect(worker, 'cut', now),
    checkWorker: suspectWorkers.check,
    suspectWorker: (worker, now) => suspectWorkers.markSuspect(worker, 'peer', now),
    dump: () => ({ requests: exchanges.size, waiting: waitingQueue.size() })
  }
}
