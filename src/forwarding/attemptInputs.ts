/**
 * Handles what arrives for the attempts of requests: heads, bodies, ends and
 * failures. A response that is complete and valid goes to the caller; after any
 * other end the request goes on with its second attempt, is retried, or is refused.
 */
import { assertNever } from '../errors.js'
import { noteFailure, noteSuccess } from '../placement/workerLoad.js'
import { paceAt } from '../placement/workerPace.js'
import type { AnswerHead, ForwardInput } from '../ports/forwardPort.js'
import type { PoisonAttempt } from '../poisonRequests/poisonRequestsTypes.js'
import type { AttemptsInProgress } from './attemptsInProgress.js'
import type { CallerResponses } from './callerResponses.js'
import { exclude } from './exclusions.js'
import { isRetryable, isServerError, isStream, isSuccess } from './exchangeKind.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Attempt, AttemptEnd, Exchange, SendCause } from './forwardingTypes.js'
import type { HeldAnswers } from './heldAnswers.js'
import { promisesNotRun, type Refusal } from './refusal.js'
import { rejectionReason } from './rejection.js'
import { maxCrashes } from './retryLimits.js'
import type { SecondAttempts } from './secondAttempts.js'
import { goesOn, noteStreamEvent } from './streamContinuation.js'
import { noteBegin, noteEvents } from './streamProgress.js'
import type { SuspectWorkers } from './suspectWorkers.js'
import { rejectedRetryAfter } from './waitOrRefuse.js'
import { applyFirstEvent, applyLimit, applyRejection, applyResponseState, applyWorkerNotices } from './workerNotices.js'

/** An input that belongs to an attempt. */
export type AttemptInput = Extract<ForwardInput, { readonly attempt: number }>

/** What the handling depends on. */
export interface AttemptInputsOptions {
  readonly context: ForwardingContext
  readonly suspectWorkers: SuspectWorkers
  readonly attempts: AttemptsInProgress
  readonly heldAnswers: HeldAnswers
  /** Gives up an attempt or a relayed request whose answer is too large to be held; undefined stands for none. */
  readonly giveUpOversized: (id: number | undefined, time: DecisionTime) => void
  readonly seconds: SecondAttempts
  readonly responses: CallerResponses
  /** Retries a request if the retry budget allows it, else refuses it with `fallback`. */
  readonly retry: (exchange: Exchange, cause: SendCause, fallback: Refusal, time: DecisionTime) => void
  /** Sends a request that reached no worker to another one. */
  readonly placeAgain: (exchange: Exchange, time: DecisionTime) => void
  /** Whether a retry would be sent now. */
  readonly canRetry: (exchange: Exchange, now: number) => boolean
}

/** The handling of inputs of attempts. */
export interface AttemptInputs {
  readonly handle: (input: AttemptInput, time: DecisionTime) => void
  /** Ends an attempt that failed after the worker may have run the request; `cancel` closes its connection. */
  readonly handleLostAttempt: (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, time: DecisionTime) => void
}

const poisonAttemptOf = ({ id, worker, workerStartedAt, sentAt, head, flight }: Attempt): PoisonAttempt =>
  ({ id, worker, workerStartedAt, sentAt, answered: head !== undefined, begunAt: flight.firstEventAt })

/** Whether the worker has run the request from its beginning, and not just the rest of a stream. */
const isWholeRun = ({ call, firstEventAt }: Exchange, { flight }: Attempt): boolean =>
  call.resumeAfter === undefined && firstEventAt === flight.firstEventAt

/**
 * Creates the handling of inputs of attempts.
 *
 * @param options - state of the instance and the steps that follow the end of an attempt
 */
export const createAttemptInputs = ({ context, suspectWorkers, attempts, heldAnswers, giveUpOversized, seconds, responses, retry, placeAgain, canRetry }: AttemptInputsOptions): AttemptInputs => {
  const isSecond = (exchange: Exchange, attempt: Attempt): boolean => exchange.second === attempt

  const handleRejection = (exchange: Exchange, attempt: Attempt, head: AnswerHead, time: DecisionTime): void => {
    const rejection = rejectionReason(context, exchange, attempt, head)
    const reason = rejection.kind === 'unavailable' ? 'turnedAway' : rejection.kind
    applyRejection(context, suspectWorkers, exchange, attempt, rejection, time.now)
    if (rejection.kind === 'unavailable') context.requestOrder.noteTurnedAway(exchange, time.now)
    const wasSecond = isSecond(exchange, attempt)
    attempts.fail(exchange, attempt, reason, false, time.now)
    if (wasSecond || seconds.takeOver(exchange)) return
    retry(exchange, rejection.kind === 'otherVersion' ? 'otherVersion' : 'turnedAway', { kind: 'turnedAway', wait: rejectedRetryAfter }, time)
  }

  /** Whether the worker may have crashed of the request. */
  const mayHaveCrashed = (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, now: number): boolean =>
    (reason === 'cut' || reason === 'partialEvent') && context.poisonRequests.noteCut(poisonAttemptOf(attempt), exchange, now)

  const handleLostAttempt = (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, time: DecisionTime): void => {
    exchange.mayHaveRun = true
    if (reason !== 'failedAnswer') exchange.answerLost = true
    noteFailure(context.loadOf(attempt.worker))
    const wasSecond = isSecond(exchange, attempt)
    if (wasSecond) seconds.drop(exchange, attempt, reason, cancel, time.now)
    else attempts.fail(exchange, attempt, reason, cancel, time.now)
    if (mayHaveCrashed(exchange, attempt, reason, time.now)) exchange.crashCount++
    if (wasSecond) return
    if (!isRetryable(exchange)) return responses.refuse(exchange, { kind: 'broken' }, time)
    exclude(exchange, attempt.worker)
    if (seconds.takeOver(exchange)) return
    if (exchange.crashCount >= maxCrashes) return responses.refuse(exchange, { kind: 'broken' }, time)
    retry(exchange, exchange.events > 0 ? 'resume' : 'failed', { kind: 'broken' }, time)
  }

  const handleUnsent = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    const wasSecond = isSecond(exchange, attempt)
    attempts.fail(exchange, attempt, 'unsent', false, time.now)
    context.workerReach.noteUnreachable(attempt.worker, 'own', time.now)
    suspectWorkers.markSuspect(attempt.worker, 'unreachable', time.now)
    exclude(exchange, attempt.worker)
    if (attempt.isFirstThere) exchange.sentTo.delete(attempt.worker)
    if (wasSecond) exchange.secondCount--
    if (wasSecond || seconds.takeOver(exchange)) return
    if (time.now >= exchange.deadline) responses.refuse(exchange, { kind: 'lateUnsent' }, time)
    else placeAgain(exchange, time)
  }

  const handleHead = (exchange: Exchange, attempt: Attempt, head: AnswerHead, time: DecisionTime): void => {
    const { now } = time
    const { call } = exchange
    attempt.head = head
    attempt.headAt = now
    attempt.lastDataAt = now
    noteBegin(attempt.progress, now)
    context.workerReach.noteHeard(attempt.worker, now)
    if (head.requestId !== undefined && head.requestId !== call.id) return handleLostAttempt(exchange, attempt, 'garbled', true, time)
    applyWorkerNotices(context, exchange, attempt, head, now)
    applyLimit(context, exchange, attempt, head, now)
    applyResponseState(context, exchange, attempt, head, now)
    if (head.notRun) return
    if (isSuccess(head.status) && !head.signed) handleLostAttempt(exchange, attempt, 'garbled', true, time)
  }

  /** Makes the attempt that has brought something the only one of its request, and begins the response if it is a stream. */
  const settleOn = (exchange: Exchange, attempt: Attempt, head: AnswerHead, now: number): void => {
    if (isSecond(exchange, attempt)) seconds.prefer(exchange, now)
    else seconds.cancel(exchange, now)
    if (!isStream(exchange, head)) return
    if (!exchange.headSent) responses.open(exchange, head)
    if (attempt.body.size() === 0) return
    context.emit({ kind: 'call.write', request: exchange.request, bytes: attempt.body.bytes() })
    attempt.body.clear()
  }

  /** Passes comments on, which show that the worker is alive but are no event; those of a second attempt are held until it has brought one. */
  const passComments = (exchange: Exchange, attempt: Attempt, head: AnswerHead, bytes: Buffer): void => {
    if (bytes.length === 0) return
    if (isSecond(exchange, attempt)) {
      attempt.body.push(bytes)
      return
    }
    if (!exchange.headSent) responses.open(exchange, head)
    context.emit({ kind: 'call.write', request: exchange.request, bytes })
  }

  const handleData = (exchange: Exchange, attempt: Attempt, bytes: Buffer, time: DecisionTime): void => {
    const { now } = time
    attempt.lastDataAt = now
    const { head } = attempt
    if (head === undefined) return
    context.workerReach.noteHeard(attempt.worker, now)
    context.poisonRequests.noteHeard(attempt.worker, attempt.workerStartedAt, now)
    if (!isStream(exchange, head) || head.notRun) {
      attempt.silent = false
      attempt.body.push(bytes)
      return
    }
    const events = attempt.splitter.push(bytes)
    if (events === undefined) return
    if (events.count === 0) return passComments(exchange, attempt, head, events.bytes)
    const isFirst = attempt.flight.firstEventAt === undefined
    if (isFirst && !goesOn(exchange, events.bytes)) return handleLostAttempt(exchange, attempt, 'garbled', true, time)
    attempt.silent = false
    noteEvents(attempt.progress, now)
    settleOn(exchange, attempt, head, now)
    if (isFirst) {
      applyFirstEvent(context, exchange, attempt, now)
      context.poisonRequests.noteBegun(poisonAttemptOf(attempt), exchange, now)
    }
    noteStreamEvent(context, exchange, attempt, now)
    exchange.events += events.count
    exchange.firstEventAt ??= now
    exchange.lastEventAt = now
    if (events.lastId !== undefined) exchange.lastEventId = events.lastId
    context.emit({ kind: 'call.write', request: exchange.request, bytes: events.bytes })
  }

  const complete = (exchange: Exchange, attempt: Attempt, head: AnswerHead, now: number): void => {
    settleOn(exchange, attempt, head, now)
    const isPlainSuccess = !isStream(exchange, head) && isSuccess(head.status)
    if (isServerError(head.status)) noteFailure(context.loadOf(attempt.worker))
    const load = context.loadOf(attempt.worker)
    noteSuccess(load, isPlainSuccess ? (now - attempt.sentAt) / paceAt(load.pace, now) : undefined)
    responses.complete(exchange, attempt, head, now)
  }

  /** Whether another attempt may still bring a better response than an error. */
  const hasAlternative = (exchange: Exchange, attempt: Attempt, now: number): boolean =>
    isSecond(exchange, attempt) || exchange.second !== undefined || canRetry(exchange, now)

  const handleEnd = (exchange: Exchange, attempt: Attempt, time: DecisionTime): void => {
    const { head } = attempt
    if (head === undefined) return handleLostAttempt(exchange, attempt, 'garbled', false, time)
    if (head.notRun) return handleRejection(exchange, attempt, head, time)
    if (isStream(exchange, head) && attempt.splitter.hasPartialEvent()) return handleLostAttempt(exchange, attempt, 'partialEvent', false, time)
    if (isWholeRun(exchange, attempt)) context.poisonRequests.noteCompleted(poisonAttemptOf(attempt), exchange, time.now)
    const isRetryableError = isServerError(head.status) && isRetryable(exchange) && !exchange.headSent
    if (isRetryableError && hasAlternative(exchange, attempt, time.now)) return handleLostAttempt(exchange, attempt, 'failedAnswer', false, time)
    // Only the attempt that brought events can say that the stream is complete.
    if (isSecond(exchange, attempt) && isStream(exchange, head)) return handleLostAttempt(exchange, attempt, 'failedAnswer', false, time)
    if (exchange.headSent && !isStream(exchange, head)) return handleLostAttempt(exchange, attempt, 'failedAnswer', false, time)
    // The worker speaks for this attempt only; an earlier one may have run.
    if ((exchange.answerLost === true || exchange.second !== undefined) && promisesNotRun(head.status)) return handleLostAttempt(exchange, attempt, 'failedAnswer', false, time)
    complete(exchange, attempt, head, time.now)
  }

  const handle = (input: AttemptInput, time: DecisionTime): void => {
    const found = attempts.find(input.attempt)
    if (found === undefined) return
    const { exchange, attempt } = found
    switch (input.kind) {
      case 'attempt.head': return handleHead(exchange, attempt, input.head, time)
      case 'attempt.data':
        handleData(exchange, attempt, input.bytes, time)
        return attempts.find(attempt.id) === undefined ? undefined : giveUpOversized(heldAnswers.note(attempt), time)
      case 'attempt.ended': return handleEnd(exchange, attempt, time)
      case 'attempt.failed':
        if (input.failure === 'unsent') return handleUnsent(exchange, attempt, time)
        if (attempt.head?.notRun === true) return handleRejection(exchange, attempt, attempt.head, time)
        return handleLostAttempt(exchange, attempt, input.failure, false, time)
      default: assertNever(input)
    }
  }

  return { handle, handleLostAttempt }
}
