/** Ends requests of callers: with a worker's response, a refusal or, for a stream that has begun, an abort. Each request ends here, or because its caller left. */
import type { WaitingQueue } from '../admission/waitingQueue.js'
import type { Moment } from '../lease/readLease.js'
import type { AnswerHead, ConnectionEnd } from '../ports/forwardPort.js'
import type { AttemptsInProgress } from './attemptsInProgress.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Attempt, Exchange } from './forwardingTypes.js'
import { isStream, isSuccess } from './exchangeKind.js'
import type { HeldAnswers } from './heldAnswers.js'
import { noteQuotaRefusal, releaseCredit } from './quotaCredit.js'
import { outcomeOf, refusalResponse, type Refusal } from './refusal.js'

/** A response that has arrived whole. */
export interface CompleteAnswer {
  /** Id of the worker that gave it, or of the instance that relayed the request. */
  readonly worker: string
  readonly head: AnswerHead
  /** Body, unless it was streamed. */
  readonly body: Buffer
}

/** The ends of requests. */
export interface CallerResponses {
  /** Refuses a request that was not admitted; `after` in ms. */
  readonly sendRefusal: (request: number, id: string, refusal: Refusal, after: number, moment: Moment) => void
  /** Ends a request without a worker's response: refuses it, or aborts its response if that has begun. */
  readonly refuse: (exchange: Exchange, refusal: Refusal, time: DecisionTime) => void
  /** Begins the response to a stream. */
  readonly open: (exchange: Exchange, head: AnswerHead) => void
  /** Ends a request with the complete response of an attempt; `now` in ms. */
  readonly complete: (exchange: Exchange, attempt: Attempt, head: AnswerHead, now: number) => void
  /** Ends a request with a complete response; `now` in ms. */
  readonly answer: (exchange: Exchange, answer: CompleteAnswer, now: number) => void
  /** Ends a request whose connection has ended; `now` in ms. */
  readonly abandon: (exchange: Exchange, reason: ConnectionEnd, now: number) => void
}

/** The workspace whose share of the memory for unread responses a response counts against. */
const workspaceOf = ({ workspace }: Exchange): { readonly workspace?: string } => workspace === undefined ? {} : { workspace: workspace.name }

/**
 * Creates the ends of the requests of one instance.
 *
 * @param context - state and outputs of the instance
 * @param exchanges - the requests in progress, by number
 * @param waitingQueue - the requests that wait for a worker
 * @param attempts - the attempts in progress
 * @param relayed - the requests that other instances have, by the id of the relay
 * @param heldAnswers - what is held of their answers
 */
export const createCallerResponses = (context: ForwardingContext, exchanges: Map<number, Exchange>, waitingQueue: WaitingQueue, attempts: AttemptsInProgress, relayed: Map<number, Exchange>, heldAnswers: Pick<HeldAnswers, 'release'>): CallerResponses => {
  const elapsed = (exchange: Exchange, now: number): number => Math.round(now - exchange.arrivedAt)

  const sendRefusal = (request: number, id: string, refusal: Refusal, after: number, moment: Moment): void => {
    const answer = refusalResponse(refusal, context.random.unit())
    context.log({
      kind: 'refused',
      id,
      reason: refusal.kind,
      outcome: outcomeOf(refusal),
      after,
      configuration: context.catalog()?.catalog.version ?? 0,
      proofAge: Math.round(Math.min(context.lease.age(moment), Number.MAX_SAFE_INTEGER))
    })
    context.emit({ kind: 'call.answer', request, ...answer })
  }

  const cancelRelay = (exchange: Exchange): void => {
    if (exchange.relay === undefined) return
    const { id } = exchange.relay
    exchange.relay = undefined
    relayed.delete(id)
    heldAnswers.release(id)
    context.emit({ kind: 'attempt.cancel', attempt: id })
  }

  /** An error may come much sooner than an answer. */
  const noteDuration = ({ route, arrivedAt, sentTo }: Exchange, served: boolean, now: number): void => {
    if (sentTo.size > 0) context.durations.add(route.name, now - arrivedAt, served, now)
  }

  const remove = (exchange: Exchange, whole: boolean, now: number): void => {
    releaseCredit(context, exchange, whole, now)
    attempts.cancelAll(exchange, now)
    cancelRelay(exchange)
    if (exchange.streamBegun) context.streamOrigins.end(exchange.call.id, whole, now)
    exchanges.delete(exchange.request)
    waitingQueue.remove(exchange.request)
  }

  const refuse = (exchange: Exchange, refusal: Refusal, { now, moment }: DecisionTime): void => {
    const { request, call, lastFailure } = exchange
    noteQuotaRefusal(context, exchange, refusal)
    noteDuration(exchange, false, now)
    remove(exchange, false, now)
    if (exchange.headSent) {
      context.log({ kind: 'brokenOff', id: call.id, reason: refusal.kind, after: elapsed(exchange, now), events: exchange.events, ...(lastFailure === undefined ? {} : { lastAttempt: lastFailure.reason, worker: lastFailure.worker }) })
      context.emit({ kind: 'call.abort', request })
      return
    }
    const accurateRefusal = exchange.mayHaveRun && outcomeOf(refusal) === 'not_run' ? { kind: 'broken' } as const : refusal
    sendRefusal(request, call.id, context.requestOrder.spreadReturn(exchange, accurateRefusal, now), elapsed(exchange, now), moment)
  }

  const open = (exchange: Exchange, head: AnswerHead): void => {
    exchange.headSent = true
    exchange.mayHaveRun = true
    context.emit({ kind: 'call.open', request: exchange.request, status: head.status, headers: head.headers, ...workspaceOf(exchange) })
  }

  const complete = (exchange: Exchange, attempt: Attempt, head: AnswerHead, now: number): void => {
    attempts.complete(exchange, attempt)
    answer(exchange, { worker: attempt.worker, head, body: attempt.body.bytes() }, now)
  }

  const answer = (exchange: Exchange, { worker, head, body }: CompleteAnswer, now: number): void => {
    noteDuration(exchange, isSuccess(head.status), now)
    remove(exchange, true, now)
    context.log({ kind: 'answered', id: exchange.call.id, worker, status: head.status, after: elapsed(exchange, now), events: exchange.events, ...(exchange.firstEventAt === undefined ? {} : { first: Math.round(exchange.firstEventAt - exchange.arrivedAt) }) })
    if (isStream(exchange, head)) context.emit({ kind: 'call.end', request: exchange.request })
    else context.emit({ kind: 'call.answer', request: exchange.request, status: head.status, headers: head.headers, body, ...workspaceOf(exchange) })
  }

  const abandon = (exchange: Exchange, reason: ConnectionEnd, now: number): void => {
    context.log({ kind: 'callerLeft', id: exchange.call.id, reason, after: elapsed(exchange, now), events: exchange.events })
    noteDuration(exchange, false, now)
    remove(exchange, false, now)
  }

  return { sendRefusal, refuse, open, complete, answer, abandon }
}
