/**
 * Forwards requests: finds route and workspace, sends each request to a worker,
 * passes the answer on unchanged, and decides what follows when a worker turns
 * it away, breaks off, keeps silent or answers something else. A request that is
 * given up is answered at once.
 */
import { createWaitingQueue } from '../admission/waitingQueue.js'
import { assertNever } from '../errors.js'
import type { Moment } from '../lease/readLease.js'
import type { AnswerHead, Call, ForwardInput } from '../ports/forwardPort.js'
import { noteLoadCounts, noteEnded, noteFailure, noteFirstEvent, noteSuccess } from '../placement/workerLoad.js'
import { firstEventOverhead } from '../placement/modelPlacement.js'
import { admitRequest } from './admitRequest.js'
import { createSuspectWorkers } from './suspectWorkers.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Attempt, AttemptEnd, Exchange, SendCause } from './forwardingTypes.js'
import { placeRequest } from './placeRequest.js'
import { refusalResponse, outcomeOf, type Refusal } from './refusal.js'
import { rejectionReason, type Rejection } from './rejection.js'
import { hasRecentData, isLate, isSilent, isStalled } from './attemptTimeouts.js'

/** The forwarding of one instance. */
export interface Forwarding {
  readonly handle: (input: ForwardInput, moment: Moment) => void
  /** Turns away and gives up what has used its time, and tries again what waits. */
  readonly tick: (moment: Moment) => void
  /** Requests in progress. */
  readonly size: () => number
  /** Whether a request waits for a worker of any service. */
  readonly waiting: () => number
  /** Another instance could not reach a worker. */
  readonly suspectWorker: (worker: string, now: number) => void
  readonly dump: () => unknown
}

/** Part of its objective for which a request may wait here while no worker can take it. */
const waitShare = 0.5
/** Time out of reach, in ms, after which requests that may not run elsewhere are given up. */
const giveUpAfter = 1_500
/** Repeats of one request beyond which its caller is told. */
const repeatLimit = 4
/** A worker that is full or away is likely to take work again after this time, in ms. */
const turnedAwayPause = 120
/** Time for which a worker that turned a request away while weights are being changed is left alone, in ms. */
const presumedLoad = 250
/** Worker errors from here on may pass elsewhere. */
const firstServerError = 500

const isSuccess = (status: number): boolean => status >= 200 && status < 300

/** Whether the request may run on another worker although the first may have run it. */
const isRepeatable = ({ route }: Exchange): boolean => route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)

/**
 * Creates the forwarding of one instance.
 *
 * @param context - knowledge and outlets of the instance
 */
export const createForwarding = (context: ForwardingContext): Forwarding => {
  const exchanges = new Map<number, Exchange>()
  const byAttempt = new Map<number, Exchange>()
  const line = createWaitingQueue()
  const doubts = createSuspectWorkers(context)
  let lastAttempt = 0

  const elapsed = (exchange: Exchange, now: number): number => Math.round(now - exchange.arrivedAt)

  const answerRefusal = (request: number, id: string, refusal: Refusal, after: number, moment: Moment): void => {
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

  const forgetAttempt = (exchange: Exchange, cancel: boolean): void => {
    const { attempt } = exchange
    if (attempt === undefined) return
    noteEnded(context.loadOf(attempt.worker), attempt.flight)
    byAttempt.delete(attempt.id)
    exchange.attempt = undefined
    if (cancel) context.emit({ kind: 'attempt.cancel', attempt: attempt.id })
  }

  const forget = (exchange: Exchange): void => {
    exchanges.delete(exchange.request)
    line.remove(exchange.request)
  }

  const refuse = (exchange: Exchange, refusal: Refusal, { now, moment }: DecisionTime): void => {
    const { request, call } = exchange
    forget(exchange)
    if (exchange.headSent) {
      context.log({ kind: 'brokenOff', id: call.id, reason: refusal.kind, after: elapsed(exchange, now), events: exchange.events })
      context.emit({ kind: 'call.abort', request })
      return
    }
    const promised = exchange.mayHaveRun && outcomeOf(refusal) === 'not_run' ? { kind: 'broken' } as const : refusal
    answerRefusal(request, call.id, promised, elapsed(exchange, now), moment)
  }

  const tryPlace = (exchange: Exchange, cause: SendCause, time: DecisionTime): void => {
    lastAttempt++
    const placing = placeRequest(context, exchange, cause, lastAttempt, time)
    switch (placing.kind) {
      case 'sent':
        line.remove(exchange.request)
        byAttempt.set(lastAttempt, exchange)
        return
      case 'refused': return refuse(exchange, placing.refusal, time)
      case 'noneNow': return wait(exchange, cause, time)
      default: assertNever(placing)
    }
  }

  const wait = (exchange: Exchange, cause: SendCause, time: DecisionTime): void => {
    const { route, arrivedAt, deadline, workspace } = exchange
    const until = Math.min(deadline, arrivedAt + waitShare * route.objective)
    const someLive = context.workers.live(exchange.service).some(({ id }) => !exchange.excluded.has(id))
    const exhausted = exchange.sentTo.size >= route.maxWorkers
    if (time.now >= until || exhausted || (!someLive && cause !== 'first' && cause !== 'waited')) {
      refuse(exchange, exhausted ? { kind: 'turnedAway', wait: turnedAwayPause } : { kind: 'noWorker' }, time)
      return
    }
    line.add({ request: exchange.request, priority: workspace?.priority ?? route.priority, since: arrivedAt, expiresAt: until })
  }

  const arrive = (request: number, call: Call, time: DecisionTime): void => {
    const { now, moment } = time
    const admittance = admitRequest(context, call, time)
    if (admittance.kind === 'refused') return answerRefusal(request, call.id, admittance.refusal, 0, moment)
    const { route, workspace, service } = admittance
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
      mayHaveRun: false,
      attempt: undefined,
      headSent: false,
      lastEventId: undefined,
      events: 0,
      firstEventAt: undefined
    }
    exchanges.set(request, exchange)
    context.retries(service).recordRequest(now)
    tryPlace(exchange, 'first', time)
  }

  /** Sends a request once more if the budget allows it; an arrival at a worker uses the budget, also one that is turned away. */
  const again = (exchange: Exchange, cause: SendCause, otherwise: Refusal, time: DecisionTime): void => {
    const { now } = time
    const allowed = exchange.retryCount < repeatLimit && now < exchange.deadline &&
      context.retries(exchange.service).take(context.instances(), now)
    if (!allowed) return refuse(exchange, otherwise, time)
    exchange.retryCount++
    tryPlace(exchange, cause, time)
  }

  const failAttempt = (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, now: number): void => {
    context.log({ kind: 'attemptFailed', id: exchange.call.id, worker: attempt.worker, reason, after: Math.round(now - attempt.sentAt) })
    forgetAttempt(exchange, cancel)
  }

  const noteRejection = (exchange: Exchange, attempt: Attempt, rejection: Rejection, now: number): void => {
    const { prompt } = exchange.call
    const worker = context.workers.get(attempt.worker)
    switch (rejection.kind) {
      case 'otherWorker':
        doubts.markSuspect(attempt.worker, 'otherWorker', now)
        exchange.excluded.add(attempt.worker)
        exchange.sentTo.delete(attempt.worker)
        return
      case 'otherVersion':
        if (worker !== undefined && prompt !== undefined) context.weights.noteHeld(worker, prompt.model, rejection.held)
        context.weights.noteLoaded(attempt.worker)
        context.cachedPartsOf(attempt.worker).clear()
        return
      case 'unwilling':
        if (worker !== undefined && prompt !== undefined && !context.weights.holdsNewest(worker, prompt.model)) {
          context.weights.noteLoading(attempt.worker, now + presumedLoad)
        }
        exchange.excluded.add(attempt.worker)
        return
      default: assertNever(rejection)
    }
  }

  /** The worker says that the request has not run. */
  const turnedAway = (exchange: Exchange, attempt: Attempt, head: AnswerHead, time: DecisionTime): void => {
    const rejection = rejectionReason(context, exchange, attempt, head)
    noteRejection(exchange, attempt, rejection, time.now)
    failAttempt(exchange, attempt, rejection.kind === 'unwilling' ? 'turnedAway' : rejection.kind, false, time.now)
    again(exchange, rejection.kind === 'otherVersion' ? 'otherVersion' : 'turnedAway', { kind: 'turnedAway', wait: turnedAwayPause }, time)
  }

  /** The attempt is over and may have run. */
  const lost = (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, time: DecisionTime): void => {
    exchange.mayHaveRun = true
    noteFailure(context.loadOf(attempt.worker))
    failAttempt(exchange, attempt, reason, cancel, time.now)
    if (!isRepeatable(exchange)) return refuse(exchange, { kind: 'broken' }, time)
    exchange.excluded.add(attempt.worker)
    again(exchange, exchange.events > 0 ? 'resume' : 'failed', { kind: 'broken' }, time)
  }

  const unsent = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    failAttempt(exchange, attempt, 'unsent', false, time.now)
    doubts.markSuspect(attempt.worker, 'unreachable', time.now)
    exchange.excluded.add(attempt.worker)
    exchange.sentTo.delete(attempt.worker)
    if (time.now >= exchange.deadline) refuse(exchange, { kind: 'lateUnsent' }, time)
    else tryPlace(exchange, 'unsent', time)
  }

  const isStream = ({ route }: Exchange, head: AnswerHead): boolean => route.kind === 'stream' && isSuccess(head.status)

  const takeHead = (exchange: Exchange, attempt: Attempt, head: AnswerHead, time: DecisionTime): void => {
    const { now } = time
    const { call } = exchange
    attempt.head = head
    attempt.lastDataAt = now
    if (head.requestId !== undefined && head.requestId !== call.id) return lost(exchange, attempt, 'garbled', true, time)
    const load = context.loadOf(attempt.worker)
    if (head.load !== undefined) noteLoadCounts(load, head.load, now)
    if (head.notRun) return
    const worker = context.workers.get(attempt.worker)
    if (head.weightVersion !== undefined && worker !== undefined && call.prompt !== undefined) context.weights.noteHeld(worker, call.prompt.model, head.weightVersion)
    if (isSuccess(head.status) && !head.signed) return lost(exchange, attempt, 'garbled', true, time)
    if (!isStream(exchange, head)) return
    if (exchange.headSent) return
    exchange.headSent = true
    exchange.mayHaveRun = true
    context.emit({ kind: 'call.open', request: exchange.request, status: head.status, headers: head.headers })
  }

  const firstEvent = (exchange: Exchange, attempt: Attempt, now: number): void => {
    const load = context.loadOf(attempt.worker)
    noteFirstEvent(load, attempt.flight, firstEventOverhead, now)
    const { prompt } = exchange.call
    if (prompt === undefined || attempt.scope === undefined) return
    context.cachedPartsOf(attempt.worker).add(attempt.scope, prompt.parts)
    const newest = context.weights.newest(prompt.model)?.version
    if (attempt.storesParts && (newest === undefined || attempt.version === newest)) context.stored()?.add(attempt.scope, prompt.parts)
  }

  const takeData = (exchange: Exchange, attempt: Attempt, bytes: Buffer, now: number): void => {
    attempt.lastDataAt = now
    const { head } = attempt
    if (head === undefined) return
    if (!isStream(exchange, head) || head.notRun) {
      attempt.body.push(bytes)
      return
    }
    const events = attempt.splitter.push(bytes)
    if (events === undefined) return
    if (attempt.flight.firstEventAt === undefined) firstEvent(exchange, attempt, now)
    exchange.events += events.count
    exchange.firstEventAt ??= now
    if (events.lastId !== undefined) exchange.lastEventId = events.lastId
    context.emit({ kind: 'call.write', request: exchange.request, bytes: events.bytes })
  }

  const complete = (exchange: Exchange, attempt: Attempt, head: AnswerHead, now: number): void => {
    const load = context.loadOf(attempt.worker)
    const isPlain = !isStream(exchange, head)
    noteSuccess(load, isPlain && isSuccess(head.status) ? now - attempt.sentAt : undefined)
    forgetAttempt(exchange, false)
    forget(exchange)
    context.log({ kind: 'answered', id: exchange.call.id, worker: attempt.worker, status: head.status, after: elapsed(exchange, now), events: exchange.events, ...(exchange.firstEventAt === undefined ? {} : { first: Math.round(exchange.firstEventAt - exchange.arrivedAt) }) })
    if (isPlain) context.emit({ kind: 'call.answer', request: exchange.request, status: head.status, headers: head.headers, body: Buffer.concat(attempt.body) })
    else context.emit({ kind: 'call.end', request: exchange.request })
  }

  const takeEnd = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    const { head } = attempt
    if (head === undefined) return lost(exchange, attempt, 'garbled', false, time)
    if (head.notRun) return turnedAway(exchange, attempt, head, time)
    if (isStream(exchange, head) && attempt.splitter.hasPartialEvent()) return lost(exchange, attempt, 'partialEvent', false, time)
    const mayPass = head.status >= firstServerError && isRepeatable(exchange) && !exchange.headSent
    if (mayPass && canRepeat(exchange, time.now)) return lost(exchange, attempt, 'failedAnswer', false, time)
    if (exchange.headSent && !isStream(exchange, head)) return lost(exchange, attempt, 'failedAnswer', false, time)
    if (head.status >= firstServerError) noteFailure(context.loadOf(attempt.worker))
    complete(exchange, attempt, head, time.now)
  }

  const canRepeat = ({ route, sentTo, service, retryCount: repeats }: Exchange, now: number): boolean =>
    repeats < repeatLimit && sentTo.size < route.maxWorkers &&
    context.workers.live(service).some(({ id }) => !sentTo.has(id)) &&
    context.retries(service).canTake(context.instances(), now)

  const left = (exchange: Exchange, now: number): void => {
    context.log({ kind: 'callerLeft', id: exchange.call.id, after: elapsed(exchange, now), events: exchange.events })
    forgetAttempt(exchange, true)
    forget(exchange)
  }

  const handleAttempt = (input: Extract<ForwardInput, { readonly attempt: number }>, time: DecisionTime): void => {
    const exchange = byAttempt.get(input.attempt)
    const attempt = exchange?.attempt
    if (exchange === undefined || attempt?.id !== input.attempt) return
    switch (input.kind) {
      case 'attempt.head': return takeHead(exchange, attempt, input.head, time)
      case 'attempt.data': return takeData(exchange, attempt, input.bytes, time.now)
      case 'attempt.ended': return takeEnd(exchange, attempt, time)
      case 'attempt.failed':
        if (input.failure === 'unsent') return unsent(exchange, attempt, time)
        if (attempt.head?.notRun === true) return turnedAway(exchange, attempt, attempt.head, time)
        return lost(exchange, attempt, input.failure, false, time)
      default: assertNever(input)
    }
  }

  /** Requests at a worker that is out of reach go elsewhere, or are given up if they may not. */
  const leaveWorker = (exchange: Exchange, attempt: Attempt, doubted: number, time: DecisionTime): void => {
    if (hasRecentData(attempt, time.now)) return
    if (isRepeatable(exchange) && canRepeat(exchange, time.now)) return lost(exchange, attempt, 'silent', true, time)
    if (doubted < giveUpAfter) return
    exchange.mayHaveRun = true
    failAttempt(exchange, attempt, 'silent', true, time.now)
    refuse(exchange, { kind: 'broken' }, time)
  }

  const takeProbe = (worker: string, reachable: boolean, time: DecisionTime): void => {
    const doubted = doubts.handleProbeResult(worker, reachable, time.now)
    if (doubted === undefined) return
    for (const exchange of exchanges.values()) {
      if (exchange.attempt?.worker === worker) leaveWorker(exchange, exchange.attempt, doubted, time)
    }
  }

  const handle = (input: ForwardInput, moment: Moment): void => {
    const time = { now: moment.steady, moment }
    switch (input.kind) {
      case 'call.arrived': return arrive(input.request, input.call, time)
      case 'call.unreadable': return answerRefusal(input.request, 'none', { kind: 'unreadable', problem: input.problem }, 0, moment)
      case 'call.left': {
        const exchange = exchanges.get(input.request)
        if (exchange !== undefined) left(exchange, time.now)
        return
      }
      case 'worker.probed': return takeProbe(input.worker, input.reachable, time)
      default: return handleAttempt(input, time)
    }
  }

  const expire = (exchange: Exchange, time: DecisionTime): void => {
    const sent = exchange.attempt !== undefined
    if (exchange.attempt !== undefined) {
      exchange.mayHaveRun = true
      forgetAttempt(exchange, true)
    }
    refuse(exchange, sent || exchange.mayHaveRun ? { kind: 'late' } : { kind: 'lateUnsent' }, time)
  }

  /** Doubts silent workers; what may run elsewhere goes there. */
  const watch = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    const { now } = time
    if (!attempt.doubted && isLate(attempt, now)) {
      attempt.doubted = true
      doubts.markSuspect(attempt.worker, 'silent', now)
    }
    const stalled = isStalled(exchange, attempt, now)
    if (attempt.silent || (!stalled && !isSilent(attempt, now))) return
    attempt.silent = true
    noteFailure(context.loadOf(attempt.worker))
    doubts.markSuspect(attempt.worker, 'silent', now)
    if (!isRepeatable(exchange) || !canRepeat(exchange, now)) return
    exchange.mayHaveRun = true
    failAttempt(exchange, attempt, 'silent', true, now)
    exchange.excluded.add(attempt.worker)
    again(exchange, stalled ? 'resume' : 'silent', { kind: 'broken' }, time)
  }

  const tick = (moment: Moment): void => {
    const time = { now: moment.steady, moment }
    doubts.tick(time.now)
    for (const exchange of exchanges.values()) {
      if (exchange.deadline <= time.now) expire(exchange, time)
      else if (exchange.attempt !== undefined) watch(exchange, exchange.attempt, time)
    }
    for (const { request } of line.removeExpired(time.now)) {
      const exchange = exchanges.get(request)
      if (exchange !== undefined) refuse(exchange, { kind: 'noWorker' }, time)
    }
    for (const { request } of line.inOrder()) {
      const exchange = exchanges.get(request)
      if (exchange !== undefined) tryPlace(exchange, 'waited', time)
    }
  }

  return {
    handle,
    tick,
    size: () => exchanges.size,
    waiting: line.size,
    suspectWorker: (worker, now) => doubts.markSuspect(worker, 'peer', now),
    dump: () => ({ requests: exchanges.size, waiting: line.size() })
  }
}
