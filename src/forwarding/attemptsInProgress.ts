/**
 * The attempts of one instance that have not ended. A request has at most two:
 * its current attempt and, while that one is silent, a second one at another worker.
 */
import { assertNever } from '../errors.js'
import { noteAbandoned, noteEnded } from '../placement/workerLoad.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { Attempt, AttemptEnd, Exchange } from './forwardingTypes.js'
import type { HeldAnswers } from './heldAnswers.js'

/** An attempt and the request that it belongs to. */
export interface ExchangeAttempt {
  readonly exchange: Exchange
  readonly attempt: Attempt
}

/** The attempts in progress; times in ms. */
export interface AttemptsInProgress {
  /** Returns the id of the next attempt. */
  readonly nextId: () => number
  /** Adds the current attempt of a request. */
  readonly begin: (exchange: Exchange, attempt: Attempt) => void
  /** Adds the second attempt of a request. */
  readonly beginSecond: (exchange: Exchange, attempt: Attempt) => void
  readonly find: (id: number) => ExchangeAttempt | undefined
  /** Removes an attempt whose response has arrived whole. */
  readonly complete: (exchange: Exchange, attempt: Attempt) => void
  /** Removes an attempt that is not needed any more, and closes its connection. */
  readonly cancel: (exchange: Exchange, attempt: Attempt, now: number) => void
  /** Removes an attempt that brought no usable response; `cancel` also closes its connection. */
  readonly fail: (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, now: number) => void
  /** Cancels all attempts of a request. */
  readonly cancelAll: (exchange: Exchange, now: number) => void
}

/** Whether the end may be that of the worker, so that it matters whether the same request ended others. */
const isBrokenConnection = (reason: AttemptEnd): boolean => reason === 'cut' || reason === 'partialEvent'

/** Whether the worker may still run the request, as the attempt ended without the end of its response. */
const mayRunOn = (reason: AttemptEnd): boolean => {
  switch (reason) {
    case 'cut':
    case 'garbled':
    case 'oversized': return true
    // These are of attempts that this instance itself closes.
    case 'silent':
    case 'blockedPart':
    case 'blockedRequest': return true
    case 'unsent':
    case 'turnedAway':
    case 'otherWorker':
    case 'otherVersion':
    case 'failedAnswer':
    case 'partialEvent': return false
    default: return assertNever(reason)
  }
}

/**
 * Creates the table of attempts, which is empty.
 *
 * @param context - state and outputs of the instance
 * @param heldAnswers - what is held of the attempts' responses
 */
export const createAttemptsInProgress = (context: Pick<ForwardingContext, 'loadOf' | 'poisonRequests' | 'fingerprintOf' | 'emit' | 'log'>, heldAnswers: Pick<HeldAnswers, 'release'>): AttemptsInProgress => {
  const attempts = new Map<number, ExchangeAttempt>()
  let lastId = 0

  const remove = (exchange: Exchange, attempt: Attempt): void => {
    attempts.delete(attempt.id)
    heldAnswers.release(attempt.id)
    if (exchange.attempt === attempt) exchange.attempt = undefined
    if (exchange.second === attempt) exchange.second = undefined
  }

  const removeEnded = (exchange: Exchange, attempt: Attempt): void => {
    noteEnded(context.loadOf(attempt.worker), attempt.flight)
    remove(exchange, attempt)
  }

  /** Removes an attempt whose worker may run on, as nothing has said that it does not. */
  const removeAbandoned = (exchange: Exchange, attempt: Attempt, now: number): void => {
    noteAbandoned(context.loadOf(attempt.worker), attempt.flight, exchange.deadline, now)
    remove(exchange, attempt)
  }

  const close = (attempt: Attempt): void => {
    context.poisonRequests.noteCancelled(attempt.worker, attempt.id)
    context.emit({ kind: 'attempt.cancel', attempt: attempt.id })
  }

  const cancel = (exchange: Exchange, attempt: Attempt, now: number): void => {
    const { worker, sentAt, flight: { firstEventAt } } = attempt
    context.log({
      kind: 'attemptCancelled',
      id: exchange.call.id,
      worker,
      after: Math.round(now - sentAt),
      ...(firstEventAt === undefined ? {} : { begun: Math.round(now - firstEventAt) })
    })
    removeAbandoned(exchange, attempt, now)
    close(attempt)
  }

  const fail = (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, givenUp: boolean, now: number): void => {
    const { worker, workerStartedAt, sentAt, lastDataAt, head, flight: { firstEventAt } } = attempt
    context.log({
      kind: 'attemptFailed',
      id: exchange.call.id,
      worker,
      reason,
      after: Math.round(now - sentAt),
      ...(firstEventAt === undefined ? {} : { begun: Math.round(now - firstEventAt) }),
      startedAt: workerStartedAt,
      quiet: Math.round(now - lastDataAt),
      givenUp,
      ...(reason === 'turnedAway' && head?.load !== undefined ? { stated: head.load.running + head.load.waiting } : {}),
      ...(isBrokenConnection(reason) ? { request: context.fingerprintOf(exchange) } : {})
    })
    if (exchange.attempt === attempt) exchange.lastFailure = { worker, reason }
    if (givenUp || mayRunOn(reason)) removeAbandoned(exchange, attempt, now)
    else removeEnded(exchange, attempt)
    if (givenUp) close(attempt)
  }

  return {
    nextId: () => {
      lastId++
      return lastId
    },
    begin: (exchange, attempt) => {
      exchange.attempt = attempt
      attempts.set(attempt.id, { exchange, attempt })
    },
    beginSecond: (exchange, attempt) => {
      exchange.second = attempt
      attempts.set(attempt.id, { exchange, attempt })
    },
    find: id => attempts.get(id),
    complete: removeEnded,
    cancel,
    fail,
    cancelAll: (exchange, now) => {
      for (const attempt of [exchange.attempt, exchange.second]) if (attempt !== undefined) cancel(exchange, attempt, now)
    }
  }
}
