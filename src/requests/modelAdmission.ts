/** Admits a model request: rules, prefix, choice of worker, limits, dispatch. */
import { err, ok, type Result } from 'neverthrow'
import type { Choice, NoEndpoint, Question } from '../routing/routingTypes.js'
import type { RuleDecision } from '../rules/rulesTypes.js'
import { createRelay } from '../streams/streamRelay.js'
import { authorizeResume, streamFingerprint, verifyResumeToken } from '../streams/resumeToken.js'
import type { ResumePoint } from '../streams/streamsTypes.js'
import { dispatch, resume } from './modelAttempts.js'
import type { RequestsContext } from './requestsContext.js'
import type { CallerError } from './requestsErrors.js'
import { jitteredRetryAfter, refuse } from './requestOutcomes.js'
import type { ModelCall, ModelRequest } from './requestsTypes.js'

/** What is known of a caller's request before it is admitted. */
export interface AuthorisedRequest {
  readonly request: number
  readonly workspace: string
  readonly fingerprint: string
  readonly arrived: number
  /** Absolute, in ms. */
  readonly deadline: number
  readonly decision: RuleDecision
  /** Resume token of the caller's last event, if it has one. */
  readonly lastEventId?: string
}

/**
 * What routing is asked for a model request.
 *
 * @param context - the node
 * @param admittee - whose request, under which decision of the rules
 * @param call - what it asks for
 * @returns the question, with the prompt's prefix chain
 */
export const createRoutingQuery = (context: RequestsContext, admittee: Pick<AuthorisedRequest, 'decision' | 'workspace' | 'deadline'>, call: Pick<ModelCall, 'model' | 'adapter' | 'prompt' | 'maxTokens'>): Question => {
  const { decision, workspace, deadline } = admittee
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
 * Endpoints that the rules admit.
 *
 * @param context - the node
 * @param decision - the rules' answer
 * @returns ids, or undefined if the rules admit all
 */
export const allowedEndpoints = (context: RequestsContext, decision: RuleDecision): readonly string[] | undefined => {
  if (decision.endpoints === undefined) return undefined
  const centres = new Set(decision.dataCentres)
  const near = context.endpoints().filter(endpoint => centres.has(endpoint.dataCentre)).map(endpoint => endpoint.id)
  return [...decision.endpoints, ...near]
}

const resumePoint = (context: RequestsContext, admittee: AuthorisedRequest, now: number): Result<ResumePoint | undefined, CallerError> => {
  const { lastEventId, workspace, fingerprint } = admittee
  if (lastEventId === undefined || lastEventId === '') return ok(undefined)
  return verifyResumeToken(context.options.resumeKeys(), lastEventId)
    .andThen(point => authorizeResume(point, { workspace, fingerprint: streamFingerprint(fingerprint), window: context.options.resumeWindow }, now))
    .mapErr(refusal => ({ kind: 'resume_refused', refusal: refusal.kind }))
}

const noEndpoint = (context: RequestsContext, reason: NoEndpoint): CallerError => {
  if (reason.reason === 'noService') return { kind: 'unknown_service', service: reason.service }
  return { kind: 'no_endpoint', retryAfter: jitteredRetryAfter(context) }
}

const admit = (context: RequestsContext, admittee: AuthorisedRequest, question: Question, choice: Choice, now: number) =>
  context.limits.admit({
    workspace: admittee.workspace,
    limit: admittee.decision.limit,
    priority: admittee.decision.priority,
    worth: admittee.decision.worth,
    deadline: admittee.deadline,
    expectedWait: choice.expectedWait,
    tokens: question.promptTokens + question.expectedTokens
  }, now).mapErr((refusal): CallerError => {
    const { retryAfter, reason } = refusal
    return reason === 'deadline' || reason === 'fairShare' ? { kind: 'overloaded', retryAfter } : { kind: 'limit_exceeded', limit: reason, retryAfter }
  })

type Release = ModelRequest['release']

const record = (context: RequestsContext, admittee: AuthorisedRequest, call: ModelCall, question: Question, admission: Pick<ModelRequest, 'release' | 'sawFirstToken'>, point: ResumePoint | undefined): ModelRequest => {
  const { lastEventId: _token, ...accepted } = admittee
  const request: ModelRequest = {
    ...accepted,
    kind: 'model',
    call,
    routingQuery: question,
    relay: createRelay(),
    forwardFrom: point === undefined ? 0 : point.position + 1,
    resume: point,
    ...admission,
    publicId: '',
    attempt: undefined,
    weightVersion: undefined,
    sent: point !== undefined,
    recoveries: 0,
    streamOpened: false,
    blocked: false,
    firstTokenAt: undefined,
    lastTokenAt: undefined,
    tried: [],
    disconnectedAt: undefined
  }
  context.db.requests.set(request.request, request)
  return request
}

const beginFresh = (context: RequestsContext, admittee: AuthorisedRequest, call: ModelCall, question: Question, now: number): Result<void, CallerError> =>
  context.routing.choose(question, context.endpoints(), now)
    .mapErr(reason => noEndpoint(context, reason))
    .andThen(choice => admit(context, admittee, question, choice, now).map(admission => {
      const release: Release = (promptTokens, completionTokens, at) => context.limits.finished(admission, promptTokens + completionTokens, at)
      const sawFirstToken = (at: number): void => context.limits.firstToken(admission, at)
      const request = record(context, admittee, call, question, { release, sawFirstToken }, undefined)
      return dispatch(context, request, choice, 'first', now)
    }))

/** A stream taken up again was admitted and counted by the instance that began it. */
const uncounted: Pick<ModelRequest, 'release' | 'sawFirstToken'> = { release: () => {}, sawFirstToken: () => {} }

/** The engine is asked from its first event, so that this instance too can hand the stream over. */
const beginResumed = (context: RequestsContext, admittee: AuthorisedRequest, call: ModelCall, question: Question, point: ResumePoint, now: number): Result<void, CallerError> => {
  const { endpoint, engineRequest, incarnation, weightVersion } = point.identity
  if (context.endpoint(endpoint)?.incarnation !== incarnation) return err({ kind: 'stream_interrupted', outcome: 'unknown' })
  const request = record(context, admittee, call, question, uncounted, point)
  resume(context, request, { endpoint, engineRequest, incarnation, weightVersion, base: 0 }, now)
  return ok(undefined)
}

/**
 * Begins a model request, or refuses it at once.
 *
 * @param context - the node
 * @param admittee - the request, with the rules' answer
 * @param call - what it asks for
 * @param now - present time in ms
 */
export const startModelRequest = (context: RequestsContext, admittee: AuthorisedRequest, call: ModelCall, now: number): void => {
  const question = createRoutingQuery(context, admittee, call)
  resumePoint(context, admittee, now)
    .andThen(point => point === undefined
      ? beginFresh(context, admittee, call, question, now)
      : beginResumed(context, admittee, call, question, point, now))
    .orTee(error => refuse(context, admittee.request, admittee.workspace, error))
}
