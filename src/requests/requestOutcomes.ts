/** Ends requests: answers the caller once, and counts the outcome. */
import type { RequestsContext } from './requestsContext.js'
import { errorAnswer, errorBody, outcomeOf, type CallerError } from './requestsErrors.js'
import type { ActiveRequest } from './requestsTypes.js'

/** Milliseconds after which a caller may come back when nothing better is known. */
const comeBackAfter = 1_000

/**
 * When to come back, spread so that callers do not return together.
 *
 * @param context - source of chance
 * @returns a time between one and two seconds, in ms
 */
export const jitteredRetryAfter = ({ random }: RequestsContext): number => comeBackAfter * (1 + random.unit())

const workspaceOf = (context: RequestsContext, workspace: string | undefined): string =>
  workspace === undefined ? 'none' : context.metrics.workspaceLabel(workspace)

/**
 * Refuses a request that has no answer yet.
 *
 * @param context - the node
 * @param request - the caller's request
 * @param workspace - its workspace, if known
 * @param error - why
 */
export const refuse = (context: RequestsContext, request: number, workspace: string | undefined, error: CallerError): void => {
  context.metrics.requests.inc({ workspace: workspaceOf(context, workspace), outcome: outcomeOf(error), error: error.kind })
  context.emit({ kind: 'caller.answer', request, ...errorAnswer(error) })
}

/**
 * Counts a request that got its whole answer.
 *
 * @param context - the node
 * @param workspace - its workspace
 */
export const countAnswered = (context: RequestsContext, workspace: string): void => {
  context.metrics.requests.inc({ workspace: workspaceOf(context, workspace), outcome: 'ran', error: 'none' })
}

/**
 * Fails an admitted request, whether or not its stream is open.
 *
 * @param context - the node
 * @param active - the request
 * @param error - why
 */
export const fail = (context: RequestsContext, active: ActiveRequest, error: CallerError): void => {
  if (active.kind === 'model' && active.streamOpened) {
    context.metrics.requests.inc({ workspace: workspaceOf(context, active.workspace), outcome: outcomeOf(error), error: error.kind })
    context.emit({ kind: 'caller.write', request: active.request, data: `event: error\ndata: ${errorBody(error)}\n\n` })
    context.emit({ kind: 'caller.end', request: active.request })
    return
  }
  refuse(context, active.request, active.workspace, error)
}
