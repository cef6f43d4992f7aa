/**
 * State machine of caller requests, from arrival to outcome. It connects rules,
 * routing, limits, claims and streams; each step handles one input and emits
 * effects.
 */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { assertNever } from '../errors.js'
import type { ClaimsEffect } from '../claims/claimsTypes.js'
import type { CallerInput } from '../ports/callerPort.js'
import type { EndpointInput } from '../ports/endpointPort.js'
import type { Tick } from '../ports/peerPort.js'
import type { RuleDecision, RuleQuery } from '../rules/rulesTypes.js'
import { recover } from './modelAttempts.js'
import { dropAttempt, dropSecond, finish } from './modelCompletion.js'
import { startModelRequest, type AuthorisedRequest } from './modelAdmission.js'
import { onChunk, onEnd, onHead } from './modelStream.js'
import type { RequestsContext } from './requestsContext.js'
import type { CallerError } from './requestsErrors.js'
import { jitteredRetryAfter, fail, refuse } from './requestOutcomes.js'
import { parseRequest, type Operation } from './requestsParser.js'
import type { ActiveRequest, ModelAttempt, ModelCall, ModelRequest, ServiceCall } from './requestsTypes.js'
import { beginIfOverdue, beginIfStalled, isLost, reportTimeout } from './secondAttempts.js'
import { startServiceRequest, dispatchService, expireService, onClaimRefused, onServiceAnswer, onServiceFailure } from './serviceRequests.js'

type Arrival = Extract<CallerInput, { kind: 'caller.request' }>
type AttemptInput = Extract<EndpointInput, { attempt: number }>
type ClaimAnswer = Extract<ClaimsEffect, { kind: 'claims.granted' | 'claims.refused' }>

/** Inputs of request handling. */
export type RequestsInput = CallerInput | AttemptInput | ClaimAnswer | Tick

/** HTTP statuses of a worker after which the request is tried at another worker. */
const retryableStatuses = new Set([404, 408, 409, 425, 429, 500, 502, 503, 504])

/** Serves the operations that need no endpoint: the lists of addresses and models. */
export interface Directory {
  readonly addresses: (workspace: string, caller: string, now: number) => unknown
  readonly models: (workspace: string, now: number) => unknown
}

/** Request handling of one instance. */
export interface Requests {
  readonly handle: (input: RequestsInput, now: number) => void
  /** Returns the number of unfinished requests. */
  readonly running: () => number
}

const sha256 = (...parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(part).update('\n')
  return hash.digest('hex')
}

/**
 * Computes the hash by which the rules identify a caller's API key.
 *
 * @param authorization - value of the `authorization` header
 * @returns SHA-256 of the key in lower-case hexadecimal, or undefined without a bearer key
 */
export const keyHash = (authorization: string | undefined): string | undefined => {
  const key = /^Bearer ([\x21-\x7e]+)$/i.exec(authorization ?? '')?.[1]
  return key === undefined ? undefined : createHash('sha256').update(key).digest('hex')
}

const ruleQueryOf = (workspace: string, call: ModelCall | ServiceCall): RuleQuery => call.kind === 'model'
  ? { workspace, model: call.model, adapter: call.adapter }
  : { workspace, service: call.service, method: call.method, path: call.path.split('?')[0] }

const ruleRefusalError = (decision: RuleDecision, call: ModelCall | ServiceCall): CallerError => {
  if (call.kind === 'service') return { kind: 'forbidden', reason: 'the rules deny this call' }
  if (decision.refusal === 'unknownModel' || decision.refusal === 'unknownAdapter') return { kind: 'unknown_model', model: call.model }
  return { kind: 'forbidden', reason: 'the rules deny this model' }
}

const jsonHeaders = { 'content-type': 'application/json' }

/**
 * Creates the request handling of an instance; effects are emitted through the context.
 *
 * @param context - state and services of this instance
 * @param directory - serves the operations that need no endpoint
 * @returns the request handling
 */
export const createRequests = (context: RequestsContext, directory: Directory): Requests => {
  const { db } = context

  const authorise = (arrival: Arrival, now: number): Result<{ readonly workspace: string }, CallerError> => {
    const ruleset = context.ruleset(now)
    if (ruleset === undefined) return err({ kind: 'not_ready', retryAfter: jitteredRetryAfter(context) })
    const hash = keyHash(arrival.headers.authorization)
    const workspace = hash === undefined ? undefined : ruleset.workspaceOfKey(hash, now)
    return workspace === undefined ? err({ kind: 'unauthorised' }) : ok({ workspace })
  }

  const deadlineOf = (arrival: Arrival, decision: RuleDecision, now: number): number => {
    const requestedTimeout = Number(arrival.headers['x-deadline-ms'])
    return now + (requestedTimeout > 0 ? Math.min(requestedTimeout, decision.deadline) : decision.deadline)
  }

  const startCall = (arrival: Arrival, call: ModelCall | ServiceCall, workspace: string, now: number): void => {
    const decision = context.ruleset(now)?.decide(ruleQueryOf(workspace, call))
    if (decision === undefined) return refuse(context, arrival.request, workspace, { kind: 'not_ready', retryAfter: jitteredRetryAfter(context) })
    if (!decision.allowed) return refuse(context, arrival.request, workspace, ruleRefusalError(decision, call))
    const authorisedRequest: AuthorisedRequest = {
      request: arrival.request,
      workspace,
      fingerprint: sha256(arrival.method, arrival.path, arrival.body),
      arrived: now,
      deadline: deadlineOf(arrival, decision, now),
      decision,
      lastEventId: arrival.headers['last-event-id']
    }
    if (call.kind === 'model') startModelRequest(context, authorisedRequest, call, now)
    else startServiceRequest(context, authorisedRequest, call, now)
  }

  const runOperation = (arrival: Arrival, operation: Operation, now: number): void => {
    const { request } = arrival
    if (operation.kind === 'addresses') {
      const body = JSON.stringify(directory.addresses(operation.workspace, arrival.remote, now))
      return context.emit({ kind: 'caller.answer', request, status: 200, headers: jsonHeaders, body })
    }
    const authorised = authorise(arrival, now)
    if (authorised.isErr()) return refuse(context, request, undefined, authorised.error)
    const { workspace } = authorised.value
    if (operation.kind === 'models') {
      return context.emit({ kind: 'caller.answer', request, status: 200, headers: jsonHeaders, body: JSON.stringify(directory.models(workspace, now)) })
    }
    if (db.requests.size >= context.options.inFlight) return refuse(context, request, workspace, { kind: 'overloaded', retryAfter: jitteredRetryAfter(context) })
    startCall(arrival, operation.call, workspace, now)
  }

  /** Reports an error in the body only to callers with a valid key; others get the authorisation error. */
  const refuseUnparsed = (arrival: Arrival, error: CallerError, now: number): void => {
    const isBodyError = error.kind === 'malformed_request' && error.place.startsWith('body')
    const refusal = isBodyError ? authorise(arrival, now).match(() => error, unauthorised => unauthorised) : error
    refuse(context, arrival.request, undefined, refusal)
  }

  const onCallerRequest = (arrival: Arrival, now: number): void =>
    parseRequest(arrival).match(
      operation => runOperation(arrival, operation, now),
      error => refuseUnparsed(arrival, error, now)
    )

  const onCallerGone = (active: ActiveRequest, now: number): void => {
    active.disconnectedAt = now
    if (active.kind === 'service') {
      if (active.attempt === undefined && !active.decision.repeatable) context.emit({ kind: 'requests.claims', input: { kind: 'claims.abandon', request: active.request } })
      return
    }
    dropSecond(context, active, 'cancel')
    if (active.blocked && active.attempt !== undefined) context.emit({ kind: 'endpoint.resume', attempt: active.attempt.attempt })
    if (active.call.stream && active.streamOpened) return
    dropAttempt(context, active, 'cancel')
    finish(context, active, now)
  }

  const setCallerBlocked = (active: ActiveRequest, blocked: boolean, now: number): void => {
    if (active.kind !== 'model') return
    active.blocked = blocked
    if (!blocked) active.readyAt = now
    for (const attempt of [active.attempt, active.second]) {
      if (attempt !== undefined) context.emit({ kind: blocked ? 'endpoint.pause' : 'endpoint.resume', attempt: attempt.attempt })
    }
  }

  const onModelAnswer = (request: ModelRequest, attempt: ModelAttempt, status: number, body: Uint8Array, now: number): void => {
    if (attempt.flight === undefined) return recover(context, request, attempt, 'lost', now)
    if (retryableStatuses.has(status) || status < 400) return recover(context, request, attempt, status === 409 ? 'wrongVersion' : 'busy', now)
    if (attempt === request.second) return recover(context, request, attempt, 'busy', now)
    if (request.streamOpened) {
      fail(context, request, { kind: 'stream_interrupted', outcome: 'unknown' })
    } else {
      context.metrics.requests.inc({ workspace: context.metrics.workspaceLabel(request.workspace), outcome: 'not_run', error: 'refused_by_engine' })
      context.emit({ kind: 'caller.answer', request: request.request, status, headers: jsonHeaders, body })
    }
    dropAttempt(context, request, 'none')
    finish(context, request, now)
  }

  const onModelInput = (request: ModelRequest, attempt: ModelAttempt, input: AttemptInput, now: number): void => {
    switch (input.kind) {
      case 'endpoint.head': return onHead(context, request, attempt, input, now)
      case 'endpoint.chunk': return attempt.headReceived ? onChunk(context, request, attempt, input, now) : recover(context, request, attempt, 'garbled', now)
      case 'endpoint.end': return onEnd(context, request, attempt, now)
      case 'endpoint.answer': return onModelAnswer(request, attempt, input.status, input.body, now)
      case 'endpoint.failed': return recover(context, request, attempt, input.sent ? (input.failure === 'refused' ? 'cut' : input.failure) : 'unsent', now)
      default: return assertNever(input)
    }
  }

  const onAttempt = (input: AttemptInput, now: number): void => {
    const attempt = db.attempts.get(input.attempt)
    const request = db.requestOfAttempt(input.attempt)
    if (request === undefined || attempt === undefined) return
    if (request.kind === 'model') {
      if (attempt.kind === 'model') onModelInput(request, attempt, input, now)
      return
    }
    if (input.kind === 'endpoint.answer') return onServiceAnswer(context, request, input, now)
    if (input.kind === 'endpoint.failed') return onServiceFailure(context, request, input, now)
  }

  const onClaim = (input: ClaimAnswer, now: number): void => {
    const request = db.requests.get(input.request)
    if (request?.kind !== 'service') return
    if (input.kind === 'claims.granted') return dispatchService(context, request, now)
    onClaimRefused(context, request, input.refusal, now)
  }

  const expire = (active: ActiveRequest, now: number): void => {
    if (active.kind === 'service') {
      if (now >= active.deadline) expireService(context, active, now)
      return
    }
    const resumeGraceOver = active.disconnectedAt !== undefined && now - active.disconnectedAt >= context.options.resumeGrace
    const firstTokenOverdue = active.firstTokenAt === undefined && now >= active.deadline
    if (!firstTokenOverdue && !resumeGraceOver) return active.firstTokenAt === undefined ? beginIfOverdue(context, active, now) : expireStalled(active, active.attempt, now)
    const latest = active.second ?? active.attempt
    if (firstTokenOverdue && latest !== undefined) reportTimeout(context, latest.endpoint)
    if (active.disconnectedAt === undefined) fail(context, active, { kind: 'deadline_exceeded', outcome: 'unknown', retryAfter: jitteredRetryAfter(context) })
    dropAttempt(context, active, 'cancel')
    finish(context, active, now)
  }

  const expireStalled = (active: ModelRequest, attempt: ModelAttempt | undefined, now: number): void => {
    if (attempt !== undefined && isLost(context, active, attempt, now)) recover(context, active, attempt, 'stalled', now)
    else beginIfStalled(context, active, now)
  }

  const tick = (now: number): void => {
    for (const active of db.requests.values()) expire(active, now)
  }

  const withRequest = (request: number, action: (active: ActiveRequest) => void): void => {
    const active = db.requests.get(request)
    if (active !== undefined) action(active)
  }

  const handle = (input: RequestsInput, now: number): void => {
    switch (input.kind) {
      case 'caller.request': return onCallerRequest(input, now)
      case 'caller.gone': return withRequest(input.request, active => onCallerGone(active, now))
      case 'caller.blocked': return withRequest(input.request, active => setCallerBlocked(active, true, now))
      case 'caller.ready': return withRequest(input.request, active => setCallerBlocked(active, false, now))
      case 'claims.granted':
      case 'claims.refused': return onClaim(input, now)
      case 'tick': return tick(now)
      default: return onAttempt(input, now)
    }
  }

  return { handle, running: () => db.requests.size }
}
