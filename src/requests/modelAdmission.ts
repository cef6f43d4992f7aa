/** Admits model requests: builds the routing request, chooses a worker, checks the limits and dispatches. */
import { err, ok, type Result } from 'neverthrow'
import type { WorkerChoice, NoEndpoint, RoutingRequest } from '../routing/routingTypes.js'
import type { RuleDecision } from '../rules/rulesTypes.js'
import { createRelay } from '../streams/streamRelay.js'
import { authorizeResume, streamFingerprint, verifyResumeToken } from '../streams/resumeToken.js'
import type { ResumePoint } from '../streams/streamsTypes.js'
import { dispatch, resume } from './modelDispatch.js'
import type { RequestsContext } from './requestsContext.js'
import type { CallerError } from './requestsErrors.js'
import { jitteredRetryAfter, refuse } from './requestOutcomes.js'
import type { ModelCall, ModelRequest } from './requestsTypes.js'

/** A request whose key and rules allow it, before admission control. */
export interface AuthorisedRequest {
  readonly request: number
  readonly workspace: string
  /** SHA-256 of method, path and body, in hexadecimal. */
  readonly fingerprint: string
  /** Time of arrival, in ms. */
  readonly arrived: number
  /** Absolute time in ms. */
  readonly deadline: number
  readonly decision: RuleDecision
  /** Value of the `last-event-id` header: the resume token of the last event that the caller received. */
  readonly lastEventId?: string
}

/**
 * Creates the routing request of a model request.
 *
 * @param context - state and services of this instance
 * @param authorised - workspace, deadline and rule decision of the request
 * @param call - the model call
 * @returns the routing request, with the prefix chain of the prompt
 */
export const createRoutingRequest = (context: RequestsContext, authorised: Pick<AuthorisedRequest, 'decision' | 'workspace' | 'deadline'>, call: Pick<ModelCall, 'model' | 'adapter' | 'prompt' | 'maxTokens'>): RoutingRequest => {
  const { decision, workspace, deadline } = authorised
  const model = decision.model ?? call.model
  const weightVersion = decision.weightVersion
  const identity = { workspace, model, adapter: call.adapter, weightVersion: weightVersion ?? '' }
  const chain = context.prefix.chain(identity, call.prompt)
  return {
    workspace,
    model,
    adapter: call.adapter,
    weightVersion,
    chain,
    promptTokens: chain.tokens,
    expectedTokens: Math.min(call.maxTokens ?? Infinity, context.options.expectedTokens),
    priority: decision.priority,
    worth: decision.worth,
    deadline,
    exclude: [],
    allowed: allowedEndpoints(context, decision)
  }
}

/**
 * Returns the endpoints that the rules allow for a request.
 *
 * @param context - state and services of this instance
 * @param decision - the rule decision
 * @returns endpoint ids, or undefined if the rules allow all endpoints
 */
export const allowedEndpoints = (context: RequestsContext, decision: RuleDecision): readonly string[] | undefined => {
  if (decision.endpoints === undefined) return undefined
  const dataCentres = new Set(decision.dataCentres)
  const inDataCentres = context.endpoints().filter(endpoint => dataCentres.has(endpoint.dataCentre)).map(endpoint => endpoint.id)
  return [...decision.endpoints, ...inDataCentres]
}

const verifiedResumePoint = (context: RequestsContext, authorised: AuthorisedRequest, now: number): Result<ResumePoint | undefined, CallerError> => {
  const { lastEventId, workspace, fingerprint } = authorised
  if (lastEventId === undefined || lastEventId === '') return ok(undefined)
  return verifyResumeToken(context.options.resumeKeys(), lastEventId)
    .andThen(point => authorizeResume(point, { workspace, fingerprint: streamFingerprint(fingerprint), window: context.options.resumeWindow }, now))
    .mapErr(refusal => ({ kind: 'resume_refused', refusal: refusal.kind }))
}

const noEndpointError = (context: RequestsContext, reason: NoEndpoint): CallerError => {
  if (reason.reason === 'noService') return { kind: 'unknown_service', service: reason.service }
  return { kind: 'no_endpoint', retryAfter: jitteredRetryAfter(context) }
}

const admit = (context: RequestsContext, authorised: AuthorisedRequest, routingRequest: RoutingRequest, choice: WorkerChoice, now: number) =>
  context.limits.admit({
    workspace: authorised.workspace,
    limit: authorised.decision.limit,
    priority: authorised.decision.priority,
    worth: authorised.decision.worth,
    deadline: authorised.deadline,
    expectedWait: choice.expectedWait,
    tokens: routingRequest.promptTokens + routingRequest.expectedTokens
  }, now).mapErr((refusal): CallerError => {
    const { retryAfter, reason } = refusal
    return reason === 'deadline' || reason === 'fairShare' ? { kind: 'overloaded', retryAfter } : { kind: 'limit_exceeded', limit: reason, retryAfter }
  })

type Release = ModelRequest['release']

const addRequest = (context: RequestsContext, authorised: AuthorisedRequest, call: ModelCall, routingRequest: RoutingRequest, admission: Pick<ModelRequest, 'release' | 'onFirstToken'>, point: ResumePoint | undefined): ModelRequest => {
  const { lastEventId: _token, ...accepted } = authorised
  const request: ModelRequest = {
    ...accepted,
    kind: 'model',
    call,
    routingRequest,
    relay: createRelay(),
    forwardFrom: point === undefined ? 0 : point.position + 1,
    resume: point,
    ...admission,
    publicId: '',
    attempt: undefined,
    second: undefined,
    nextSecondAt: 0,
    weightVersion: undefined,
    sent: point !== undefined,
    recoveries: 0,
    streamOpened: false,
    blocked: false,
    readyAt: undefined,
    firstTokenAt: undefined,
    lastTokenAt: undefined,
    tried: [],
    disconnectedAt: undefined
  }
  context.db.requests.set(request.request, request)
  return request
}

const startNew = (context: RequestsContext, authorised: AuthorisedRequest, call: ModelCall, routingRequest: RoutingRequest, now: number): Result<void, CallerError> =>
  context.routing.choose(routingRequest, context.endpoints(), now)
    .mapErr(reason => noEndpointError(context, reason))
    .andThen(choice => admit(context, authorised, routingRequest, choice, now).map(admission => {
      const release: Release = (promptTokens, completionTokens, at) => context.limits.finished(admission, promptTokens + completionTokens, at)
      const onFirstToken = (at: number): void => context.limits.firstToken(admission, at)
      const request = addRequest(context, authorised, call, routingRequest, { release, onFirstToken }, undefined)
      return dispatch(context, request, choice, 'first', now)
    }))

/** A resumed stream was already admitted and counted by the instance that started it, so it is not counted again. */
const noAdmission: Pick<ModelRequest, 'release' | 'onFirstToken'> = { release: () => {}, onFirstToken: () => {} }

/** Reads the engine's stream from its first event: this instance needs the whole text to continue the stream at another worker. */
const startResumed = (context: RequestsContext, authorised: AuthorisedRequest, call: ModelCall, routingRequest: RoutingRequest, point: ResumePoint, now: number): Result<void, CallerError> => {
  const { endpoint, engineRequest, incarnation, weightVersion } = point.identity
  if (context.endpoint(endpoint)?.incarnation !== incarnation) return err({ kind: 'stream_interrupted', outcome: 'unknown' })
  const request = addRequest(context, authorised, call, routingRequest, noAdmission, point)
  resume(context, request, { endpoint, engineRequest, incarnation, weightVersion, base: 0 }, now)
  return ok(undefined)
}

/**
 * Starts or resumes a model request, or refuses it at once.
 *
 * @param context - state and services of this instance
 * @param authorised - the request, with its rule decision
 * @param call - the model call
 * @param now - current time in ms
 */
export const startModelRequest = (context: RequestsContext, authorised: AuthorisedRequest, call: ModelCall, now: number): void => {
  const routingRequest = createRoutingRequest(context, authorised, call)
  verifiedResumePoint(context, authorised, now)
    .andThen(point => point === undefined
      ? startNew(context, authorised, call, routingRequest, now)
      : startResumed(context, authorised, call, routingRequest, point, now))
    .orTee(error => refuse(context, authorised.request, authorised.workspace, error))
}
