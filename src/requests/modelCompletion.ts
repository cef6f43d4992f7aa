/** Ends model requests: forgets attempts, answers the caller, settles what was held. */
import { buildCompletionBody } from '../streams/completionBody.js'
import { countAnswered } from './requestOutcomes.js'
import type { RequestsContext } from './requestsContext.js'
import type { ModelAttempt, ModelRequest } from './requestsTypes.js'

const streamHeaders = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' }

/** What becomes of the engine's work when an attempt is forgotten. */
export type EngineAction = 'none' | 'cancel' | 'detach'

/**
 * Forgets an attempt.
 *
 * @param context - the node
 * @param request - its request
 * @param leftover - whether the engine's work is over, to be cancelled, or to be taken up again
 */
export const dropAttempt = (context: RequestsContext, request: ModelRequest, leftover: EngineAction): void => {
  const { attempt } = request
  if (attempt === undefined) return
  if (leftover !== 'none') context.emit({ kind: `endpoint.${leftover}`, attempt: attempt.attempt })
  if (attempt.flight !== undefined && !attempt.flight.ended) context.routing.failed(attempt.flight)
  context.db.attempts.delete(attempt.attempt)
  request.attempt = undefined
}

/**
 * Ends a request and lets go of all that it held.
 *
 * @param context - the node
 * @param request - the request
 * @param now - present time in ms
 */
export const finish = (context: RequestsContext, request: ModelRequest, now: number): void => {
  const { usage, tokens } = request.relay
  dropAttempt(context, request, 'none')
  context.db.requests.delete(request.request)
  request.release(usage?.promptTokens ?? request.routingQuery.promptTokens, usage?.completionTokens ?? tokens, now)
}

/**
 * Opens the caller's stream, once.
 *
 * @param context - the node
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
  const expected = attempt.flight?.choice.expectedCachedTokens ?? 0
  context.metrics.promptTokens.inc(labels, usage.promptTokens)
  context.metrics.cachedTokens.inc(labels, usage.cachedTokens)
  context.metrics.recomputedTokens.inc(labels, Math.max(0, expected - usage.cachedTokens))
  context.metrics.generatedTokens.inc(labels, usage.completionTokens)
}

const settleFlight = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  if (attempt.flight === undefined) return
  const { usage, tokens } = request.relay
  const fallback = { promptTokens: request.routingQuery.promptTokens, cachedTokens: 0, completionTokens: tokens }
  context.routing.finished(attempt.flight, usage ?? fallback, now)
}

const answer = (context: RequestsContext, request: ModelRequest): void => {
  countAnswered(context, request.workspace)
  if (request.call.stream) {
    openStream(context, request)
    context.emit({ kind: 'caller.write', request: request.request, data: 'data: [DONE]\n\n' })
    context.emit({ kind: 'caller.end', request: request.request })
    return
  }
  const frame = { id: request.publicId, path: request.call.path, model: request.call.model, arrived: request.arrived }
  context.emit({ kind: 'caller.answer', request: request.request, status: 200, headers: { 'content-type': 'application/json' }, body: buildCompletionBody(frame, request.relay) })
}

/**
 * Ends a request whose answer is whole.
 *
 * @param context - the node
 * @param request - the request
 * @param attempt - the attempt that ended it
 * @param now - present time in ms
 */
export const complete = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  settleFlight(context, request, attempt, now)
  countTokens(context, request, attempt)
  if (request.disconnectedAt === undefined) answer(context, request)
  finish(context, request, now)
}

/** An end that the router itself gives, when the engine could only have added it. */
const lengthEvent = (request: ModelRequest): string => {
  const part = request.call.path === '/v1/completions' ? { text: '' } : { delta: {} }
  return JSON.stringify({ id: request.publicId, choices: [{ index: 0, ...part, finish_reason: 'length' }] })
}

/**
 * Whether a stream has all the tokens that the caller allows.
 *
 * @param request - the request
 * @returns false if the caller names no maximum
 */
export const hasReachedMaxTokens = ({ call, relay }: ModelRequest): boolean =>
  call.maxTokens !== undefined && relay.tokens >= call.maxTokens

/**
 * Ends a stream that has all its tokens but lost its finish event.
 *
 * @param context - the node
 * @param request - the request
 * @param attempt - the attempt that was cut
 * @param now - present time in ms
 */
export const completeAtMaxTokens = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  request.relay.finishReason = 'length'
  if (request.call.stream && request.disconnectedAt === undefined) {
    openStream(context, request)
    context.emit({ kind: 'caller.write', request: request.request, data: `data: ${lengthEvent(request)}\n\n` })
  }
  complete(context, request, attempt, now)
}
