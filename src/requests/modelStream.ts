/** Relays a worker's stream to the caller, in order and without gaps or duplicates. */
import type { EndpointInput } from '../ports/endpointPort.js'
import { resumeToken } from '../streams/resumeToken.js'
import { relayEvent } from '../streams/streamRelay.js'
import type { StreamEvent } from '../streams/streamsTypes.js'
import { recover } from './modelAttempts.js'
import { complete, openStream } from './modelCompletion.js'
import type { RequestsContext } from './requestsContext.js'
import type { ModelAttempt, ModelRequest } from './requestsTypes.js'
import { keepOnly } from './secondAttempts.js'

type InputOf<Kind extends EndpointInput['kind']> = Extract<EndpointInput, { kind: Kind }>

const msPerSecond = 1000

/**
 * Checks the request id and the weight version of an answer before any of it is used.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param attempt - the attempt that the answer belongs to
 * @param head - the identity that the engine reports with its answer
 * @param now - current time in ms
 */
export const onHead = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, head: InputOf<'endpoint.head'>, now: number): void => {
  if (head.requestId !== attempt.engineRequest) return recover(context, request, attempt, 'crossed', now)
  if (head.weightVersion !== attempt.weightVersion) return recover(context, request, attempt, 'wrongVersion', now)
  context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint: attempt.endpoint, outcome: 'answered', incarnation: head.incarnation } })
  attempt.headReceived = true
}

const recordTokenTiming = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  if (request.firstTokenAt === undefined) {
    request.firstTokenAt = now
    request.onFirstToken(now)
    context.metrics.firstToken.observe({ workspace: context.metrics.workspaceLabel(request.workspace) }, (now - request.arrived) / msPerSecond)
  } else if (request.lastTokenAt !== undefined) {
    context.metrics.tokenGap.observe((now - request.lastTokenAt) / msPerSecond)
  }
  request.lastTokenAt = now
  if (attempt.flight !== undefined && attempt.flight.firstTokenAt === undefined) context.routing.firstToken(attempt.flight, now)
}

const serializeEvent = (request: ModelRequest, event: StreamEvent): string => {
  const usage = request.relay.usage
  if (event.usage === undefined || event.usage === null || usage === undefined) return JSON.stringify({ ...event, id: request.publicId })
  const total = { ...event.usage, completion_tokens: usage.completionTokens, total_tokens: usage.promptTokens + usage.completionTokens }
  return JSON.stringify({ ...event, id: request.publicId, usage: total })
}

const forwardEvent = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, event: StreamEvent, position: number): void => {
  if (!request.call.stream || request.disconnectedAt !== undefined || position < request.forwardFrom) return
  openStream(context, request)
  const id = attempt.resumeTokenPrefix === '' ? '' : `id: ${resumeToken(attempt.resumeTokenPrefix, position - attempt.base)}\n`
  context.emit({ kind: 'caller.write', request: request.request, data: `${id}data: ${serializeEvent(request, event)}\n\n` })
}

/** Corrects the usage after a continuation: the last engine counts the earlier tokens as prompt tokens, and only its own as completion tokens. */
const correctUsage = ({ relay }: ModelRequest, attempt: ModelAttempt): void => {
  if (relay.usage === undefined || attempt.base === 0) return
  const earlierTokens = relay.tokens - relay.usage.completionTokens
  relay.usage = { ...relay.usage, promptTokens: relay.usage.promptTokens - earlierTokens, completionTokens: relay.tokens }
}

/**
 * Handles one event of a worker's stream.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param attempt - the attempt that the event belongs to
 * @param chunk - the event
 * @param now - current time in ms
 */
export const onChunk = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, chunk: InputOf<'endpoint.chunk'>, now: number): void => {
  const relayed = relayEvent(request.relay, attempt.engineRequest, chunk.requestId, attempt.base + chunk.position, chunk.data)
  switch (relayed.kind) {
    case 'duplicate':
      context.metrics.streamFaults.inc({ fault: 'duplicate' })
      return
    case 'gap': return recover(context, request, attempt, 'gap', now)
    case 'crossed': return recover(context, request, attempt, 'crossed', now)
    case 'garbled': return recover(context, request, attempt, 'garbled', now)
    case 'forward': {
      keepOnly(context, request, attempt)
      recordTokenTiming(context, request, attempt, now)
      if (relayed.event.usage !== undefined) correctUsage(request, attempt)
      forwardEvent(context, request, attempt, relayed.event, relayed.position)
    }
  }
}

/**
 * Handles the end of a worker's stream: completes the request, or recovers if the finish event is missing.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param attempt - the attempt that ended
 * @param now - current time in ms
 */
export const onEnd = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  if (request.relay.finishReason === undefined) return recover(context, request, attempt, 'cut', now)
  complete(context, request, attempt, now)
}
