/** What the route of a request and the head of a response say about how they are handled. */
import type { AnswerHead } from '../ports/forwardPort.js'
import type { Exchange } from './forwardingTypes.js'
import { canResume } from './streamContinuation.js'

/** Lowest HTTP status of worker errors that are retried on another worker. */
const firstServerError = 500

/** Whether the status is a success. */
export const isSuccess = (status: number): boolean => status >= 200 && status < 300

/** Whether the status is an error of the worker, after which another worker may be tried. */
export const isServerError = (status: number): boolean => status >= firstServerError

/** Whether the request may run on another worker although a worker may have run it already. */
export const isRetryable = (exchange: Exchange): boolean =>
  exchange.route.kind === 'idempotent' || (exchange.route.kind === 'stream' && exchange.route.resumable && canResume(exchange))

/** HTTP statuses of successes that have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 205])
const eventStream = 'text/event-stream'

/** Whether the response is a series of events, as one that states no media type may be. */
const hasEvents = ({ status, mediaType = eventStream }: AnswerHead): boolean =>
  isSuccess(status) && !bodilessStatuses.has(status) && mediaType === eventStream

/** Whether the body of the response is passed on event by event; what is no series of events neither goes on with a stream nor ends it. */
export const isStream = ({ route }: Exchange, head: AnswerHead): boolean => route.kind === 'stream' && hasEvents(head)
