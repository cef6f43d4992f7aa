/**
 * Second attempts of model requests whose worker is silent. A silent worker may be
 * about to go on, so the current attempt is kept until a second one at another worker
 * has brought an event of its stream. Whichever attempt is first to bring one is the
 * request's only one from then on, and the other is cancelled at once, so that no
 * answer has events of two runs.
 */
import { chooseAnotherWorker } from './anotherWorker.js'
import { dropAttempt, dropSecond, hasReachedMaxTokens, type EngineAction } from './modelCompletion.js'
import { dispatchSecond } from './modelDispatch.js'
import type { RequestsContext } from './requestsContext.js'
import { maxRecoveries, type ModelAttempt, type ModelRequest } from './requestsTypes.js'

/** Least time between two searches for a second attempt of one request, in ms. */
const minInterval = 250
/** Multiple of the expected wait that must have passed before a missing first token counts as overdue. */
const overdueWaitFactor = 4
/** Multiple of `stallTimeout` after which a silent attempt of a started stream counts as failed. */
const maxSilenceFactor = 10

const isFirstTokenOverdue = (request: ModelRequest, attempt: ModelAttempt, now: number): boolean => {
  const waited = now - attempt.startedAt
  const expected = attempt.flight?.choice.expectedWait ?? 0
  return waited >= (request.deadline - attempt.startedAt) / 2 && waited >= overdueWaitFactor * expected
}

/** How long an attempt of a started stream has brought nothing, in ms; 0 while its caller does not read. */
const silenceOf = (request: ModelRequest, attempt: ModelAttempt, now: number): number =>
  request.blocked ? 0 : now - Math.max(request.lastTokenAt ?? 0, attempt.startedAt, request.readyAt ?? 0)

/** Whether the answer lacks nothing but the end of its stream. */
const isAnswerWhole = (request: ModelRequest): boolean => request.relay.finishReason !== undefined || hasReachedMaxTokens(request)

/**
 * Whether an attempt of a started stream has been silent for so long that it counts as ended.
 *
 * @param context - state and services of this instance
 * @param request - a request with a first token
 * @param attempt - its current attempt
 * @param now - current time in ms
 */
export const isLost = ({ options }: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): boolean =>
  silenceOf(request, attempt, now) >= (isAnswerWhole(request) ? 1 : maxSilenceFactor) * options.stallTimeout

/** Whether this instance reaches the process that the attempt was sent to. */
const isReachable = (context: RequestsContext, { endpoint, incarnation }: ModelAttempt): boolean => {
  const known = context.endpoint(endpoint)
  return known?.incarnation === incarnation && known.state !== 'suspect'
}

/** Takes a second attempt from the retry budget; that of a started stream at a worker out of reach is free, as is its continuation after a cut. */
const takeRetry = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, expectedWait: number, now: number): boolean => {
  const { workspace, firstTokenAt } = request
  if (firstTokenAt !== undefined && !isReachable(context, attempt)) return true
  const deadline = firstTokenAt === undefined ? request.deadline : Infinity
  return context.limits.retry({ workspace, deadline, retried: false, expectedWait }, now).isOk()
}

const begin = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): boolean => {
  if (now < request.nextSecondAt || request.recoveries >= maxRecoveries) return false
  request.nextSecondAt = now + minInterval
  const { second } = request
  const exclude = [...request.tried, attempt.endpoint, ...second === undefined ? [] : [second.endpoint]]
  const choice = chooseAnotherWorker(context, request, exclude, now)
  if (choice === undefined || !takeRetry(context, request, attempt, choice.expectedWait, now)) return false
  if (second !== undefined) failSecond(context, request, second, 'cancel')
  request.sent = true
  dispatchSecond(context, request, choice, now)
  return true
}

/**
 * Sends a request whose first token is overdue to another worker, too, at most once, if
 * another worker and enough time are left and the retry budget allows it.
 *
 * @param context - state and services of this instance
 * @param request - a request without a first token
 * @param now - current time in ms
 */
export const beginIfOverdue = (context: RequestsContext, request: ModelRequest, now: number): void => {
  const { attempt, second } = request
  if (attempt === undefined || second !== undefined || request.tried.length > 0 || !isFirstTokenOverdue(request, attempt, now)) return
  if (begin(context, request, attempt, now)) reportTimeout(context, attempt.endpoint)
}

/**
 * Sends a started stream whose worker is silent to another worker, too, if the retry
 * budget allows it. A second attempt that is silent itself makes room for another one.
 *
 * @param context - state and services of this instance
 * @param request - a request with a first token
 * @param now - current time in ms
 */
export const beginIfStalled = (context: RequestsContext, request: ModelRequest, now: number): void => {
  const { attempt, second, disconnectedAt } = request
  if (attempt === undefined || disconnectedAt !== undefined) return
  if (silenceOf(request, second ?? attempt, now) < context.options.stallTimeout) return
  if (begin(context, request, attempt, now)) context.metrics.streamFaults.inc({ fault: 'stalled' })
}

/**
 * Ends a second attempt that brought nothing.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param second - its second attempt
 * @param engineAction - what to do with the engine's work
 */
export const failSecond = (context: RequestsContext, request: ModelRequest, second: ModelAttempt, engineAction: EngineAction): void => {
  request.recoveries++
  request.tried.push(second.endpoint)
  dropSecond(context, request, engineAction)
}

/**
 * Makes the second attempt the current one after that has ended.
 *
 * @param request - the request
 * @returns false if there is no second attempt
 */
export const takeOver = (request: ModelRequest): boolean => {
  const { second } = request
  if (second === undefined) return false
  request.second = undefined
  request.attempt = second
  request.weightVersion = second.weightVersion
  return true
}

/**
 * Decides between two attempts once one of them has brought an event: the other one is cancelled.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param attempt - the attempt that brought the event
 */
export const keepOnly = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt): void => {
  if (request.attempt !== undefined && attempt === request.second) {
    request.recoveries++
    request.tried.push(request.attempt.endpoint)
    dropAttempt(context, request, 'cancel')
    takeOver(request)
  }
  dropSecond(context, request, 'cancel')
}

/**
 * Reports to the endpoint registry that a worker did not answer in time.
 *
 * @param context - state and services of this instance
 * @param endpoint - the worker
 */
export const reportTimeout = (context: RequestsContext, endpoint: string): void =>
  context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint, outcome: 'timeout' } })
