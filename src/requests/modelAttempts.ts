/** Dispatches model requests to workers, and decides what follows a failed attempt. */
import { signStreamIdentity, streamFingerprint } from '../streams/resumeToken.js'
import type { Choice } from '../routing/routingTypes.js'
import type { EndpointRequest } from '../ports/endpointPort.js'
import { buildEngineBody } from './engineBody.js'
import type { RequestsContext } from './requestsContext.js'
import { complete, completeAtMaxTokens, dropAttempt, finish, hasReachedMaxTokens, type EngineAction } from './modelCompletion.js'
import { jitteredRetryAfter, fail } from './requestOutcomes.js'
import type { ModelAttempt, ModelRequest } from './requestsTypes.js'

/** Attempts to bring a started stream to its end; beyond it the caller is told. */
const recoveryLimit = 4

/** Why an attempt ended without a whole answer. */
export type AttemptFault = 'unsent' | 'cut' | 'timeout' | 'garbled' | 'crossed' | 'gap' | 'wrongVersion' | 'busy' | 'lost' | 'stalled'

interface Target {
  readonly endpoint: string
  readonly engineRequest: string
  readonly incarnation: string
  readonly weightVersion: string
  readonly base: number
}

const salt = (request: ModelRequest, weightVersion: string): string =>
  [request.workspace, request.routingQuery.model, request.routingQuery.adapter ?? '', weightVersion].join('/')

const stemOf = (context: RequestsContext, request: ModelRequest, target: Target): string => {
  const [key] = context.options.resumeKeys()
  if (key === undefined || !request.call.stream) return ''
  const { endpoint, engineRequest, incarnation, weightVersion } = target
  return signStreamIdentity(key, { workspace: request.workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint: streamFingerprint(request.fingerprint), arrived: request.arrived })
}

const engineRequestOf = (request: ModelRequest, target: Target, resumeFrom: number | undefined): EndpointRequest => ({
  kind: 'model',
  id: target.engineRequest,
  path: request.call.path,
  body: buildEngineBody(request.call, request.relay),
  identity: {
    workspace: request.workspace,
    model: request.routingQuery.model,
    adapter: request.routingQuery.adapter,
    weightVersion: target.weightVersion,
    incarnation: target.incarnation
  },
  cacheSalt: salt(request, target.weightVersion),
  priority: request.routingQuery.priority,
  ...(resumeFrom === undefined ? {} : { resumeFrom })
})

const send = (context: RequestsContext, request: ModelRequest, target: Target, cause: string, choice: Choice | undefined, resumeFrom: number | undefined, now: number): boolean => {
  const endpoint = context.endpoint(target.endpoint)
  if (endpoint === undefined) return false
  const attempt: ModelAttempt = {
    kind: 'model',
    attempt: context.db.nextAttempt(),
    request: request.request,
    ...target,
    flight: choice === undefined ? undefined : context.routing.started(request.routingQuery, choice, now),
    resumeTokenPrefix: stemOf(context, request, target),
    startedAt: now,
    headReceived: false
  }
  context.db.attempts.set(attempt.attempt, attempt)
  request.attempt = attempt
  context.metrics.attempts.inc({ cause })
  context.emit({ kind: 'endpoint.dispatch', attempt: attempt.attempt, endpoint: endpoint.id, address: endpoint.address, request: engineRequestOf(request, target, resumeFrom) })
  if (request.blocked) context.emit({ kind: 'endpoint.pause', attempt: attempt.attempt })
  return true
}

/**
 * Dispatches to a chosen worker, from the prompt on or, once a stream has
 * begun, from the prompt and the tokens already relayed.
 *
 * @param context - the node
 * @param request - the request
 * @param choice - the worker
 * @param cause - counted with the attempt
 * @param now - present time in ms
 */
export const dispatch = (context: RequestsContext, request: ModelRequest, choice: Choice, cause: string, now: number): void => {
  const { endpoint, incarnation, weightVersion } = choice
  const engineRequest = `${context.options.idPrefix}-${context.db.nextAttempt()}`
  if (request.publicId === '') request.publicId = engineRequest
  request.weightVersion = weightVersion
  send(context, request, { endpoint, engineRequest, incarnation, weightVersion, base: request.relay.next }, cause, choice, undefined, now)
}

/**
 * Takes up a stream at the engine that runs it.
 *
 * @param context - the node
 * @param request - the request
 * @param target - the stream, and the position in the caller's stream of its event 0
 * @param now - present time in ms
 * @returns false if the engine is not known here
 */
export const resume = (context: RequestsContext, request: ModelRequest, target: Target, now: number): boolean => {
  if (request.publicId === '') request.publicId = target.engineRequest
  request.weightVersion = target.weightVersion
  return send(context, request, target, 'resume', undefined, request.relay.next - target.base, now)
}

const giveUp = (context: RequestsContext, request: ModelRequest, now: number): void => {
  const outcome = request.sent ? 'unknown' : 'not_run'
  if (request.relay.next > 0 || request.forwardFrom > 0) fail(context, request, { kind: 'stream_interrupted', outcome: 'unknown' })
  else if (request.tried.length === 0) fail(context, request, { kind: 'no_endpoint', retryAfter: jitteredRetryAfter(context) })
  else fail(context, request, { kind: 'endpoint_failed', outcome, retryAfter: jitteredRetryAfter(context) })
  finish(context, request, now)
}

const sameEngineAgain = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): boolean => {
  const endpoint = context.endpoint(attempt.endpoint)
  if (endpoint?.incarnation !== attempt.incarnation) return false
  if (endpoint.state === 'gone') return false
  const { engineRequest, incarnation, weightVersion, base } = attempt
  return resume(context, request, { endpoint: endpoint.id, engineRequest, incarnation, weightVersion, base }, now)
}

const canContinue = (request: ModelRequest): boolean => {
  const delta = request.relay.choice.delta as { tool_calls?: unknown } | undefined
  return delta?.tool_calls === undefined
}

/** The worker may have begun: only the same weights may go on, and only with text that can be handed over. */
const continueElsewhere = (context: RequestsContext, request: ModelRequest, now: number): boolean => {
  if (!canContinue(request)) return false
  const question = { ...request.routingQuery, weightVersion: request.weightVersion, exclude: request.tried }
  return context.routing.choose(question, context.endpoints(), now).match(
    choice => {
      dispatch(context, request, choice, 'continue', now)
      return true
    },
    () => false
  )
}

const retryElsewhere = (context: RequestsContext, request: ModelRequest, now: number): boolean => {
  if (now >= request.deadline) return false
  const question = { ...request.routingQuery, exclude: request.tried }
  const choice = context.routing.choose(question, context.endpoints(), now)
  if (choice.isErr()) return false
  const { workspace, deadline } = request
  const allowed = context.limits.retry({ workspace, deadline, retried: request.tried.length > 1, expectedWait: choice.value.expectedWait }, now)
  if (allowed.isErr()) return false
  dispatch(context, request, choice.value, 'retry', now)
  return true
}

const evidenceOf = (fault: AttemptFault): 'refused' | 'cut' | 'timeout' | undefined => {
  switch (fault) {
    case 'unsent': return 'refused'
    case 'cut':
    case 'garbled': return 'cut'
    case 'timeout': return 'timeout'
    default: return undefined
  }
}

/** What to do with the engine's work: after a gap the same stream is taken up again. */
const leftoverOf = (fault: AttemptFault): EngineAction => {
  switch (fault) {
    case 'gap': return 'detach'
    case 'crossed':
    case 'wrongVersion':
    case 'garbled':
    case 'stalled': return 'cancel'
    default: return 'none'
  }
}

/** The caller already has events that are not relayed again yet; another worker would generate others. */
const isBehindCaller = ({ relay, forwardFrom }: ModelRequest): boolean => relay.next < forwardFrom

/**
 * Recovers from a failed attempt: at the same engine if the stream had begun
 * there, else elsewhere, else the caller gets a typed error at once.
 *
 * @param context - the node
 * @param request - the request
 * @param fault - what ended the attempt
 * @param now - present time in ms
 */
export const recover = (context: RequestsContext, request: ModelRequest, fault: AttemptFault, now: number): void => {
  const { attempt } = request
  if (attempt === undefined) return
  if (request.relay.finishReason !== undefined) return complete(context, request, attempt, now)
  if (hasReachedMaxTokens(request)) return completeAtMaxTokens(context, request, attempt, now)
  request.sent ||= fault !== 'unsent'
  const evidence = evidenceOf(fault)
  if (evidence !== undefined) context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint: attempt.endpoint, outcome: evidence } })
  dropAttempt(context, request, leftoverOf(fault))
  context.metrics.streamFaults.inc({ fault })
  if (request.disconnectedAt !== undefined) return finish(context, request, now)
  const begun = request.relay.next > 0
  request.recoveries++
  if (request.recoveries > recoveryLimit) return giveUp(context, request, now)
  const resumable = attempt.headReceived && (fault === 'cut' || fault === 'gap')
  if (resumable && sameEngineAgain(context, request, attempt, now)) return
  request.tried.push(attempt.endpoint)
  if (isBehindCaller(request)) return giveUp(context, request, now)
  if (begun ? continueElsewhere(context, request, now) : retryElsewhere(context, request, now)) return
  giveUp(context, request, now)
}

/** Multiple of the expected wait after which a silent worker is doubted. */
const patienceFactor = 4

const isOverdue = (request: ModelRequest, attempt: ModelAttempt, now: number): boolean => {
  const waited = now - attempt.startedAt
  const expected = attempt.flight?.choice.expectedWait ?? 0
  return waited >= (request.deadline - attempt.startedAt) / 2 && waited >= patienceFactor * expected
}

/**
 * Moves a request once from a worker that keeps silent to another, if one is
 * left, there is time, and the retry budget allows it; else it goes on waiting.
 *
 * @param context - the node
 * @param request - a request without a first token
 * @param now - present time in ms
 */
export const moveFromSilentWorker = (context: RequestsContext, request: ModelRequest, now: number): void => {
  const { attempt } = request
  if (attempt === undefined || request.tried.length > 0 || request.relay.next > 0 || !isOverdue(request, attempt, now)) return
  const { workspace, deadline } = request
  const question = { ...request.routingQuery, exclude: [attempt.endpoint] }
  const choice = context.routing.choose(question, context.endpoints(), now)
  if (choice.isErr()) return
  if (context.limits.retry({ workspace, deadline, retried: false, expectedWait: choice.value.expectedWait }, now).isErr()) return
  reportTimeout(context, attempt.endpoint)
  request.sent = true
  request.tried.push(attempt.endpoint)
  dropAttempt(context, request, 'cancel')
  dispatch(context, request, choice.value, 'silent', now)
}

/**
 * Tells the registry that a worker kept silent.
 *
 * @param context - the node
 * @param endpoint - the worker
 */
export const reportTimeout = (context: RequestsContext, endpoint: string): void =>
  context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint, outcome: 'timeout' } })
