/** Ends model requests: drops attempts, sends the answer to the caller and releases what the request held. */
import { buildCompletionBody } from '../streams/completionBody.js'
import { countAnswered } from './requestOutcomes.js'
import type { RequestsContext } from './requestsContext.js'
import type { ModelAttempt, ModelRequest } from './requestsTypes.js'

const streamHeaders = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' }

/** What to do with the engine's work when its attempt is dropped: nothing, cancel it, or leave it running for a resume. */
export type EngineAction = 'none' | 'cancel' | 'detach'

const endAttempt = (context: RequestsContext, attempt: ModelAttempt, engineAction: EngineAction): void => {
  if (engineAction !== 'none') context.emit({ kind: `endpoint.${engineAction}`, attempt: attempt.attempt })
  if (attempt.flight !== undefined && !attempt.flight.ended) context.routing.failed(attempt.flight)
  context.db.attempts.delete(attempt.attempt)
}

/**
 * Drops the current attempt of a request, if it has one.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param engineAction - what to do with the engine's work
 */
export const dropAttempt = (context: RequestsContext, request: ModelRequest, engineAction: EngineAction): void => {
  const { attempt } = request
  if (attempt !== undefined) endAttempt(context, attempt, engineAction)
  request.attempt = undefined
}

/**
 * Drops the second attempt of a request, if it has one.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param engineAction - what to do with the engine's work
 */
export const dropSecond = (context: RequestsContext, request: ModelRequest, engineAction: EngineAction): void => {
  const { second } = request
  if (second !== undefined) endAttempt(context, second, engineAction)
  request.second = undefined
}

/**
 * Removes a request and releases its attempts and its admission.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param now - current time in ms
 */
export const finish = (context: RequestsContext, request: ModelRequest, now: number): void => {
  const { usage, tokens } = request.relay
  dropAttempt(context, request, 'none')
  dropSecond(context, request, 'cancel')
  context.db.requests.delete(request.request)
  request.release(usage?.promptTokens ?? request.routingRequest.promptTokens, usage?.completionTokens ?? tokens, now)
}

/**
 * Sends the response head of a stream to the caller, once; does nothing for a request without streaming.
 *
 * @param context - state and services of this instance
 * @param request - the request
 */
export const openStream = (context: RequestsContext, request: ModelRequest): void => {
  if (request.streamOpened || !request.call.stream) return
  request.streamOpened = true
  context.emit({ kind: 'caller.open', request: request.request, status: 200, headers: streamHeaders })
}

const countTokens = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt): void => {
  const usage = request.relay.usage
  if (usage === undefined) return
  const labels = { workspace: context.metrics.workspaceLabel(request.workspace) }
  const expectedCachedTokens = attempt.flight?.choice.expectedCachedTokens ?? 0
  context.metrics.promptTokens.inc(labels, usage.promptTokens)
  context.metrics.cachedTokens.inc(labels, usage.cachedTokens)
  context.metrics.recomputedTokens.inc(labels, Math.max(0, expectedCachedTokens - usage.cachedTokens))
  context.metrics.generatedTokens.inc(labels, usage.completionTokens)
}

const reportToRouting = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  if (attempt.flight === undefined) return
  const { usage, tokens } = request.relay
  const estimatedUsage = { promptTokens: request.routingRequest.promptTokens, cachedTokens: 0, completionTokens: tokens }
  context.routing.finished(attempt.flight, usage ?? estimatedUsage, now)
}

const sendAnswer = (context: RequestsContext, request: ModelRequest): void => {
  countAnswered(context, request.workspace)
  if (request.call.stream) {
    openStream(context, request)
    context.emit({ kind: 'caller.write', request: request.request, data: 'data: [DONE]\n\n' })
    context.emit({ kind: 'caller.end', request: request.request })
    return
  }
  const metadata = { id: request.publicId, path: request.call.path, model: request.call.model, arrived: request.arrived }
  context.emit({ kind: 'caller.answer', request: request.request, status: 200, headers: { 'content-type': 'application/json' }, body: buildCompletionBody(metadata, request.relay) })
}

/**
 * Ends a request whose answer is complete.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param attempt - the attempt that completed it
 * @param now - current time in ms
 */
export const complete = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  reportToRouting(context, request, attempt, now)
  countTokens(context, request, attempt)
  if (request.disconnectedAt === undefined) sendAnswer(context, request)
  finish(context, request, now)
}

/** Finish event generated by the router: all tokens were relayed, and this event is all that the engine could have added. */
const lengthFinishEvent = (request: ModelRequest): string => {
  const emptyContent = request.call.path === '/v1/completions' ? { text: '' } : { delta: {} }
  return JSON.stringify({ id: request.publicId, choices: [{ index: 0, ...emptyContent, finish_reason: 'length' }] })
}

/**
 * Checks whether a stream has reached the caller's maximum number of tokens.
 *
 * @param request - the request
 * @returns whether it has; false if the caller sets no maximum
 */
export const hasReachedMaxTokens = ({ call, relay }: ModelRequest): boolean =>
  call.maxTokens !== undefined && relay.tokens >= call.maxTokens

/**
 * Completes a stream that has its maximum number of tokens but whose finish event was lost.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param attempt - the attempt that failed
 * @param now - current time in ms
 */
export const completeAtMaxTokens = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  request.relay.finishReason = 'length'
  if (request.call.stream && request.disconnectedAt === undefined) {
    openStream(context, request)
    context.emit({ kind: 'caller.write', request: request.request, data: `data: ${lengthFinishEvent(request)}\n\n` })
  }
  complete(context, request, attempt, now)
}
