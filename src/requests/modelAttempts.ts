/** Recovers model requests from failed attempts. */
import type { RequestsContext } from './requestsContext.js'
import { complete, completeAtMaxTokens, dropAttempt, finish, hasReachedMaxTokens, type EngineAction } from './modelCompletion.js'
import { dispatch, resume } from './modelDispatch.js'
import { jitteredRetryAfter, fail } from './requestOutcomes.js'
import type { ModelAttempt, ModelRequest } from './requestsTypes.js'

/** Maximum number of recoveries of a request; after that the caller gets an error. */
const maxRecoveries = 4

/**
 * Why an attempt ended without a complete answer: no byte was sent (`unsent`); the
 * connection closed or the stream ended early (`cut`); no answer came in time
 * (`timeout`); data could not be parsed or came before the response head (`garbled`);
 * the answer belongs to another request (`crossed`); events are missing (`gap`); the
 * worker has other weights (`wrongVersion`); it refused the request with a retryable
 * status or answered without a stream (`busy`); it did not resume the stream (`lost`);
 * or no token came for `stallTimeout` (`stalled`).
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

const hasNoToolCalls = (request: ModelRequest): boolean => {
  const delta = request.relay.choice.delta as { tool_calls?: unknown } | undefined
  return delta?.tool_calls === undefined
}

/** Continues a started stream at another worker: only one with the same weights, and only if the answer so far is text, without tool calls. */
const continueAtAnotherWorker = (context: RequestsContext, request: ModelRequest, now: number): boolean => {
  if (!hasNoToolCalls(request)) return false
  const routingRequest = { ...request.routingRequest, weightVersion: request.weightVersion, exclude: request.tried }
  return context.routing.choose(routingRequest, context.endpoints(), now).match(
    choice => {
      dispatch(context, request, choice, 'continue', now)
      return true
    },
    () => false
  )
}

const retryAtAnotherWorker = (context: RequestsContext, request: ModelRequest, now: number): boolean => {
  if (now >= request.deadline) return false
  const routingRequest = { ...request.routingRequest, exclude: request.tried }
  const choice = context.routing.choose(routingRequest, context.endpoints(), now)
  if (choice.isErr()) return false
  const { workspace, deadline } = request
  const allowed = context.limits.retry({ workspace, deadline, retried: request.tried.length > 1, expectedWait: choice.value.expectedWait }, now)
  if (allowed.isErr()) return false
  dispatch(context, request, choice.value, 'retry', now)
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

/** Whether the caller already has events that this instance has not relayed yet; another worker would generate different ones. */
const isBehindCaller = ({ relay, forwardFrom }: ModelRequest): boolean => relay.next < forwardFrom

/**
 * Recovers from a failed attempt. A stream that was cut or has a gap is resumed
 * at the same engine if possible; otherwise the request goes to another worker.
 * If that is not possible either, the caller gets a typed error at once.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param fault - what ended the attempt
 * @param now - current time in ms
 */
export const recover = (context: RequestsContext, request: ModelRequest, fault: AttemptFault, now: number): void => {
  const { attempt } = request
  if (attempt === undefined) return
  if (request.relay.finishReason !== undefined) return complete(context, request, attempt, now)
  if (hasReachedMaxTokens(request)) return completeAtMaxTokens(context, request, attempt, now)
  request.sent ||= fault !== 'unsent'
  const endpointOutcome = endpointOutcomeOf(fault)
  if (endpointOutcome !== undefined) context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint: attempt.endpoint, outcome: endpointOutcome } })
  dropAttempt(context, request, engineActionFor(fault))
  context.metrics.streamFaults.inc({ fault })
  if (request.disconnectedAt !== undefined) return finish(context, request, now)
  const streamStarted = request.relay.next > 0
  request.recoveries++
  if (request.recoveries > maxRecoveries) return failRequest(context, request, now)
  const resumable = attempt.headReceived && (fault === 'cut' || fault === 'gap')
  if (resumable && resumeAtSameEngine(context, request, attempt, now)) return
  request.tried.push(attempt.endpoint)
  if (isBehindCaller(request)) return failRequest(context, request, now)
  if (streamStarted ? continueAtAnotherWorker(context, request, now) : retryAtAnotherWorker(context, request, now)) return
  failRequest(context, request, now)
}

/** Multiple of the expected wait that must have passed before a missing first token counts as overdue. */
const overdueWaitFactor = 4

const isFirstTokenOverdue = (request: ModelRequest, attempt: ModelAttempt, now: number): boolean => {
  const waited = now - attempt.startedAt
  const expected = attempt.flight?.choice.expectedWait ?? 0
  return waited >= (request.deadline - attempt.startedAt) / 2 && waited >= overdueWaitFactor * expected
}

/**
 * Moves a request from a worker whose first token is overdue to another worker,
 * at most once, if another worker and enough time are left and the retry budget
 * allows it. Otherwise the request keeps waiting.
 *
 * @param context - state and services of this instance
 * @param request - a request without a first token
 * @param now - current time in ms
 */
export const moveFromSilentWorker = (context: RequestsContext, request: ModelRequest, now: number): void => {
  const { attempt } = request
  if (attempt === undefined || request.tried.length > 0 || request.relay.next > 0 || isBehindCaller(request) || !isFirstTokenOverdue(request, attempt, now)) return
  const { workspace, deadline } = request
  const routingRequest = { ...request.routingRequest, exclude: [attempt.endpoint] }
  const choice = context.routing.choose(routingRequest, context.endpoints(), now)
  if (choice.isErr()) return
  if (context.limits.retry({ workspace, deadline, retried: false, expectedWait: choice.value.expectedWait }, now).isErr()) return
  reportTimeout(context, attempt.endpoint)
  request.sent = true
  request.tried.push(attempt.endpoint)
  dropAttempt(context, request, 'cancel')
  dispatch(context, request, choice.value, 'silent', now)
}

/**
 * Reports to the endpoint registry that a worker did not answer in time.
 *
 * @param context - state and services of this instance
 * @param endpoint - the worker
 */
export const reportTimeout = (context: RequestsContext, endpoint: string): void =>
  context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint, outcome: 'timeout' } })
