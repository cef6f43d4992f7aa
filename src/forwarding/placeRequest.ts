/** Chooses the service and the worker for a request and sends the request to it. */
import type { ModelPurpose } from '../catalog/catalogTypes.js'
import type { CoordinatedPlacement } from '../coordination/placementCoordination.js'
import { assertNever } from '../errors.js'
import { placeModelRequest, sharedParts, type ModelChoice } from '../placement/modelPlacement.js'
import { placePlainRequest } from '../placement/plainPlacement.js'
import { noteSent, type InFlightRequest } from '../placement/workerLoad.js'
import { shouldStorePrompt } from '../placement/shouldStorePrompt.js'
import type { Call, Dispatch, ModelDispatch, Prompt } from '../ports/forwardPort.js'
import type { Worker } from '../workers/workersTypes.js'
import { createByteBuffer } from '../byteBuffer.js'
import { createEventSplitter } from './eventSplitter.js'
import { isExcluded } from './exclusions.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Attempt, Exchange, SendCause } from './forwardingTypes.js'
import { modelQuery } from './modelQuery.js'
import { checkCredit, takeCredit } from './quotaCredit.js'
import type { Refusal } from './refusal.js'
import { relayPeers } from './relayPeers.js'
import type { RelayPeer } from './relays.js'
import { priorityOf, workerPriority } from './requestPriority.js'
import { bindToOrigin, fitsOrigin } from './streamContinuation.js'
import { createStreamProgress } from './streamProgress.js'

/** Result of an attempt to place a request on a worker. */
export type PlacementResult =
  | { readonly kind: 'sent', readonly attempt: Attempt }
  /** No worker can take the request now; one may soon, but none before `pausedUntil` (ms) if that is given, since all have asked for no requests until then or are at their limits. `interval` is the time, in ms, for which this instance then waits for each further request. */
  | { readonly kind: 'noneAvailable', readonly pausedUntil?: number, readonly interval?: number }
  /** This instance is cut off from the service's workers; one of these takes the request. */
  | { readonly kind: 'relay', readonly peers: readonly RelayPeer[] }
  /** Another instance has been asked where the stream began, for credit of the workspace's quota, for a permit of the best worker, which has a limit, or, as a coordinator, for the worker. */
  | { readonly kind: 'awaitsPeer', readonly asksCoordinator?: boolean }
  | { readonly kind: 'refused', readonly refusal: Refusal }

/** The worker chosen for a request, with the estimated costs there; `expected` is the time to the response or to a stream's first event, in ms. */
interface ChosenWorker {
  readonly worker: Worker
  readonly expected: number
  readonly unreadTokens: number
  readonly fetchedTokens: number
  readonly tokensAhead: number
  readonly memoryTokens: number
  readonly version: number | undefined
  readonly model: ModelDispatch | undefined
  readonly storesParts: boolean
  /** The instance that chose the worker, if a coordinator did. */
  readonly coordinator?: string
}

/** The workers to which the request may be sent. Those that already received it stay eligible; others are added only while fewer than the route's `maxWorkers` known workers received it. */
const eligible = (context: ForwardingContext, exchange: Exchange, now: number): readonly Worker[] => {
  const { sentTo, route, service } = exchange
  const liveCount = [...sentTo].filter(id => context.workers.get(id) !== undefined).length
  return context.workers.live(service).filter(worker => !isExcluded(exchange, worker.id, now) && (sentTo.has(worker.id) || liveCount < route.maxWorkers) && fitsOrigin(context, exchange, worker, now))
}

const withUsableWeights = (context: ForwardingContext, { call, service }: Exchange, workers: readonly Worker[], now: number): readonly Worker[] =>
  call.prompt === undefined ? workers : context.usableWeights.among(workers, service, call.prompt.model, now)

/** Time, in ms, from which the worker accepts a request of this instance; not after `now` if it does at once. */
const acceptsFrom = (context: ForwardingContext, worker: Worker, now: number): number => {
  const { pausedUntil } = context.loadOf(worker.id)
  const permit = context.limits.permitFor(worker, now)
  return permit.kind === 'denied' ? Math.max(pausedUntil, permit.until) : pausedUntil
}

/** Mean time between the permits that this instance gets for limited workers, in ms, if all instances have the same share; 0 if one worker has no limit. */
const permitInterval = (context: ForwardingContext, workers: readonly Worker[]): number => {
  const total = workers.reduce((sum, worker) => sum + (context.limits.perSecond(worker) ?? Infinity), 0)
  return Number.isFinite(total) && total > 0 ? context.instances() * msPerSecond / total : 0
}

const modelDispatchOf = (context: ForwardingContext, choice: ModelChoice, prompt: Prompt, version: number | undefined, now: number): ModelDispatch => {
  const { candidate } = choice
  const store = context.partStoreOf(sharedParts(prompt))
  if (store === undefined) return { version, scope: candidate.scope }
  const stored = store.index
  const followsEvents = context.followsStoreEvents()
  const stores = candidate.outdatedFor === 0 && shouldStorePrompt(stored, followsEvents, candidate.scope, prompt) &&
    (followsEvents || context.takeStoreBudget(prompt.inputTokens, now))
  // A worker on the newest weights always gets the store as a source: a miss costs 1 ms, while the estimates of worker caches and of parts stored by other instances are often wrong.
  return {
    version,
    scope: candidate.scope,
    ...(candidate.outdatedFor === 0 || stored.cachedPrefixTokens(candidate.scope, prompt.parts) > 0 ? { source: store.address } : {}),
    ...(stores ? { target: store.address } : {})
  }
}

const modelTarget = (context: ForwardingContext, exchange: Exchange, prompt: Prompt, purpose: ModelPurpose, workers: readonly Worker[], now: number): ChosenWorker | undefined => {
  const { input, candidates } = modelQuery(context, prompt, purpose, exchange.workspace, workers, context.loadOf, now)
  const choice = placeModelRequest(input, candidates, context.hash, now)
  const worker = choice === undefined ? undefined : context.workers.get(choice.candidate.id)
  if (choice === undefined || worker === undefined) return undefined
  const { expected, unreadTokens, fetchedTokens, tokensAhead, memoryTokens } = choice
  const version = context.weights.held(worker, prompt.model)
  const model = modelDispatchOf(context, choice, prompt, version, now)
  return { worker, expected, unreadTokens, fetchedTokens, tokensAhead, memoryTokens, version, model, storesParts: model.target !== undefined }
}

const plainTarget = (context: ForwardingContext, workers: readonly Worker[], now: number): ChosenWorker | undefined => {
  const candidates = workers.map(worker => ({
    id: worker.id,
    load: context.loadOf(worker.id),
    slots: worker.slots,
    sameDataCentre: worker.dataCentre === context.dataCentre
  }))
  const choice = placePlainRequest(candidates, now)
  const worker = choice === undefined ? undefined : context.workers.get(choice.candidate.id)
  if (choice === undefined || worker === undefined) return undefined
  return { worker, expected: choice.expected, unreadTokens: 0, fetchedTokens: 0, tokensAhead: 0, memoryTokens: 0, version: undefined, model: undefined, storesParts: false }
}

const chooseTarget = (context: ForwardingContext, exchange: Exchange, workers: readonly Worker[], now: number): ChosenWorker | undefined => {
  const { prompt } = exchange.call
  const purpose = context.catalog()?.service(exchange.service)?.purpose
  if (purpose?.kind === 'model' && prompt !== undefined) return modelTarget(context, exchange, prompt, purpose, workers, now)
  return plainTarget(context, workers, now)
}

const coordinate = (context: ForwardingContext, { request, service, call, workspace }: Exchange, workers: readonly Worker[], attempt: number, now: number): CoordinatedPlacement =>
  context.coordination.place({ request, service, prompt: call.prompt, workspace: workspace?.name }, workers, attempt, now)

/** The worker that a coordinator has named, with its estimates, or the best one by those of this instance. */
const targetOf = (context: ForwardingContext, exchange: Exchange, placement: Extract<CoordinatedPlacement, { kind: 'named' | 'byItself' }>, now: number): ChosenWorker | undefined => {
  if (placement.kind === 'byItself') return chooseTarget(context, exchange, placement.workers, now)
  const target = chooseTarget(context, exchange, [placement.worker], now)
  if (target === undefined) return undefined
  const { expected, unreadTokens, fetchedTokens, tokensAhead } = placement.answer
  return { ...target, expected, unreadTokens, fetchedTokens, tokensAhead, coordinator: placement.coordinator }
}

const dispatchOf = (exchange: Exchange, target: ChosenWorker, priority: number, now: number): Dispatch => {
  const { call, workspace, lastEventId, deadline } = exchange
  const resumeAfter = lastEventId ?? call.resumeAfter
  return {
    call,
    worker: target.worker.id,
    address: target.worker.address,
    timeLeft: Math.max(1, Math.floor(deadline - now)),
    ...(workspace === undefined ? {} : { workspace: workspace.name }),
    ...(target.model === undefined ? {} : { model: target.model, priority }),
    ...(resumeAfter === undefined ? {} : { resumeAfter })
  }
}

const msPerSecond = 1_000
/** Number of prompt tokens from which the other instances are informed of a send; also the number of shared tokens to prefill from which the shared parts count as cached by no worker. */
const announceMinTokens = 1_000

const announceLongPrompt = (context: ForwardingContext, { call: { prompt } }: Exchange, { worker, unreadTokens, model, storesParts }: ChosenWorker): void => {
  if (prompt === undefined || model === undefined || prompt.inputTokens < announceMinTokens) return
  const shared = sharedParts(prompt)
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0)
  const unreadShared = unreadTokens - (prompt.inputTokens - sharedTokens)
  context.announceSend({ worker: worker.id, unreadTokens, scope: model.scope, parts: shared, first: unreadShared >= announceMinTokens, stores: storesParts })
}

/** Largest number of parts that a log line names. */
const maxLoggedParts = 4

/** The first parts of the prompt that other requests may share, for the log. */
const loggedParts = ({ prompt }: Call): { readonly parts?: readonly string[] } =>
  prompt === undefined || prompt.parts.length < 2 ? {} : { parts: prompt.parts.slice(0, -1).slice(0, maxLoggedParts).map(({ id }) => id) }

/** Why a request is sent, the number of its attempt, and the priority at the worker. */
interface SendOrder {
  readonly cause: SendCause
  readonly attempt: number
  readonly priority: number
}

const send = (context: ForwardingContext, exchange: Exchange, target: ChosenWorker, { cause, attempt, priority }: SendOrder, time: DecisionTime): Attempt => {
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
    // Workers of plain services serve in the order of arrival.
    ...(target.model === undefined ? {} : { priority }),
    firstEventAt: undefined
  }
  noteSent(load, flight)
  context.requestOrder.noteSent(exchange, now)
  const isFirstThere = !exchange.sentTo.has(target.worker.id)
  exchange.sentTo.add(target.worker.id)
  const sent: Attempt = {
    id: attempt,
    worker: target.worker.id,
    workerStartedAt: target.worker.startedAt,
    softwareVersion: target.worker.softwareVersion,
    isFirstThere,
    flight,
    sentAt: now,
    version: target.version,
    scope: target.model?.scope,
    storesParts: target.storesParts,
    head: undefined,
    headAt: undefined,
    body: createByteBuffer(),
    splitter: createEventSplitter(),
    lastDataAt: now,
    progress: createStreamProgress(now),
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
    ...(target.worker.softwareVersion === undefined ? {} : { software: target.worker.softwareVersion }),
    ...(target.model === undefined || priority === workerPriority(exchange) ? {} : { loweredPriority: priority }),
    ...(exchange.call.resumes === undefined ? {} : { resumes: exchange.call.resumes }),
    ...(target.coordinator === undefined ? {} : { coordinator: target.coordinator }),
    ...loggedParts(exchange.call),
    ...(target.model === undefined ? {} : { scope: target.model.scope }),
    configuration: context.catalog()?.catalog.version ?? 0,
    proofAge: Math.round(context.lease.age(moment))
  })
  context.poisonRequests.noteSent(exchange, now)
  announceLongPrompt(context, exchange, target)
  context.emit({ kind: 'attempt.send', attempt, dispatch: dispatchOf(exchange, target, priority, now) })
  return sent
}

/**
 * Sends a request to the best eligible worker by expected response time.
 *
 * @param context - state of the instance
 * @param exchange - a request without an attempt in progress, or with a silent one
 * @param cause - why the request is sent, for the log
 * @param attempt - number of the new attempt
 * @param time - present time
 * @returns whether the request was sent; nothing was sent unless `kind` is `sent`
 */
export const placeRequest = (context: ForwardingContext, exchange: Exchange, cause: SendCause, attempt: number, time: DecisionTime): PlacementResult => {
  const { now, moment } = time
  if (exchange.workspace !== undefined && context.lease.age(moment) >= context.bounds().keys) {
    return { kind: 'refused', refusal: { kind: 'unprovenConfiguration' } }
  }
  const block = context.poisonRequests.blockOf(exchange, now)
  if (block !== undefined) return { kind: 'refused', refusal: { kind: block } }
  const peers = relayPeers(context, exchange, now)
  if (peers.length > 0) return exchange.relayAfter > now ? { kind: 'noneAvailable', pausedUntil: exchange.relayAfter } : { kind: 'relay', peers }
  if (exchange.call.relayed === true && context.workerReach.reachOf(exchange.service) === 'cutOff') return { kind: 'refused', refusal: { kind: 'noWorker' } }
  const continuation = bindToOrigin(context, exchange, now)
  if (continuation === 'asked') return { kind: 'awaitsPeer' }
  if (continuation === 'unknown') return { kind: 'refused', refusal: { kind: 'unknownOrigin' } }
  if (continuation === 'bound' && !context.workers.live(exchange.service).some(worker => fitsOrigin(context, exchange, worker, now))) {
    return exchange.headSent ? { kind: 'noneAvailable' } : { kind: 'refused', refusal: { kind: 'noWorker' } }
  }
  const obstacle = checkCredit(context, exchange, now)
  if (obstacle !== undefined) return obstacle
  const workers = withUsableWeights(context, exchange, eligible(context, exchange, now), now)
  const accepting = workers.filter(worker => acceptsFrom(context, worker, now) <= now)
  if (accepting.length === 0 && workers.length > 0) {
    return { kind: 'noneAvailable', pausedUntil: Math.min(...workers.map(worker => acceptsFrom(context, worker, now))), interval: permitInterval(context, workers) }
  }
  const placement = coordinate(context, exchange, accepting, attempt, now)
  if (placement.kind === 'asked') return { kind: 'awaitsPeer', asksCoordinator: true }
  if (placement.kind === 'full') return { kind: 'noneAvailable', pausedUntil: placement.until }
  const target = targetOf(context, exchange, placement, now)
  if (target === undefined) return { kind: 'noneAvailable' }
  const creditObstacle = takeCredit(context, exchange, now)
  if (creditObstacle !== undefined) return creditObstacle
  const admission = context.requestOrder.decide(exchange, target, cause, now)
  if (admission.kind === 'refuse') return { kind: 'refused', refusal: { kind: admission.reason, wait: admission.wait } }
  const permit = context.limits.take(target.worker, priorityOf(exchange), now)
  switch (permit.kind) {
    case 'unlimited':
    case 'held':
      return { kind: 'sent', attempt: send(context, exchange, target, { cause, attempt, priority: admission.priority }, time) }
    case 'wanted':
    case 'asked': return { kind: 'awaitsPeer' }
    // Without this worker, which accepts none for now.
    case 'denied': return placeRequest(context, exchange, cause, attempt, time)
    default: return assertNever(permit)
  }
}
