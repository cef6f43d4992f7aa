/**
 * The attempts of one instance that have not ended. A request has at most two:
 * its current attempt and, while that one is silent, a second one at another worker.
 */
import { noteEnded } from '../placement/workerLoad.js'
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
  /** Removes an attempt; `cancel` also closes its connection. */
  readonly end: (exchange: Exchange, attempt: Attempt, cancel: boolean) => void
  /** Removes an attempt that brought no usable response; `cancel` also closes its connection. */
  readonly fail: (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, now: number) => void
  /** Cancels all attempts of a request. */
  readonly cancelAll: (exchange: Exchange) => void
}

/** Whether the end may be that of the worker, so that it matters whether the same request ended others. */
const isBrokenConnection = (reason: AttemptEnd): boolean => reason === 'cut' || reason === 'partialEvent'

/**
 * Creates the table of attempts, which is empty.
 *
 * @param context - state and outputs of the instance
 * @param heldAnswers - what is held of the attempts' responses
 */
export const createAttemptsInProgress = (context: Pick<ForwardingContext, 'loadOf' | 'poisonRequests' | 'fingerprintOf' | 'emit' | 'log'>, heldAnswers: Pick<HeldAnswers, 'release'>): AttemptsInProgress => {
  const attempts = new Map<number, ExchangeAttempt>()
  let lastId = 0

  const end = (exchange: Exchange, attempt: Attempt, cancel: boolean): void => {
    noteEnded(context.loadOf(attempt.worker), attempt.flight)
    attempts.delete(attempt.id)
    heldAnswers.release(attempt.id)
    if (exchange.attempt === attempt) exchange.attempt = undefined
    if (exchange.second === attempt) exchange.second = undefined
    if (!cancel) return
    context.poisonRequests.noteCancelled(attempt.worker, attempt.id)
    context.emit({ kind: 'attempt.cancel', attempt: attempt.id })
  }

  const fail = (exchange: Exchange, attempt: Attempt, reason: AttemptEnd, cancel: boolean, now: number): void => {
    const { worker, workerStartedAt, sentAt, lastDataAt, flight: { firstEventAt } } = attempt
    context.log({
      kind: 'attemptFailed',
      id: exchange.call.id,
      worker,
      reason,
      after: Math.round(now - sentAt),
      ...(firstEventAt === undefined ? {} : { begun: Math.round(now - firstEventAt) }),
      startedAt: workerStartedAt,
      quiet: Math.round(now - lastDataAt),
      givenUp: cancel,
      ...(isBrokenConnection(reason) ? { request: context.fingerprintOf(exchange) } : {})
    })
    if (exchange.attempt === attempt) exchange.lastFailure = { worker, reason }
    end(exchange, attempt, cancel)
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
    end,
    fail,
    cancelAll: exchange => {
      for (const attempt of [exchange.attempt, exchange.second]) if (attempt !== undefined) end(exchange, attempt, true)
    }
  }
}
