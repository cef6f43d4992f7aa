/** Dispatches model requests to workers. */
import { signStreamIdentity, streamFingerprint } from '../streams/resumeToken.js'
import type { WorkerChoice } from '../routing/routingTypes.js'
import type { EndpointRequest } from '../ports/endpointPort.js'
import { buildEngineBody } from './engineBody.js'
import type { RequestsContext } from './requestsContext.js'
import type { ModelAttempt, ModelRequest } from './requestsTypes.js'

interface EngineTarget {
  readonly endpoint: string
  readonly engineRequest: string
  readonly incarnation: string
  readonly weightVersion: string
  readonly base: number
}

const cacheSaltOf = (request: ModelRequest, weightVersion: string): string =>
  [request.workspace, request.routingRequest.model, request.routingRequest.adapter ?? '', weightVersion].join('/')

const resumeTokenPrefixOf = (context: RequestsContext, request: ModelRequest, target: EngineTarget): string => {
  const [key] = context.options.resumeKeys()
  if (key === undefined || !request.call.stream) return ''
  const { endpoint, engineRequest, incarnation, weightVersion } = target
  const base = target.base > 0 ? target.base : request.resume?.identity.base
  return signStreamIdentity(key, { workspace: request.workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint: streamFingerprint(request.fingerprint), arrived: request.arrived, base })
}

const buildEngineRequest = (request: ModelRequest, target: EngineTarget, resumeFrom: number | undefined): EndpointRequest => ({
  kind: 'model',
  id: target.engineRequest,
  path: request.call.path,
  body: buildEngineBody(request.call, request.relay),
  identity: {
    workspace: request.workspace,
    model: request.routingRequest.model,
    adapter: request.routingRequest.adapter,
    weightVersion: target.weightVersion,
    incarnation: target.incarnation
  },
  cacheSalt: cacheSaltOf(request, target.weightVersion),
  priority: request.routingRequest.priority,
  ...(resumeFrom === undefined ? {} : { resumeFrom })
})

const startAttempt = (context: RequestsContext, request: ModelRequest, target: EngineTarget, cause: string, choice: WorkerChoice | undefined, resumeFrom: number | undefined, now: number): ModelAttempt | undefined => {
  const endpoint = context.endpoint(target.endpoint)
  if (endpoint === undefined) return undefined
  const attempt: ModelAttempt = {
    kind: 'model',
    attempt: context.db.nextAttempt(),
    request: request.request,
    ...target,
    flight: choice === undefined ? undefined : context.routing.started(request.routingRequest, choice, now),
    resumeTokenPrefix: resumeTokenPrefixOf(context, request, target),
    startedAt: now,
    headReceived: false
  }
  context.db.attempts.set(attempt.attempt, attempt)
  context.metrics.attempts.inc({ cause })
  context.emit({ kind: 'endpoint.dispatch', attempt: attempt.attempt, endpoint: endpoint.id, address: endpoint.address, request: buildEngineRequest(request, target, resumeFrom) })
  if (request.blocked) context.emit({ kind: 'endpoint.pause', attempt: attempt.attempt })
  return attempt
}

const startAtChoice = (context: RequestsContext, request: ModelRequest, choice: WorkerChoice, cause: string, now: number): ModelAttempt | undefined => {
  const { endpoint, incarnation, weightVersion } = choice
  const engineRequest = `${context.options.idPrefix}-${context.db.nextAttempt()}`
  if (request.publicId === '') request.publicId = engineRequest
  return startAttempt(context, request, { endpoint, engineRequest, incarnation, weightVersion, base: request.relay.next }, cause, choice, undefined, now)
}

/**
 * Dispatches a request to a chosen worker. If tokens have already been relayed,
 * they are sent after the prompt, and the worker continues from there.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param choice - the worker
 * @param cause - label of the attempts metric
 * @param now - current time in ms
 */
export const dispatch = (context: RequestsContext, request: ModelRequest, choice: WorkerChoice, cause: string, now: number): void => {
  request.weightVersion = choice.weightVersion
  request.attempt = startAtChoice(context, request, choice, cause, now)
}

/**
 * Dispatches a request to a second worker, beside its current attempt, in the same way.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param choice - the worker
 * @param now - current time in ms
 */
export const dispatchSecond = (context: RequestsContext, request: ModelRequest, choice: WorkerChoice, now: number): void => {
  request.second = startAtChoice(context, request, choice, 'silent', now)
}

/**
 * Resumes a stream at the engine that is running it.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param target - the engine's stream; `base` is the position of its event 0 in the caller's stream
 * @param now - current time in ms
 * @returns false if this instance does not know the endpoint
 */
export const resume = (context: RequestsContext, request: ModelRequest, target: EngineTarget, now: number): boolean => {
  if (request.publicId === '') request.publicId = target.engineRequest
  request.weightVersion = target.weightVersion
  request.attempt = startAttempt(context, request, target, 'resume', undefined, request.relay.next - target.base, now)
  return request.attempt !== undefined
}
