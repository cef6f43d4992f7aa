/** Responses that the instance itself sends to a request: status, whether the request has run, and `Retry-After`. */
import { assertNever } from '../errors.js'
import type { CallProblem } from '../ports/forwardPort.js'

/** Why a request gets no response from a worker. */
export type Refusal =
  /** The instance has no configuration yet. */
  | { readonly kind: 'noConfiguration' }
  /** The configuration may be out of date, so a key or route can be neither accepted nor rejected. */
  | { readonly kind: 'unprovenConfiguration' }
  /** The configuration has no route for the host and path. */
  | { readonly kind: 'noRoute' }
  /** The route needs a key, and the request has none that belongs to a workspace. */
  | { readonly kind: 'unknownKey' }
  /** The request is malformed. */
  | { readonly kind: 'unreadable', readonly problem: CallProblem }
  /** The service has no worker that could take the request. */
  | { readonly kind: 'noWorker' }
  /** The instance shuts down; another one can take the request at once. */
  | { readonly kind: 'shuttingDown' }
  /** It is not known which software version began the stream that the request resumes, so that no worker may go on with it. */
  | { readonly kind: 'unknownOrigin' }
  /** The prompt holds a part that crashes workers. */
  | { readonly kind: 'blockedPart' }
  /** The request has crashed workers before, under whatever id. */
  | { readonly kind: 'blockedRequest' }
  /** The workspace has used up its quota; credit comes after `wait` ms. */
  | { readonly kind: 'overQuota', readonly wait: number }
  /** The instance that grants the credit of the workspace's quota has not answered. */
  | { readonly kind: 'quotaUnanswered' }
  /** No worker is expected to respond in time; `wait` is in ms, `spread` as for `overShare`. */
  | { readonly kind: 'overloaded', readonly wait: number, readonly spread?: boolean }
  /** A worker rejected the request and it may be sent to no other; `wait` is in ms, `spread` as for `overShare`. */
  | { readonly kind: 'turnedAway', readonly wait: number, readonly spread?: boolean }
  /** The workspace is over its share of a service that is short of room; `wait` is in ms and without jitter if it is already `spread` over the refused callers. */
  | { readonly kind: 'overShare', readonly wait: number, readonly spread?: boolean }
  /** The deadline passed before the request was sent. */
  | { readonly kind: 'lateUnsent' }
  /** The deadline passed; the request may have run. */
  | { readonly kind: 'late' }
  /** The attempt at the worker failed; the request may have run. */
  | { readonly kind: 'broken' }
  /** The instance has shut down before the worker's response was complete; the request may have run. */
  | { readonly kind: 'cutByShutdown' }
  /** Handling the request failed with an unexpected error; it may have run. */
  | { readonly kind: 'internalError' }

/** A complete HTTP response of the instance itself; headers are a flat list of names and values. */
export interface RefusalResponse {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Buffer
}

/** Time after which an instance without a configuration, or without recent proof that it is the newest, is likely to have it, in ms. */
const configurationRetryAfter = 400
/** Time after which a worker that is gone is likely to be back or replaced, in ms. */
const workerRetryAfter = 500
/** Time after which another instance is likely to grant credit in place of one that does not answer, in ms. */
const granterRetryAfter = 1_000
/** Time after which memory for request bodies is likely to be free again, in ms. */
const memoryRetryAfter = 500
/** Largest random addition to `Retry-After`, as a fraction of it, so that callers do not retry all at once. */
const retryJitter = 0.5
/** Shortest `Retry-After` before jitter, in ms. */
const minRetryAfter = 50
const msPerSecond = 1000

const statusOfProblem = (problem: CallProblem): number => {
  switch (problem.kind) {
    case 'missingId':
    case 'repeatedHeader':
    case 'badHeader': return 400
    case 'bodyTooLarge': return 413
    case 'noMemory': return 503
    case 'bodyStalled': return 408
    default: return assertNever(problem)
  }
}

const statusOf = (refusal: Refusal): number => {
  switch (refusal.kind) {
    case 'noConfiguration':
    case 'unprovenConfiguration':
    case 'noWorker':
    case 'shuttingDown':
    case 'unknownOrigin':
    case 'blockedPart':
    case 'blockedRequest':
    case 'quotaUnanswered':
    case 'overloaded':
    case 'turnedAway':
    case 'overShare':
    case 'lateUnsent': return 503
    case 'overQuota': return 429
    case 'noRoute': return 404
    case 'unknownKey': return 401
    case 'unreadable': return statusOfProblem(refusal.problem)
    case 'late': return 504
    case 'broken':
    case 'cutByShutdown': return 502
    case 'internalError': return 500
    default: return assertNever(refusal)
  }
}

const retryAfterOf = (refusal: Refusal): number | undefined => {
  switch (refusal.kind) {
    case 'noConfiguration':
    case 'unprovenConfiguration': return configurationRetryAfter
    case 'noWorker':
    case 'unknownOrigin':
    case 'lateUnsent': return workerRetryAfter
    case 'shuttingDown': return minRetryAfter
    case 'quotaUnanswered': return granterRetryAfter
    case 'overQuota':
    case 'overloaded':
    case 'turnedAway':
    case 'overShare': return refusal.wait
    case 'unreadable': return refusal.problem.kind === 'noMemory' ? memoryRetryAfter : undefined
    case 'noRoute':
    case 'unknownKey':
    case 'blockedPart':
    case 'blockedRequest':
    case 'late':
    case 'broken':
    case 'cutByShutdown':
    case 'internalError': return undefined
    default: return assertNever(refusal)
  }
}

/** Statuses by which callers know that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])

/**
 * Whether a caller that gets this status takes the request for one that has not run.
 *
 * @param status - HTTP status of a response
 */
export const promisesNotRun = (status: number): boolean => notRunStatuses.has(status)

/** Refusals of requests that may have run. */
const unknownOutcomes: ReadonlySet<Refusal['kind']> = new Set(['late', 'broken', 'cutByShutdown', 'internalError'])

/**
 * Whether the request has run, as stated in the response body: `not_run` guarantees that it has not.
 *
 * @param refusal - why the request got no response from a worker
 */
export const outcomeOf = (refusal: Refusal): 'not_run' | 'unknown' =>
  unknownOutcomes.has(refusal.kind) ? 'unknown' : 'not_run'

/**
 * Builds the HTTP response for a refusal, with a JSON body of its type and outcome.
 *
 * @param refusal - why the request got no response from a worker
 * @param unit - a random number from 0 to 1 for the jitter of `Retry-After`
 */
export const refusalResponse = (refusal: Refusal, unit: number): RefusalResponse => {
  const retryAfter = retryAfterOf(refusal)
  const body = Buffer.from(JSON.stringify({ type: refusal.kind, outcome: outcomeOf(refusal) }))
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)]
  if (retryAfter !== undefined) {
    const jitter = 'spread' in refusal && refusal.spread === true ? 0 : retryJitter * unit
    const wait = Math.max(minRetryAfter, retryAfter) * (1 + jitter)
    headers.push('Retry-After', (wait / msPerSecond).toFixed(2))
  }
  return { status: statusOf(refusal), headers, body }
}
