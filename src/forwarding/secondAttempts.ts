/**
 * Second attempts of requests whose worker is silent. A silent worker may be about
 * to go on, and only its connection holds what it has made, so the current attempt
 * is kept until a second one at another worker has brought something: a complete
 * event of a stream, or a complete plain response. Whichever attempt is first to do
 * so is the request's only one from then on, and the other is cancelled at once.
 */
import { noteFailure } from '../placement/workerLoad.js'
import type { AttemptsInProgress } from './attemptsInProgress.js'
import { isOverdue } from './attemptTimeouts.js'
import { isRetryable, isStream } from './exchangeKind.js'
import { exclude, withoutWorkers } from './exclusions.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Attempt, AttemptEnd, Exchange } from './forwardingTypes.js'
import { placeRequest } from './placeRequest.js'
import { maxSecondAttempts } from './retryLimits.js'

/** What speaks against the current attempt: its worker only sends nothing, or a probe does not reach it either. */
export type SilenceEvidence = 'silent' | 'unreachable'

/** The second attempts of one instance; times in ms. */
export interface SecondAttempts {
  /** Sends a request whose worker is silent to another worker, too, if its route, the retry budget and the workers allow it. */
  readonly begin: (exchange: Exchange, current: Attempt, evidence: SilenceEvidence, time: DecisionTime) => void
  /** Ends a second attempt whose worker has begun to run the request and does not go on. */
  readonly check: (exchange: Exchange, now: number) => void
  /** Ends a second attempt that brought no usable response, or none in time. */
  readonly drop: (exchange: Exchange, second: Attempt, reason: AttemptEnd, cancel: boolean, now: number) => void
  /** Ends a second attempt that is not needed any more, as the current one goes on. */
  readonly cancel: (exchange: Exchange, now: number) => void
  /** Makes the second attempt, which has brought something, the current one, and cancels that. */
  readonly prefer: (exchange: Exchange, now: number) => void
  /** Makes the second attempt the current one after that has failed; returns false if there is none. */
  readonly takeOver: (exchange: Exchange) => boolean
}

/** Least time between two second attempts of one request, in ms. */
const minInterval = 250
/** Longest time, in ms, for which two workers may run one stream: from the head of the second attempt's response to its first event. */
const maxOverlap = 300
/** Share of the retry budget that second attempts beside silent workers may use; the rest is kept for requests whose attempt has failed or whose worker is out of reach. */
const silentBudgetShare = 0.5

/**
 * Creates the second attempts of one instance.
 *
 * @param context - state and outputs of the instance
 * @param attempts - the attempts in progress
 */
export const createSecondAttempts = (context: ForwardingContext, attempts: AttemptsInProgress): SecondAttempts => {
  const drop = (exchange: Exchange, second: Attempt, reason: AttemptEnd, cancel: boolean, now: number): void => {
    exclude(exchange, second.worker)
    attempts.fail(exchange, second, reason, cancel, now)
  }

  const check = (exchange: Exchange, now: number): void => {
    const { second } = exchange
    if (second?.head === undefined || second.head.notRun || !isStream(exchange, second.head)) return
    if (now - (second.headAt ?? now) < maxOverlap) return
    noteFailure(context.loadOf(second.worker))
    drop(exchange, second, 'silent', true, now)
  }

  const isAllowed = (exchange: Exchange, evidence: SilenceEvidence, now: number): boolean =>
    isRetryable(exchange) && exchange.secondCount < maxSecondAttempts && now >= exchange.nextSecondAt &&
    context.retries(exchange.service).canTake(context.instances(), now, evidence === 'silent' ? silentBudgetShare : 1)

  const begin = (exchange: Exchange, current: Attempt, evidence: SilenceEvidence, time: DecisionTime): void => {
    const { now } = time
    const { second } = exchange
    if (second !== undefined && !isOverdue(second, now)) return
    if (!isAllowed(exchange, evidence, now)) return
    exchange.nextSecondAt = now + minInterval
    const inUse = [current, second].flatMap(attempt => attempt === undefined ? [] : [attempt.worker])
    const cause = exchange.events > 0 ? 'resume' : 'silent'
    const placement = withoutWorkers(exchange, inUse, () => placeRequest(context, exchange, cause, attempts.nextId(), time))
    // The answer of a coordinator is used as soon as it is there.
    if (placement.kind === 'awaitsPeer' && placement.asksCoordinator === true) exchange.nextSecondAt = now
    if (placement.kind !== 'sent') return
    if (second !== undefined) {
      noteFailure(context.loadOf(second.worker))
      drop(exchange, second, 'silent', true, now)
    }
    context.retries(exchange.service).take(context.instances(), now)
    exchange.secondCount++
    exchange.mayHaveRun = true
    attempts.beginSecond(exchange, placement.attempt)
  }

  const takeOver = (exchange: Exchange): boolean => {
    const { second } = exchange
    if (second === undefined) return false
    exchange.second = undefined
    exchange.attempt = second
    // It takes the place of a retry.
    exchange.retryCount++
    return true
  }

  return {
    begin,
    check,
    drop,
    cancel: (exchange, now) => { if (exchange.second !== undefined) attempts.cancel(exchange, exchange.second, now) },
    prefer: (exchange, now) => {
      if (exchange.attempt !== undefined) attempts.fail(exchange, exchange.attempt, 'silent', true, now)
      takeOver(exchange)
    },
    takeOver
  }
}
