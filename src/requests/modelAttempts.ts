/** Recovers model requests from failed attempts. */
import { chooseAnotherWorker, isBehindCaller } from './anotherWorker.js'
import type { RequestsContext } from './requestsContext.js'
import { complete, completeAtMaxTokens, dropAttempt, finish, hasReachedMaxTokens, type EngineAction } from './modelCompletion.js'
import { dispatch, resume } from './modelDispatch.js'
import { jitteredRetryAfter, fail } from './requestOutcomes.js'
import { maxRecoveries, type ModelAttempt, type ModelRequest } from './requestsTypes.js'
import { failSecond, takeOver } from './secondAttempts.js'

/**
 * Why an attempt ended without a complete answer: no byte was sent (`unsent`); the
 * connection closed or the stream ended early (`cut`); no answer came in time
 * (`timeout`); data could not be parsed or came before the response head (`garbled`);
 * the answer belongs to another request (`crossed`); events are missing (`gap`); the
 * worker has other weights (`wrongVersion`); it refused the request with a retryable
 * status or answered without a stream (`busy`); it did not resume the stream (`lost`);
 * or no token came for a multiple of `stallTimeout` (`stalled`).
 */
export type AttemptFault = 'unsent' | 'cut' | 'timeout' | 'garbled' | 'crossed' | 'gap' | 'wrongVersion' | 'busy' | 'lost' | 'stalled'

const failRequest = (context: RequestsContext, request: ModelRequest, now: number): void => {
  const outcome = request.sent ? 'unknown' : 'not_run'
  if (request.relay.next > 0 || request.forwardFrom > 0) fail(context, request, { kind: 'stream_interrupted', outcome: 'unknown' })
  else if (request.tried.length === 0) fail(context, request, { kind: 'no_endpoint', retryAfter: jitteredRetryAfter(context) })
  else fail(context, request, { kind: 'endpoint_failed', outcome, retryAfter: jitteredRetryAfter(context) })
  finish(context, request, now)
}

const resumeAtSameEngine = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): boolean => {
  const endpoint = context.endpoint(attempt.endpoint)
  if (endpoint?.incarnation !== attempt.incarnation) return false
  if (endpoint.state === 'gone') return false
  const { engineRequest, incarnation, weightVersion, base } = attempt
  return resume(context, request, { endpoint: endpoint.id, engineRequest, incarnation, weightVersion, base }, now)
}

const continueAtAnotherWorker = (context: RequestsContext, request: ModelRequest, now: number): boolean => {
  const choice = chooseAnotherWorker(context, request, request.tried, now)
  if (choice === undefined) return false
  dispatch(context, request, choice, 'continue', now)
  return true
}

const retryAtAnotherWorker = (context: RequestsContext, request: ModelRequest, now: number): boolean => {
  if (now >= request.deadline) return false
  const choice = chooseAnotherWorker(context, request, request.tried, now)
  if (choice === undefined) return false
  const { workspace, deadline } = request
  const allowed = context.limits.retry({ workspace, deadline, retried: request.tried.length > 1, expectedWait: choice.expectedWait }, now)
  if (allowed.isErr()) return false
  dispatch(context, request, choice, 'retry', now)
  return true
}

const endpointOutcomeOf = (fault: AttemptFault): 'refused' | 'cut' | 'timeout' | undefined => {
  switch (fault) {
    case 'unsent': return 'refused'
    case 'cut':
    case 'garbled': return 'cut'
    case 'timeout': return 'timeout'
    default: return undefined
  }
}

/** Returns what to do with the engine's work; after a gap it is detached, so that the same stream can be resumed. */
const engineActionFor = (fault: AttemptFault): EngineAction => {
  switch (fault) {
    case 'gap': return 'detach'
    case 'crossed':
    case 'wrongVersion':
    case 'garbled':
    case 'stalled': return 'cancel'
    default: return 'none'
  }
}

const reportOutcome = (context: RequestsContext, attempt: ModelAttempt, fault: AttemptFault): void => {
  const outcome = endpointOutcomeOf(fault)
  if (outcome !== undefined) context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint: attempt.endpoint, outcome } })
  context.metrics.streamFaults.inc({ fault })
}

/**
 * Recovers from a failed attempt. A stream that was cut or has a gap is resumed
 * at the same engine if possible; otherwise its second attempt takes over, or the
 * request goes to another worker. If that is not possible either, the caller gets a
 * typed error at once. A second attempt that has failed is only dropped.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param attempt - the attempt, its current or its second one
 * @param fault - what ended the attempt
 * @param now - current time in ms
 */
export const recover = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, fault: AttemptFault, now: number): void => {
  request.sent ||= fault !== 'unsent'
  if (attempt === request.second) {
    reportOutcome(context, attempt, fault)
    return failSecond(context, request, attempt, fault === 'gap' ? 'cancel' : engineActionFor(fault))
  }
  if (request.relay.finishReason !== undefined) return complete(context, request, attempt, now)
  if (hasReachedMaxTokens(request)) return completeAtMaxTokens(context, request, attempt, now)
  reportOutcome(context, attempt, fault)
  dropAttempt(context, request, engineActionFor(fault))
  if (request.disconnectedAt !== undefined) return finish(context, request, now)
  recoverCurrent(context, request, attempt, fault, now)
}

const recoverCurrent = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, fault: AttemptFault, now: number): void => {
  const isLast = ++request.recoveries > maxRecoveries
  const isRunning = attempt.headReceived || isBehindCaller(request)
  const resumable = !isLast && isRunning && (fault === 'cut' || fault === 'gap')
  if (resumable && resumeAtSameEngine(context, request, attempt, now)) return
  if (!isLast || request.second !== undefined) request.tried.push(attempt.endpoint)
  if (takeOver(request)) return
  if (isLast) return failRequest(context, request, now)
  const retried = request.relay.next > 0 ? continueAtAnotherWorker(context, request, now) : retryAtAnotherWorker(context, request, now)
  if (!retried) failRequest(context, request, now)
}
