/**
 * Confines an unexpected error to the request whose handling caused it. The
 * request ends with status 500, whose outcome is `unknown`, or its response is
 * broken off; the other requests go on.
 */
import type { CallerResponses } from './callerResponses.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Exchange } from './forwardingTypes.js'
import { refusalResponse } from './refusal.js'

/** Runs steps whose errors end at most one request. */
export interface RequestIsolation {
  /**
   * Runs a step; an error is reported and ends the request.
   *
   * @param place - where an error counts, one of a fixed set of names
   * @param request - the request to which the step belongs; undefined if it belongs to none
   */
  readonly run: (place: string, request: number | undefined, time: DecisionTime, step: () => void) => void
}

/** What the isolation depends on. */
export interface IsolationOptions {
  readonly context: Pick<ForwardingContext, 'emit' | 'reportError'>
  /** The requests in progress, by number. */
  readonly exchanges: Map<number, Exchange>
  readonly responses: Pick<CallerResponses, 'refuse'>
  /** Removes a request from the queue of waiting ones. */
  readonly removeWaiting: (request: number) => void
}

/**
 * Creates the isolation of one instance's requests.
 *
 * @param options - the requests and the outputs of the instance
 */
export const createRequestIsolation = ({ context, exchanges, responses, removeWaiting }: IsolationOptions): RequestIsolation => {
  const { emit, reportError } = context

  /** Ends a request without the state that may have caused the error. */
  const drop = (request: number, exchange: Exchange | undefined): void => {
    exchanges.delete(request)
    removeWaiting(request)
    for (const attempt of [exchange?.attempt, exchange?.second, exchange?.relay]) {
      if (attempt !== undefined) emit({ kind: 'attempt.cancel', attempt: attempt.id })
    }
    if (exchange?.headSent === true) emit({ kind: 'call.abort', request })
    else emit({ kind: 'call.answer', request, ...refusalResponse({ kind: 'internalError' }, 0) })
  }

  const end = (request: number, time: DecisionTime): void => {
    const exchange = exchanges.get(request)
    // The error came before the request was recorded, or after its end; the adapter ignores a second end.
    if (exchange === undefined) return drop(request, undefined)
    try {
      responses.refuse(exchange, { kind: 'internalError' }, time)
    } catch (error) {
      reportError('endRequest', error)
      drop(request, exchange)
    }
  }

  return {
    run: (place, request, time, step) => {
      try {
        step()
      } catch (error) {
        reportError(place, error)
        if (request !== undefined) end(request, time)
      }
    }
  }
}
