/**
 * Handles calls to plain services. A repeatable call is retried at another
 * endpoint when one fails. A call that is not repeatable is dispatched only
 * under a claim, and never again once a byte of it may have been sent.
 */
import type { Refusal } from '../claims/claimsTypes.js'
import { assertNever } from '../errors.js'
import type { EndpointInput } from '../ports/endpointPort.js'
import { allowedEndpoints, type AuthorisedRequest } from './modelAdmission.js'
import { jitteredRetryAfter, countAnswered, refuse } from './requestOutcomes.js'
import type { RequestsContext } from './requestsContext.js'
import type { CallerError, Outcome } from './requestsErrors.js'
import type { ServiceCall, ServiceRequest } from './requestsTypes.js'

type Answer = Extract<EndpointInput, { kind: 'endpoint.answer' }>
type Failure = Extract<EndpointInput, { kind: 'endpoint.failed' }>

/** Time in ms after the caller's deadline for which the endpoint's answer to a claimed call is still awaited. */
export const lateAnswerTimeout = 60_000

const droppedHeaders = new Set(['connection', 'content-length', 'transfer-encoding', 'keep-alive', 'x-request-id'])

const forwardableHeaders = (headers: Readonly<Record<string, string>>): Record<string, string> =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => !droppedHeaders.has(name)))

const settleClaim = (context: RequestsContext, request: ServiceRequest, outcome: Extract<Parameters<RequestsContext['emit']>[0], { kind: 'requests.claims' }>['input']): void => {
  if (!request.decision.repeatable) context.emit({ kind: 'requests.claims', input: outcome })
}

const finish = (context: RequestsContext, request: ServiceRequest, now: number): void => {
  if (request.attempt !== undefined) {
    context.routing.serviceEnded(request.attempt.endpoint)
    context.db.attempts.delete(request.attempt.attempt)
    request.attempt = undefined
  }
  context.db.requests.delete(request.request)
  request.release(0, 0, now)
}

const answerError = (context: RequestsContext, request: ServiceRequest, error: CallerError): void => {
  if (!request.answered && request.disconnectedAt === undefined) refuse(context, request.request, request.workspace, error)
  request.answered = true
}

/** Ends a call that cannot be dispatched, and settles its claim as not run. */
const endUnsent = (context: RequestsContext, request: ServiceRequest, error: CallerError, now: number): void => {
  settleClaim(context, request, { kind: 'claims.settle', request: request.request, outcome: { kind: 'notRun' } })
  answerError(context, request, error)
  finish(context, request, now)
}

/**
 * Dispatches a call to an endpoint that has not been tried yet; ends it with an error if none is left or the deadline has passed.
 *
 * @param context - state and services of this instance
 * @param request - the call; its claim must be granted if it is not repeatable
 * @param now - current time in ms
 */
export const dispatchService = (context: RequestsContext, request: ServiceRequest, now: number): void => {
  const outcome: Outcome = request.sent ? 'unknown' : 'not_run'
  if (now >= request.deadline) return endUnsent(context, request, { kind: 'deadline_exceeded', outcome, retryAfter: jitteredRetryAfter(context) }, now)
  const { call, decision, tried } = request
  const serviceEndpoints = context.serviceEndpoints(call.service)
  const ruleEndpoints = allowedEndpoints(context, decision)
  const allowed = ruleEndpoints === undefined ? serviceEndpoints : serviceEndpoints.filter(id => ruleEndpoints.includes(id))
  const choice = context.routing.chooseService({ service: call.service, exclude: tried, allowed }, context.endpoints())
  const endpoint = choice.isOk() ? context.endpoint(choice.value.endpoint) : undefined
  if (endpoint === undefined) return endUnsent(context, request, noEndpointError(context, request), now)
  if (!decision.repeatable && !context.mayDispatch(request.request, now)) return
  startAttempt(context, request, endpoint)
}

/** A repeatable call that was sent before may have run, although no endpoint is left for another attempt. */
const noEndpointError = (context: RequestsContext, request: ServiceRequest): CallerError => request.sent
  ? { kind: 'endpoint_failed', outcome: 'unknown', retryAfter: jitteredRetryAfter(context) }
  : { kind: 'no_endpoint', retryAfter: jitteredRetryAfter(context) }

const startAttempt = (context: RequestsContext, request: ServiceRequest, endpoint: { readonly id: string, readonly address: { readonly host: string, readonly port: number } }): void => {
  const { call } = request
  const attempt = context.db.nextAttempt()
  const idempotencyHeader: Record<string, string> = call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }
  request.attempt = { kind: 'service', attempt, request: request.request, endpoint: endpoint.id }
  context.db.attempts.set(attempt, request.attempt)
  context.routing.serviceStarted(endpoint.id)
  context.metrics.attempts.inc({ cause: request.tried.length === 0 ? 'first' : 'retry' })
  context.emit({
    kind: 'endpoint.dispatch',
    attempt,
    endpoint: endpoint.id,
    address: endpoint.address,
    request: { kind: 'service', id: `${context.options.idPrefix}-${attempt}`, method: call.method, path: call.path, headers: { ...call.headers, ...idempotencyHeader, 'x-workspace': request.workspace }, body: call.body }
  })
}

/**
 * Starts a service call: checks the limits, then dispatches it or requests a claim for it.
 *
 * @param context - state and services of this instance
 * @param authorised - the request, with its rule decision
 * @param call - the service call
 * @param now - current time in ms
 */
export const startServiceRequest = (context: RequestsContext, authorised: AuthorisedRequest, call: ServiceCall, now: number): void => {
  const { request, workspace, decision, deadline, fingerprint } = authorised
  if (context.serviceEndpoints(call.service).length === 0) return refuse(context, request, workspace, { kind: 'unknown_service', service: call.service })
  if (!decision.repeatable && call.idempotencyKey === undefined) return refuse(context, request, workspace, { kind: 'idempotency_key_missing' })
  const admitted = context.limits.admit({ workspace, limit: decision.limit, priority: decision.priority, worth: decision.worth, deadline, expectedWait: 0, tokens: 0 }, now)
  if (admitted.isErr()) return refuse(context, request, workspace, { kind: 'limit_exceeded', limit: admitted.error.reason, retryAfter: admitted.error.retryAfter })
  const { lastEventId: _token, ...accepted } = authorised
  const active: ServiceRequest = {
    ...accepted,
    kind: 'service',
    call,
    release: (_prompt, _completion, at) => context.limits.finished(admitted.value, undefined, at),
    attempt: undefined,
    sent: false,
    answered: false,
    tried: [],
    disconnectedAt: undefined
  }
  context.db.requests.set(request, active)
  if (decision.repeatable || call.idempotencyKey === undefined) return dispatchService(context, active, now)
  context.emit({ kind: 'requests.claims', input: { kind: 'claims.begin', request, workspace, key: call.idempotencyKey, fingerprint, deadline } })
}

/**
 * Forwards an endpoint's complete answer to the caller and settles the claim.
 *
 * @param context - state and services of this instance
 * @param request - the call
 * @param answer - the answer of the endpoint
 * @param now - current time in ms
 */
export const onServiceAnswer = (context: RequestsContext, request: ServiceRequest, answer: Answer, now: number): void => {
  const { status, body } = answer
  const headers = forwardableHeaders(answer.headers)
  settleClaim(context, request, { kind: 'claims.settle', request: request.request, outcome: { kind: 'ran', answer: { status, headers, body } } })
  if (!request.answered && request.disconnectedAt === undefined) {
    countAnswered(context, request.workspace)
    context.emit({ kind: 'caller.answer', request: request.request, status, headers, body })
  }
  finish(context, request, now)
}

const reportEvidence = (context: RequestsContext, endpoint: string, failure: Failure['failure']): void => {
  const outcome = failure === 'garbled' ? 'cut' : failure
  context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint, outcome } })
}

const endUnknown = (context: RequestsContext, request: ServiceRequest, now: number): void => {
  settleClaim(context, request, { kind: 'claims.settle', request: request.request, outcome: { kind: 'unknown' } })
  answerError(context, request, { kind: 'endpoint_failed', outcome: 'unknown', retryAfter: jitteredRetryAfter(context) })
  finish(context, request, now)
}

/**
 * Handles a failed attempt: retries the call if that is safe, else ends it.
 *
 * @param context - state and services of this instance
 * @param request - the call
 * @param failure - how the attempt failed, and whether any byte of it was sent
 * @param now - current time in ms
 */
export const onServiceFailure = (context: RequestsContext, request: ServiceRequest, failure: Failure, now: number): void => {
  const { attempt, decision } = request
  if (attempt === undefined) return
  reportEvidence(context, attempt.endpoint, failure.failure)
  request.sent ||= failure.sent
  request.tried.push(attempt.endpoint)
  context.routing.serviceEnded(attempt.endpoint)
  context.db.attempts.delete(attempt.attempt)
  request.attempt = undefined
  if (request.answered || request.disconnectedAt !== undefined) return failure.sent ? endUnknown(context, request, now) : endUnsent(context, request, { kind: 'no_endpoint', retryAfter: jitteredRetryAfter(context) }, now)
  if (!decision.repeatable) return failure.sent ? endUnknown(context, request, now) : retryUnsent(context, request, now)
  const retry = context.limits.retry({ workspace: request.workspace, retried: request.tried.length > 1, deadline: request.deadline, expectedWait: 0 }, now)
  if (retry.isErr()) return endUnknown(context, request, now)
  dispatchService(context, request, now)
}

const retryUnsent = (context: RequestsContext, request: ServiceRequest, now: number): void => {
  context.emit({ kind: 'requests.claims', input: { kind: 'claims.unsent', request: request.request } })
  dispatchService(context, request, now)
}

const claimRefusalError = (refusal: Exclude<Refusal, { kind: 'ran' }>): CallerError => {
  switch (refusal.kind) {
    case 'notRun': return notRunError(refusal)
    case 'unknown': return { kind: 'outcome_unknown' }
    case 'inProgress': return { kind: 'in_progress', retryAfter: refusal.retryAfter }
    case 'fingerprintMismatch': return { kind: 'idempotency_key_reused' }
    default: return assertNever(refusal)
  }
}

const notRunError = ({ reason, retryAfter = 1_000 }: Extract<Refusal, { kind: 'notRun' }>): CallerError => {
  switch (reason) {
    case 'claimTimeout':
    case 'logUnavailable': return { kind: 'log_unavailable', retryAfter }
    case 'deadlinePassed': return { kind: 'deadline_exceeded', outcome: 'not_run', retryAfter }
    case 'abandoned':
    case 'superseded':
    case 'overloaded': return { kind: 'overloaded', retryAfter }
    case 'keyMalformed': return { kind: 'idempotency_key_invalid', reason: 'it is not a UUID of version 7' }
    case 'keyAhead': return { kind: 'idempotency_key_invalid', reason: 'its time lies ahead' }
    default: return assertNever(reason)
  }
}

/**
 * Ends a call whose claim was refused; if an earlier attempt ran and its answer is kept, that answer is replayed.
 *
 * @param context - state and services of this instance
 * @param request - the call
 * @param refusal - why the claim was refused
 * @param now - current time in ms
 */
export const onClaimRefused = (context: RequestsContext, request: ServiceRequest, refusal: Refusal, now: number): void => {
  if (refusal.kind !== 'ran') answerError(context, request, claimRefusalError(refusal))
  else if (refusal.answer === undefined) answerError(context, request, { kind: 'already_ran' })
  else {
    countAnswered(context, request.workspace)
    context.emit({ kind: 'caller.answer', request: request.request, ...refusal.answer, headers: { ...refusal.answer.headers, 'idempotent-replayed': 'true' } })
  }
  finish(context, request, now)
}

/**
 * Handles a call whose deadline has passed. A repeatable call is cancelled. The
 * caller of any other call gets an error, while the endpoint's answer is awaited
 * for `lateAnswerTimeout`, so that the claim can be settled with it.
 *
 * @param context - state and services of this instance
 * @param request - the call
 * @param now - current time in ms
 */
export const expireService = (context: RequestsContext, request: ServiceRequest, now: number): void => {
  const { attempt, decision } = request
  if (attempt === undefined) return
  if (decision.repeatable) {
    context.emit({ kind: 'endpoint.cancel', attempt: attempt.attempt })
    answerError(context, request, { kind: 'deadline_exceeded', outcome: 'unknown', retryAfter: jitteredRetryAfter(context) })
    return finish(context, request, now)
  }
  answerError(context, request, { kind: 'deadline_exceeded', outcome: 'unknown', retryAfter: jitteredRetryAfter(context) })
  if (now - request.deadline < lateAnswerTimeout) return
  context.emit({ kind: 'endpoint.cancel', attempt: attempt.attempt })
  endUnknown(context, request, now)
}
