/** Chooses another worker for a model request whose attempt has failed or is silent. */
import type { WorkerChoice } from '../routing/routingTypes.js'
import type { RequestsContext } from './requestsContext.js'
import type { ModelRequest } from './requestsTypes.js'

/**
 * Whether the caller already has events that this instance has not relayed yet; another
 * worker would generate different ones.
 *
 * @param request - the request
 */
export const isBehindCaller = ({ relay, forwardFrom }: ModelRequest): boolean => relay.next < forwardFrom

/** Whether this instance lacks the start of the answer, as it resumed a stream that went on at its engine after another one had begun it. */
const lacksStart = ({ resume }: ModelRequest): boolean => resume?.identity.base !== undefined

const hasToolCalls = (request: ModelRequest): boolean => {
  const delta = request.relay.choice.delta as { tool_calls?: unknown } | undefined
  return delta?.tool_calls !== undefined
}

/**
 * Chooses a worker that may run the request, or go on with its answer: that only one with
 * the same weights may do, and only if the answer so far is text, without tool calls.
 *
 * @param context - state and services of this instance
 * @param request - the request
 * @param exclude - ids of endpoints that must not be chosen
 * @param now - current time in ms
 * @returns the worker, or undefined if there is none
 */
export const chooseAnotherWorker = (context: RequestsContext, request: ModelRequest, exclude: readonly string[], now: number): WorkerChoice | undefined => {
  if (isBehindCaller(request) || lacksStart(request)) return undefined
  const hasBegun = request.relay.next > 0
  if (hasBegun && hasToolCalls(request)) return undefined
  const weightVersion = hasBegun ? request.weightVersion : request.routingRequest.weightVersion
  return context.routing.choose({ ...request.routingRequest, weightVersion, exclude }, context.endpoints(), now).unwrapOr(undefined)
}
