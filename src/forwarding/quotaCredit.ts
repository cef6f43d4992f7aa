/**
 * Credit of requests whose workspace has a quota. A request needs it once, before
 * it is first sent to a worker, so that a refusal states truly that it has not run.
 * Retries, second attempts and what another instance has counted before it relayed
 * the request need none. Credit goes back if no worker may have run the request.
 */
import { requestCost } from '../quotas/requestCost.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { Exchange } from './forwardingTypes.js'
import type { Refusal } from './refusal.js'
import { maxWaitShare } from './waitOrRefuse.js'

/** Why a request cannot be sent now: it waits for the granter's answer, or is refused. */
export type CreditObstacle =
  | { readonly kind: 'awaitsPeer' }
  | { readonly kind: 'refused', readonly refusal: Refusal }

type Quotas = Pick<ForwardingContext, 'quotas'>

/** Whether a worker has got the request on its credit. */
const isSpent = ({ credit, sentTo }: Exchange): boolean => credit !== undefined && sentTo.size > 0

/** Whether the request counts already, so that it needs no credit any more. */
const isCounted = ({ quotas }: Quotas, exchange: Exchange, now: number): boolean => {
  const { call, workspace, mayHaveRun, headSent } = exchange
  if (isSpent(exchange) || mayHaveRun || headSent) return true
  return call.relayed === true && workspace !== undefined && quotas.isCounted(workspace.name, call.id, now)
}

const hasValidCredit = ({ credit }: Exchange, now: number): boolean => credit !== undefined && credit.until > now

const overQuota = (until: number, now: number): CreditObstacle => ({ kind: 'refused', refusal: { kind: 'overQuota', wait: until - now } })

/** A request waits for its granter as long as for a worker. */
const awaitGranter = ({ arrivedAt, deadline, route }: Exchange, now: number): CreditObstacle =>
  now < Math.min(deadline, arrivedAt + maxWaitShare * route.objective) ? { kind: 'awaitsPeer' } : { kind: 'refused', refusal: { kind: 'quotaUnanswered' } }

/**
 * Checks whether a request may have credit, before a worker is chosen for it.
 *
 * @param context - the quotas
 * @param exchange - the request
 * @param now - present time, in ms
 * @returns what keeps it from being sent; undefined if nothing is known to
 */
export const checkCredit = (context: Quotas, exchange: Exchange, now: number): CreditObstacle | undefined => {
  const { workspace, call } = exchange
  if (workspace?.quota === undefined || isCounted(context, exchange, now) || hasValidCredit(exchange, now)) return undefined
  const state = context.quotas.stateFor(workspace, requestCost(workspace.quota, call.prompt), now)
  if (state.kind === 'denied') return overQuota(state.until, now)
  return state.kind === 'asked' ? awaitGranter(exchange, now) : undefined
}

/**
 * Takes credit for a request that is about to be sent, or asks for some; parameters and result as for `checkCredit`.
 */
export const takeCredit = (context: Quotas, exchange: Exchange, now: number): CreditObstacle | undefined => {
  const { workspace, call } = exchange
  if (workspace?.quota === undefined || isCounted(context, exchange, now) || hasValidCredit(exchange, now)) return undefined
  giveBack(context, exchange, now)
  const result = context.quotas.take(workspace, requestCost(workspace.quota, call.prompt), now)
  switch (result.kind) {
    case 'unlimited': return undefined
    case 'taken':
      exchange.credit = result.credit
      if (call.relayed === true) context.quotas.noteRelayed(call.id, result.credit)
      return undefined
    case 'denied': return overQuota(result.until, now)
    case 'wanted':
    case 'asked': return awaitGranter(exchange, now)
  }
}

const giveBack = ({ quotas }: Quotas, exchange: Exchange, now: number): void => {
  if (exchange.credit !== undefined) quotas.giveBack(exchange.credit, now)
  exchange.credit = undefined
}

/** Counts a request that has arrived; parameters as for `checkCredit`. */
export const noteQuotaArrival = ({ quotas }: Quotas, { workspace, call }: Exchange, now: number): void => {
  if (workspace?.quota !== undefined) quotas.noteArrival(workspace, requestCost(workspace.quota, call.prompt), now)
}

/** Gives the credit of a request that ends back, unless a worker may have run it; `whole` if it was answered. */
export const releaseCredit = (context: Quotas, exchange: Exchange, whole: boolean, now: number): void => {
  if (whole || exchange.mayHaveRun || exchange.attempt !== undefined || exchange.second !== undefined) return
  giveBack(context, exchange, now)
}

/** Tells an instance that is about to get a request whether it counts already; one that does not is counted there. */
export const handCreditOver = (context: Quotas, exchange: Exchange, peer: string, now: number): void => {
  const { workspace, call } = exchange
  if (workspace?.quota === undefined) return
  if (isCounted(context, exchange, now)) context.quotas.tellCounted(peer, workspace.name, call.id)
  else giveBack(context, exchange, now)
}

/** Records a request that is refused for want of credit: it adds nothing to the retry budget of its service. */
export const noteQuotaRefusal = (context: Pick<ForwardingContext, 'quotas' | 'retries'>, { workspace, service, arrivedAt }: Exchange, refusal: Refusal): void => {
  if (refusal.kind !== 'overQuota' || workspace === undefined) return
  context.quotas.noteRefused(workspace.name, refusal.wait)
  context.retries(service).withdrawRequest(arrivedAt)
}
