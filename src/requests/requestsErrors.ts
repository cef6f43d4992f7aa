/** Errors that callers can get, with their HTTP statuses, outcomes and messages. */
import { assertNever } from '../errors.js'
import type { ResumeRefusal } from '../streams/streamsTypes.js'

/** What is known about the execution of a call: it did not run, it ran, or that is unknown. */
export type Outcome = 'not_run' | 'ran' | 'unknown'

/** Why a caller gets no answer or an incomplete one. Times are in ms. */
export type CallerError =
  | { readonly kind: 'malformed_request', readonly place: string, readonly reason: string }
  | { readonly kind: 'body_too_large', readonly limit: number }
  | { readonly kind: 'header_too_large' }
  | { readonly kind: 'request_timeout' }
  | { readonly kind: 'unauthorised' }
  | { readonly kind: 'forbidden', readonly reason: string }
  | { readonly kind: 'unknown_path', readonly path: string }
  | { readonly kind: 'unknown_model', readonly model: string }
  | { readonly kind: 'unknown_service', readonly service: string }
  | { readonly kind: 'not_ready', readonly retryAfter: number }
  | { readonly kind: 'shutting_down', readonly retryAfter: number }
  | { readonly kind: 'limit_exceeded', readonly limit: string, readonly retryAfter: number }
  | { readonly kind: 'overloaded', readonly retryAfter: number }
  | { readonly kind: 'no_endpoint', readonly retryAfter: number }
  | { readonly kind: 'deadline_exceeded', readonly outcome: Outcome, readonly retryAfter: number }
  | { readonly kind: 'endpoint_failed', readonly outcome: Outcome, readonly retryAfter: number }
  | { readonly kind: 'stream_interrupted', readonly outcome: Outcome }
  | { readonly kind: 'resume_refused', readonly refusal: ResumeRefusal['kind'] }
  | { readonly kind: 'idempotency_key_missing' }
  | { readonly kind: 'idempotency_key_invalid', readonly reason: string }
  | { readonly kind: 'idempotency_key_reused' }
  | { readonly kind: 'in_progress', readonly retryAfter: number }
  | { readonly kind: 'already_ran' }
  | { readonly kind: 'outcome_unknown' }
  | { readonly kind: 'log_unavailable', readonly retryAfter: number }

/** HTTP status and default outcome of each kind of error. */
const errorProperties: { readonly [Kind in CallerError['kind']]: { readonly status: number, readonly outcome: Outcome } } = {
  malformed_request: { status: 400, outcome: 'not_run' },
  body_too_large: { status: 413, outcome: 'not_run' },
  header_too_large: { status: 431, outcome: 'not_run' },
  request_timeout: { status: 408, outcome: 'not_run' },
  unauthorised: { status: 401, outcome: 'not_run' },
  forbidden: { status: 403, outcome: 'not_run' },
  unknown_path: { status: 404, outcome: 'not_run' },
  unknown_model: { status: 404, outcome: 'not_run' },
  unknown_service: { status: 404, outcome: 'not_run' },
  not_ready: { status: 503, outcome: 'not_run' },
  shutting_down: { status: 503, outcome: 'not_run' },
  limit_exceeded: { status: 429, outcome: 'not_run' },
  overloaded: { status: 503, outcome: 'not_run' },
  no_endpoint: { status: 503, outcome: 'not_run' },
  deadline_exceeded: { status: 504, outcome: 'unknown' },
  endpoint_failed: { status: 502, outcome: 'unknown' },
  stream_interrupted: { status: 502, outcome: 'unknown' },
  resume_refused: { status: 409, outcome: 'not_run' },
  idempotency_key_missing: { status: 400, outcome: 'not_run' },
  idempotency_key_invalid: { status: 400, outcome: 'not_run' },
  idempotency_key_reused: { status: 422, outcome: 'not_run' },
  in_progress: { status: 409, outcome: 'unknown' },
  already_ran: { status: 409, outcome: 'ran' },
  outcome_unknown: { status: 409, outcome: 'unknown' },
  log_unavailable: { status: 503, outcome: 'not_run' }
}

const formatSeconds = (ms: number): string => `${Math.max(1, Math.ceil(ms / 1000))} s`

/**
 * Describes an error in a message for people.
 *
 * @param error - the error
 * @returns one sentence, which contains no secrets
 */
export const describeCallerError = (error: CallerError): string => {
  switch (error.kind) {
    case 'malformed_request': return `${error.place}: ${error.reason}`
    case 'body_too_large': return `the body is longer than ${error.limit} bytes`
    case 'header_too_large': return 'the header is too large'
    case 'request_timeout': return 'the request did not arrive in time'
    case 'unauthorised': return 'the key is missing or not in force'
    case 'forbidden': return error.reason
    case 'unknown_path': return `nothing is served at ${error.path}`
    case 'unknown_model': return `model "${error.model}" is not served to this workspace`
    case 'unknown_service': return `service "${error.service}" is not known`
    case 'not_ready': return `no configuration is in force here yet; retry in ${formatSeconds(error.retryAfter)}`
    case 'shutting_down': return 'this instance is leaving; ask for the addresses again'
    case 'limit_exceeded': return `the workspace is over its limit of ${error.limit}; retry in ${formatSeconds(error.retryAfter)}`
    case 'overloaded': return `the deadline cannot be met now; retry in ${formatSeconds(error.retryAfter)}`
    case 'no_endpoint': return `no endpoint serves this now; retry in ${formatSeconds(error.retryAfter)}`
    case 'deadline_exceeded': return 'no answer came before the deadline'
    case 'endpoint_failed': return 'the endpoint failed'
    case 'stream_interrupted': return 'the stream ended early and cannot be continued'
    case 'resume_refused': return `the resume token is refused: ${error.refusal}`
    case 'idempotency_key_missing': return 'this call needs an Idempotency-Key header'
    case 'idempotency_key_invalid': return `the Idempotency-Key is refused: ${error.reason}`
    case 'idempotency_key_reused': return 'the Idempotency-Key belongs to a different call'
    case 'in_progress': return `the call with this key is still running; retry in ${formatSeconds(error.retryAfter)}`
    case 'already_ran': return 'the call ran; its answer is no longer kept'
    case 'outcome_unknown': return 'the call with this key may have run; it is not repeated'
    case 'log_unavailable': return `calls that may not be repeated are refused while the log is away; retry in ${formatSeconds(error.retryAfter)}`
    default: return assertNever(error)
  }
}

/**
 * Returns the outcome of the call that an error reports.
 *
 * @param error - the error
 * @returns the error's own outcome, else the default of its kind
 */
export const outcomeOf = (error: CallerError): Outcome =>
  'outcome' in error ? error.outcome : errorProperties[error.kind].outcome

/** HTTP status, headers and body of an error response. */
export interface ErrorAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/**
 * Builds the JSON body of an error.
 *
 * @param error - the error
 * @returns JSON text with `type`, `message`, `outcome` and, if a retry makes sense, `retry_after_ms`
 */
export const errorBody = (error: CallerError): string => {
  const retryAfter = 'retryAfter' in error ? { retry_after_ms: Math.ceil(error.retryAfter) } : {}
  return JSON.stringify({ error: { type: error.kind, message: describeCallerError(error), outcome: outcomeOf(error), ...retryAfter } })
}

/**
 * Builds the HTTP response of an error.
 *
 * @param error - the error
 * @returns status, headers (with `retry-after` in seconds if a retry makes sense) and JSON body
 */
export const errorAnswer = (error: CallerError): ErrorAnswer => {
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  if ('retryAfter' in error) headers['retry-after'] = String(Math.max(1, Math.ceil(error.retryAfter / 1000)))
  return { status: errorProperties[error.kind].status, headers, body: errorBody(error) }
}
