/** Relays a worker's stream to the caller, whole and in order. */
import type { EndpointInput } from '../ports/endpointPort.js'
import { resumeToken } from '../streams/resumeToken.js'
import { relayEvent } from '../streams/streamRelay.js'
import type { StreamEvent } from '../streams/streamsTypes.js'
import { recover } from './modelAttempts.js'
import { complete, openStream } from './modelCompletion.js'
import type { RequestsContext } from './requestsContext.js'
import type { ModelAttempt, ModelRequest } from './requestsTypes.js'

type Input<Kind extends EndpointInput['kind']> = Extract<EndpointInput, { kind: Kind }>

const msPerSecond = 1000

/**
 * Checks who answers before anything of the answer is used.
 *
 * @param context - the node
 * @param request - the request
 * @param attempt - the attempt that is answered
 * @param head - the engine's answer line
 * @param now - present time in ms
 */
export const onHead = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, head: Input<'endpoint.head'>, now: number): void => {
  if (head.requestId !== attempt.engineRequest) return recover(context, request, 'crossed', now)
  if (head.weightVersion !== attempt.weightVersion) return recover(context, request, 'wrongVersion', now)
  context.emit({ kind: 'requests.evidence', input: { kind: 'endpoints.evidence', endpoint: attempt.endpoint, outcome: 'answered', incarnation: head.incarnation } })
  attempt.headReceived = true
}

const observeToken = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  if (request.firstTokenAt === undefined) {
    request.firstTokenAt = now
    request.sawFirstToken(now)
    context.metrics.firstToken.observe({ workspace: context.metrics.workspaceLabel(request.workspace) }, (now - request.arrived) / msPerSecond)
  } else if (request.lastTokenAt !== undefined) {
    context.metrics.tokenGap.observe((now - request.lastTokenAt) / msPerSecond)
  }
  request.lastTokenAt = now
  if (attempt.flight !== undefined && attempt.flight.firstTokenAt === undefined) context.routing.firstToken(attempt.flight, now)
}

const eventText = (request: ModelRequest, event: StreamEvent): string => {
  const usage = request.relay.usage
  if (event.usage === undefined || event.usage === null || usage === undefined) return JSON.stringify({ ...event, id: request.publicId })
  const total = { ...event.usage, completion_tokens: usage.completionTokens, total_tokens: usage.promptTokens + usage.completionTokens }
  return JSON.stringify({ ...event, id: request.publicId, usage: total })
}

const forward = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, event: StreamEvent, position: number): void => {
  if (!request.call.stream || request.disconnectedAt !== undefined || position < request.forwardFrom) return
  openStream(context, request)
  const id = attempt.resumeTokenPrefix === '' ? '' : `id: ${resumeToken(attempt.resumeTokenPrefix, position - attempt.base)}\n`
  context.emit({ kind: 'caller.write', request: request.request, data: `${id}data: ${eventText(request, event)}\n\n` })
}

/** After a hand-over the last engine counted only its own part. */
const correctUsage = ({ relay }: ModelRequest, attempt: ModelAttempt): void => {
  if (relay.usage === undefined || attempt.base === 0) return
  const handedOver = relay.tokens - relay.usage.completionTokens
  relay.usage = { ...relay.usage, promptTokens: relay.usage.promptTokens - handedOver, completionTokens: relay.tokens }
}

/**
 * Takes one event of a worker's stream.
 *
 * @param context - the node
 * @param request - the request
 * @param attempt - the attempt that the event belongs to
 * @param chunk - the event
 * @param now - present time in ms
 */
export const onChunk = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, chunk: Input<'endpoint.chunk'>, now: number): void => {
  const relayed = relayEvent(request.relay, attempt.engineRequest, chunk.requestId, attempt.base + chunk.position, chunk.data)
  switch (relayed.kind) {
    case 'duplicate':
      context.metrics.streamFaults.inc({ fault: 'duplicate' })
      return
    case 'gap': return recover(context, request, 'gap', now)
    case 'crossed': return recover(context, request, 'crossed', now)
    case 'garbled': return recover(context, request, 'garbled', now)
    case 'forward': {
      observeToken(context, request, attempt, now)
      if (relayed.event.usage !== undefined) correctUsage(request, attempt)
      forward(context, request, attempt, relayed.event, relayed.position)
    }
  }
}

/**
 * Ends the caller's answer when the worker's stream has ended.
 *
 * @param context - the node
 * @param request - the request
 * @param attempt - the attempt that ended
 * @param now - present time in ms
 */
export const onEnd = (context: RequestsContext, request: ModelRequest, attempt: ModelAttempt, now: number): void => {
  if (request.relay.finishReason === undefined) return recover(context, request, 'cut', now)
  complete(context, request, attempt, now)
}
