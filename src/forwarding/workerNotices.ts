/**
 * Applies what workers state in their responses to what this instance knows of
 * them: that they are leaving, that they want a pause, which weights they hold,
 * or why they rejected a request. A response may arrive after its worker has
 * restarted, so statements count only for the lifetime that was addressed.
 */
import { assertNever } from '../errors.js'
import { firstEventOverhead, sharedParts } from '../placement/modelPlacement.js'
import { noteBrittle, noteFirstEvent, noteLoadCounts, notePause } from '../placement/workerLoad.js'
import type { AnswerHead } from '../ports/forwardPort.js'
import { exclude, excludeAfterRejection } from './exclusions.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { Attempt, Exchange } from './forwardingTypes.js'
import type { Rejection } from './rejection.js'
import type { SuspectWorkers } from './suspectWorkers.js'

/** Time, in ms, for which a worker without the newest weights that rejected a request is assumed to be loading them and gets no requests. */
const presumedLoadingTime = 250

/**
 * Applies the statements of a worker about itself.
 *
 * @param context - state of the instance
 * @param exchange - the request
 * @param attempt - the attempt that was answered
 * @param head - head of the worker's response
 * @param now - present time, in ms
 */
export const applyWorkerNotices = (context: ForwardingContext, { call: { id } }: Exchange, { worker, workerStartedAt }: Attempt, { leaving, retryAfter }: AnswerHead, now: number): void => {
  if (leaving === true && context.workers.noteLeaving(worker, workerStartedAt)) {
    context.log({ kind: 'workerLeaving', id, worker })
    context.announceLeaving(worker, workerStartedAt)
  }
  if (retryAfter === undefined || context.workers.get(worker)?.startedAt !== workerStartedAt) return
  notePause(context.loadOf(worker), retryAfter, now)
  context.log({ kind: 'workerPaused', id, worker, time: Math.round(retryAfter) })
}

/** Applies what a response states of the worker's limit; parameters as for `applyWorkerNotices`. */
export const applyLimit = (context: ForwardingContext, { call: { id } }: Exchange, { worker, workerStartedAt, sentAt }: Attempt, { limit, notRun, signed }: AnswerHead, now: number): void => {
  if (context.workers.get(worker)?.startedAt !== workerStartedAt) return
  const change = context.limits.applyResponse({ worker, startedAt: workerStartedAt, sentAt, ran: signed && !notRun, statement: limit }, now)
  if (change === 'withdrawn') context.log({ kind: 'workerUnlimited', id, worker })
  else if (change !== 'none' && limit?.kind === 'perSecond') context.log({ kind: 'workerLimited', id, worker, limit: limit.requests })
}

/** Applies the load counts and the version of the weights in the head of a response to the request; parameters as for `applyWorkerNotices`. */
export const applyResponseState = (context: ForwardingContext, { call: { prompt } }: Exchange, attempt: Attempt, { load, notRun, weightVersion, brittle }: AnswerHead, now: number): void => {
  noteBrittle(context.loadOf(attempt.worker), brittle)
  if (load !== undefined) noteLoadCounts(context.loadOf(attempt.worker), load, now)
  const worker = context.workers.get(attempt.worker)
  if (notRun || weightVersion === undefined || worker === undefined || prompt === undefined) return
  context.weights.noteHeld(worker, prompt.model, weightVersion)
}

/**
 * Applies the reason for which a worker rejected a request.
 *
 * @param context - state of the instance
 * @param suspectWorkers - failure detection of the instance
 * @param exchange - the request; the worker may be excluded from its further attempts
 * @param attempt - the rejected attempt
 * @param rejection - the reason
 * @param now - present time, in ms
 */
export const applyRejection = (context: ForwardingContext, suspectWorkers: SuspectWorkers, exchange: Exchange, attempt: Attempt, rejection: Rejection, now: number): void => {
  const { prompt } = exchange.call
  const worker = context.workers.get(attempt.worker)
  switch (rejection.kind) {
    case 'otherWorker':
      suspectWorkers.markSuspect(attempt.worker, 'otherWorker', now)
      exclude(exchange, attempt.worker)
      if (attempt.isFirstThere) exchange.sentTo.delete(attempt.worker)
      return
    case 'otherVersion':
      if (worker !== undefined && prompt !== undefined) context.weights.noteHeld(worker, prompt.model, rejection.held)
      context.weights.noteLoaded(attempt.worker)
      context.cachedPartsOf(attempt.worker).clear()
      return
    case 'unavailable':
      if (worker !== undefined && prompt !== undefined && !context.weights.holdsNewest(worker, prompt.model)) {
        context.weights.noteLoading(attempt.worker, now + presumedLoadingTime)
      }
      excludeAfterRejection(exchange, attempt, now)
      return
    default: assertNever(rejection)
  }
}

/**
 * Applies the first event of a stream: the worker has prefilled the prompt, and holds its parts.
 *
 * @param context - state of the instance
 * @param exchange - the request
 * @param attempt - the attempt
 * @param now - present time, in ms
 */
export const applyFirstEvent = (context: ForwardingContext, { call: { prompt } }: Exchange, attempt: Attempt, now: number): void => {
  noteFirstEvent(context.loadOf(attempt.worker), attempt.flight, firstEventOverhead, now)
  if (prompt === undefined || attempt.scope === undefined) return
  context.cachedPartsOf(attempt.worker).add(attempt.scope, prompt.parts)
  const newest = context.weights.newest(prompt.model)?.version
  if (attempt.storesParts && (newest === undefined || attempt.version === newest)) context.partStoreOf(sharedParts(prompt))?.index.add(attempt.scope, prompt.parts)
}
