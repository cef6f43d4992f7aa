/** Finds a worker for a request and sends it there. */
import type { ModelPurpose, Route } from '../catalog/catalogTypes.js'
import { cacheScope } from '../placement/cacheScope.js'
import { affinityPart, placeModelRequest, sharedParts, type ModelCandidate, type ModelChoice } from '../placement/modelPlacement.js'
import { placePlainRequest } from '../placement/plainPlacement.js'
import { noteSent, type InFlightRequest } from '../placement/workerLoad.js'
import { shouldStorePrompt } from '../placement/shouldStorePrompt.js'
import type { Call, Dispatch, ModelDispatch, Prompt } from '../ports/forwardPort.js'
import type { Worker } from '../workers/workersTypes.js'
import { createEventSplitter } from './eventSplitter.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Exchange, SendCause } from './forwardingTypes.js'
import type { Refusal } from './refusal.js'

/** What became of trying to send a request. */
export type PlacementResult =
  | { readonly kind: 'sent' }
  /** No worker can take it now, but one is likely to soon. */
  | { readonly kind: 'noneNow' }
  | { readonly kind: 'refused', readonly refusal: Refusal }

/** A worker chosen for a request. */
interface Target {
  readonly worker: Worker
  readonly expected: number
  readonly unreadTokens: number
  readonly fetchedTokens: number
  readonly tokensAhead: number
  readonly memoryTokens: number
  readonly version: number | undefined
  readonly model: ModelDispatch | undefined
  readonly stores: boolean
}

/**
 * Chooses the service of a request among its route's targets by their shares;
 * requests with the same shared prompt go the same way.
 */
export const chooseService = (context: ForwardingContext, route: Route, call: Call): string | undefined => {
  const usable = route.targets.filter(({ service, weight }) => weight > 0 && context.workers.live(service).length > 0)
  const targets = usable.length > 0 ? usable : route.targets
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  const key = (call.prompt === undefined ? undefined : affinityPart(call.prompt))?.id ?? call.id
  let at = context.hash.h32(key) / 2 ** 32 * total
  for (const { service, weight } of targets) {
    at -= weight
    if (at < 0) return service
  }
  return targets.at(-1)?.service
}

/** The workers that may get the request: those that already had it count towards the route's limit, others only below it. */
const eligible = (context: ForwardingContext, exchange: Exchange): readonly Worker[] => {
  const { sentTo, excluded: avoided, route, service } = exchange
  const alive = [...sentTo].filter(id => context.workers.get(id) !== undefined).length
  return context.workers.live(service).filter(({ id }) => !avoided.has(id) && (sentTo.has(id) || alive < route.maxWorkers))
}

const meanCostOf = (context: ForwardingContext, workers: readonly Worker[]): number => {
  const known = workers.map(({ id }) => context.loadOf(id).tokenCost).filter(cost => cost > 0)
  return known.length === 0 ? 0 : known.reduce((sum, cost) => sum + cost, 0) / known.length
}

const modelDispatchOf = (context: ForwardingContext, choice: ModelChoice, prompt: Prompt, version: number | undefined): ModelDispatch => {
  const { candidate } = choice
  const store = context.catalog()?.partStore
  const stored = context.stored()
  if (store === undefined || stored === undefined) return { version, scope: candidate.scope }
  if (prompt.parts.length === 0) return { version, scope: candidate.scope }
  const stores = candidate.outdatedFor === 0 && shouldStorePrompt(stored, context.followsStoreEvents(), candidate.scope, prompt)
  // The store is always asked: a miss costs a ms, while the beliefs about what a worker keeps and what others stored are often wrong.
  return {
    version,
    scope: candidate.scope,
    ...(candidate.outdatedFor === 0 || stored.cachedPrefixTokens(candidate.scope, prompt.parts) > 0 ? { source: store.address } : {}),
    ...(stores ? { target: store.address } : {})
  }
}

const modelTarget = (context: ForwardingContext, exchange: Exchange, prompt: Prompt, purpose: ModelPurpose, workers: readonly Worker[], now: number): Target | undefined => {
  const versions = new Map(workers.map(worker => [worker.id, context.weights.held(worker, prompt.model)]))
  const candidates = workers
    .filter(worker => !context.weights.isLoading(worker.id, now))
    .map((worker): ModelCandidate => ({
      id: worker.id,
      load: context.loadOf(worker.id),
      kept: context.cachedPartsOf(worker.id),
      slots: worker.slots || purpose.slots,
      outdatedFor: context.weights.outdatedFor(worker, prompt.model, now),
      scope: cacheScope(prompt.model, versions.get(worker.id), exchange.workspace),
      sameDataCentre: worker.dataCentre === context.dataCentre
    }))
  const question = {
    prompt,
    purpose,
    stored: context.stored(),
    maxOutdatedTime: context.bounds().weights,
    meanTokenCost: meanCostOf(context, workers)
  }
  const choice = placeModelRequest(question, candidates, context.hash, now)
  const worker = choice === undefined ? undefined : context.workers.get(choice.candidate.id)
  if (choice === undefined || worker === undefined) return undefined
  const { expected, unreadTokens, fetchedTokens, tokensAhead, memoryTokens } = choice
  const version = versions.get(worker.id)
  const model = modelDispatchOf(context, choice, prompt, version)
  return { worker, expected, unreadTokens, fetchedTokens, tokensAhead, memoryTokens, version, model, stores: model.target !== undefined }
}

const plainTarget = (context: ForwardingContext, workers: readonly Worker[], now: number): Target | undefined => {
  const candidates = workers.map(worker => ({
    id: worker.id,
    load: context.loadOf(worker.id),
    slots: worker.slots,
    sameDataCentre: worker.dataCentre === context.dataCentre
  }))
  const choice = placePlainRequest(candidates, now)
  const worker = choice === undefined ? undefined : context.workers.get(choice.candidate.id)
  if (choice === undefined || worker === undefined) return undefined
  return { worker, expected: choice.expected, unreadTokens: 0, fetchedTokens: 0, tokensAhead: 0, memoryTokens: 0, version: undefined, model: undefined, stores: false }
}

const chooseTarget = (context: ForwardingContext, exchange: Exchange, workers: readonly Worker[], now: number): Target | undefined => {
  const { prompt } = exchange.call
  const purpose = context.catalog()?.service(exchange.service)?.purpose
  if (purpose?.kind === 'model' && prompt !== undefined) return modelTarget(context, exchange, prompt, purpose, workers, now)
  return plainTarget(context, workers, now)
}

/** The priority that workers are told, which has ten steps. */
const workerPriority = (exchange: Exchange): number => Math.max(0, Math.min(9, exchange.workspace?.priority ?? exchange.route.priority))

const dispatchOf = (exchange: Exchange, target: Target, now: number): Dispatch => {
  const { call, workspace, lastEventId: lastEvent, deadline } = exchange
  const resumeAfter = lastEvent ?? call.resumeAfter
  return {
    call,
    worker: target.worker.id,
    address: target.worker.address,
    timeLeft: Math.max(1, Math.floor(deadline - now)),
    ...(workspace === undefined ? {} : { workspace: workspace.name }),
    ...(target.model === undefined ? {} : { model: target.model, priority: workerPriority(exchange) }),
    ...(resumeAfter === undefined ? {} : { resumeAfter })
  }
}

/** Prompt tokens from which the other instances hear of a send. */
const tellingTokens = 1_000

const tellSent = (context: ForwardingContext, { call: { prompt } }: Exchange, { worker, unreadTokens, model }: Target): void => {
  if (prompt === undefined || model === undefined || prompt.inputTokens < tellingTokens) return
  const shared = sharedParts(prompt)
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0)
  const unreadShared = unreadTokens - (prompt.inputTokens - sharedTokens)
  context.announceSend(worker.id, unreadTokens, model.scope, shared, unreadShared >= tellingTokens)
}

const send = (context: ForwardingContext, exchange: Exchange, target: Target, cause: SendCause, attempt: number, time: DecisionTime): void => {
  const { now, moment } = time
  const load = context.loadOf(target.worker.id)
  const flight: InFlightRequest = {
    attempt,
    worker: target.worker.id,
    unreadTokens: target.unreadTokens,
    fetchedTokens: target.fetchedTokens,
    memoryTokens: target.memoryTokens,
    tokensAhead: target.tokensAhead,
    sentAt: now,
    expected: target.expected,
    firstEventAt: undefined
  }
  noteSent(load, flight)
  exchange.sentTo.add(target.worker.id)
  exchange.attempt = {
    id: attempt,
    worker: target.worker.id,
    flight,
    sentAt: now,
    version: target.version,
    scope: target.model?.scope,
    storesParts: target.stores,
    head: undefined,
    body: [],
    splitter: createEventSplitter(),
    lastDataAt: now,
    doubted: false,
    silent: false
  }
  context.log({
    kind: 'sent',
    id: exchange.call.id,
    worker: target.worker.id,
    cause,
    expected: Math.round(target.expected),
    flights: load.flights.size,
    unread: target.unreadTokens,
    fetched: target.fetchedTokens,
    ...(target.version === undefined ? {} : { version: target.version }),
    configuration: context.catalog()?.catalog.version ?? 0,
    proofAge: Math.round(context.lease.age(moment))
  })
  tellSent(context, exchange, target)
  context.emit({ kind: 'attempt.send', attempt, dispatch: dispatchOf(exchange, target, now) })
}

/**
 * Sends a request to the worker that is expected to answer first.
 *
 * @param context - the instance
 * @param exchange - a request without an attempt under way
 * @param cause - why it is sent, for the log
 * @param attempt - number of the new attempt
 * @param time - present time
 * @returns what became of it; nothing was sent unless it says so
 */
export const placeRequest = (context: ForwardingContext, exchange: Exchange, cause: SendCause, attempt: number, time: DecisionTime): PlacementResult => {
  const { now, moment } = time
  if (exchange.workspace !== undefined && context.lease.age(moment) >= context.bounds().keys) {
    return { kind: 'refused', refusal: { kind: 'unprovenConfiguration' } }
  }
  const workers = eligible(context, exchange)
  const target = chooseTarget(context, exchange, workers, now)
  if (target === undefined) return { kind: 'noneNow' }
  const left = exchange.deadline - now
  if (target.expected >= left) {
    return { kind: 'refused', refusal: { kind: 'overloaded', wait: Math.max(0, target.expected - left / 2) } }
  }
  send(context, exchange, target, cause, attempt, time)
  return { kind: 'sent' }
}
