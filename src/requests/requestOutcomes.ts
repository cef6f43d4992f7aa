/** Sends refusals and errors to callers and counts the outcomes of requests. */
import type { RequestsContext } from './requestsContext.js'
import { errorAnswer, errorBody, outcomeOf, type CallerError } from './requestsErrors.js'
import type { ActiveRequest } from './requestsTypes.js'

/** Lower bound of the retry delay in ms, used when no better estimate is available. */
const minRetryAfter = 1_000

/**
 * Returns the retry delay for a refused caller, with jitter so that callers do
 * not retry at the same time.
 *
 * @param context - provides the random source
 * @returns a delay between one and two seconds, in ms
 */
export const jitteredRetryAfter = ({ random }: RequestsContext): number => minRetryAfter * (1 + random.unit())

const workspaceLabel = (context: RequestsContext, workspace: string | undefined): string =>
  workspace === undefined ? 'none' : context.metrics.workspaceLabel(workspace)

/**
 * Answers a request with an error and counts it; nothing of an answer may have been sent before.
 *
 * @param context - state and services of this instance
 * @param request - number of the caller's request
 * @param workspace - its workspace, if known
 * @param error - the error to report
 */
export const refuse = (context: RequestsContext, request: number, workspace: string | undefined, error: CallerError): void => {
  context.metrics.requests.inc({ workspace: workspaceLabel(context, workspace), outcome: outcomeOf(error), error: error.kind })
  context.emit({ kind: 'caller.answer', request, ...errorAnswer(error) })
}

/**
 * Counts a request that got its complete answer.
 *
 * @param context - state and services of this instance
 * @param workspace - its workspace
 */
export const countAnswered = (context: RequestsContext, workspace: string): void => {
  context.metrics.requests.inc({ workspace: workspaceLabel(context, workspace), outcome: 'ran', error: 'none' })
}

/**
 * Fails an admitted request: with an error event if its stream is open, else with an error response.
 *
 * @param context - state and services of this instance
 * @param active - the request
 * @param error - the error to report
 */
export const fail = (context: RequestsContext, active: ActiveRequest, error: CallerError): void => {
  if (active.kind === 'model' && active.streamOpened) {
    context.metrics.requests.inc({ workspace: workspaceLabel(context, active.workspace), outcome: outcomeOf(error), error: error.kind })
    context.emit({ kind: 'caller.write', request: active.request, data: `event: error\ndata: ${errorBody(error)}\n\n` })
    context.emit({ kind: 'caller.end', request: active.request })
    return
  }
  refuse(context, active.request, active.workspace, error)
}
