/**
 * What routing has learned of one worker: its own requests in flight there,
 * the time it takes per prompt token and per generated token, and how many
 * requests it really serves at once. A restart of the worker keeps the speeds,
 * which belong to the machine, and drops the rest.
 */
import type { Endpoint, LoadReport } from '../endpoints/endpointsTypes.js'
import type { Flight, Usage, WorkerSummary } from './routingTypes.js'

/** The learned state of one worker. */
export interface WorkerModel {
  readonly endpoint: string
  incarnation: string
  /** Own requests dispatched and not ended. */
  inFlight: number
  /** Own requests that have had no first token yet, and their uncached tokens. */
  pending: number
  pendingTokens: number
  /** The report last taken in, and the own share of its figures. */
  report: LoadReport | undefined
  ownAtReport: number
  ownTokensAtReport: number
  /** Sums, fading, of time to first token and of the tokens computed in it. */
  prefillTime: number
  prefillTokens: number
  /** Mean time per generated token, in ms; 0 until known. */
  tokenTime: number
  /** Mean time that a request holds a slot, in ms; 0 until known. */
  serviceTime: number
  /** Requests served at once while others waited; undefined until seen. */
  seenSlots: number | undefined
}

/** Time per uncached token of a worker of which nothing is known, in ms. */
export const defaultPrefillCost = 0.25
/** Time to first token that does not depend on the prompt, in ms. */
export const firstTokenOverhead = 10
const defaultServiceTime = 2000
/** Weight of the newest answer in means. */
const learningRate = 0.1
/** Tokens of evidence below which the fleet's mean still counts. */
const priorTokens = 4000
/** Time in which half of a report's foreign load has become unknowable, in ms. */
const reportHalfLife = 1500
/** Time over which a worker that came back empty is given its full share, in ms. */
const rampTime = 4000
const rampFloor = 0.25

/** Creates the state of a worker of which nothing is known. */
export const createWorkerModel = (endpoint: string, incarnation: string): WorkerModel => ({
  endpoint,
  incarnation,
  inFlight: 0,
  pending: 0,
  pendingTokens: 0,
  report: undefined,
  ownAtReport: 0,
  ownTokensAtReport: 0,
  prefillTime: 0,
  prefillTokens: 0,
  tokenTime: 0,
  serviceTime: 0,
  seenSlots: undefined
})

/** Drops what belonged to an earlier incarnation. */
export const restartModel = (model: WorkerModel, incarnation: string): void => {
  model.incarnation = incarnation
  model.inFlight = 0
  model.pending = 0
  model.pendingTokens = 0
  model.report = undefined
  model.seenSlots = undefined
}

/** Takes in the newest report of a worker, with the own load at its arrival. */
export const noteReport = (model: WorkerModel, report: LoadReport | undefined): void => {
  if (report === undefined || report === model.report || report.incarnation !== model.incarnation) return
  model.report = report
  model.ownAtReport = model.inFlight
  model.ownTokensAtReport = model.pendingTokens
  if (report.waiting > 0) model.seenSlots = report.running
}

/** The worker's time per uncached token, in ms; the fleet's mean stands in until it is known. */
export const prefillCost = (model: WorkerModel, meanCost: number): number =>
  (model.prefillTime + priorTokens * meanCost) / (model.prefillTokens + priorTokens)

const slotsOf = (model: WorkerModel, endpoint: Endpoint, now: number): number => {
  const seen = model.seenSlots === undefined ? endpoint.slots : Math.min(endpoint.slots, Math.max(1, model.seenSlots))
  const age = now - endpoint.since
  const ramp = age >= rampTime || endpoint.since <= 0 ? 1 : Math.max(rampFloor, age / rampTime)
  return Math.max(1, seen * ramp)
}

/** Load on a worker as far as it is known: own requests at once, those of others by an aged report. */
export interface WorkerLoad {
  readonly requests: number
  readonly tokens: number
}

/** The load that a worker has now. */
export const loadOf = (model: WorkerModel, now: number): WorkerLoad => {
  const { report } = model
  if (report === undefined) return { requests: model.inFlight, tokens: model.pendingTokens }
  const trust = 0.5 ** (Math.max(0, now - report.at) / reportHalfLife)
  const others = Math.max(0, report.running + report.waiting - model.ownAtReport)
  const otherTokens = Math.max(0, report.waitingTokens - model.ownTokensAtReport)
  return { requests: model.inFlight + others, tokens: model.pendingTokens + otherTokens * trust }
}

/** Expected time until a worker starts on a new prompt, in ms. */
export const expectedQueue = (model: WorkerModel, endpoint: Endpoint, cost: number, now: number): number => {
  const load = loadOf(model, now)
  const slots = slotsOf(model, endpoint, now)
  const over = Math.max(0, load.requests + 1 - slots)
  const service = model.serviceTime === 0 ? defaultServiceTime : model.serviceTime
  return load.tokens * cost + over * service / slots
}

/** Counts a dispatched request. */
export const noteStarted = (model: WorkerModel, uncachedTokens: number): void => {
  model.inFlight++
  model.pending++
  model.pendingTokens += uncachedTokens
}

const endPending = (model: WorkerModel, flight: Flight): void => {
  if (flight.firstTokenAt !== undefined) return
  model.pending = Math.max(0, model.pending - 1)
  model.pendingTokens = model.pending === 0 ? 0 : Math.max(0, model.pendingTokens - flight.uncachedTokens)
}

/** Counts the first token of a request. */
export const noteFirstToken = (model: WorkerModel, flight: Flight, now: number): void => {
  endPending(model, flight)
  flight.firstTokenAt = now
}

/** Counts the end of a request. */
export const noteEnded = (model: WorkerModel, flight: Flight): void => {
  endPending(model, flight)
  model.inFlight = Math.max(0, model.inFlight - 1)
  flight.ended = true
}

const blend = (mean: number, sample: number): number => mean === 0 ? sample : mean + learningRate * (sample - mean)

/** Learns the worker's speeds from a whole answer. */
export const learnSpeeds = (model: WorkerModel, flight: Flight, usage: Usage, now: number): void => {
  const firstTokenAt = flight.firstTokenAt ?? now
  const uncached = Math.max(0, usage.promptTokens - usage.cachedTokens)
  const tokens = Math.max(0, flight.tokensAhead - flight.uncachedTokens) + uncached
  if (tokens > 0) {
    model.prefillTime = model.prefillTime * (1 - learningRate) + Math.max(0, firstTokenAt - flight.startedAt - firstTokenOverhead)
    model.prefillTokens = model.prefillTokens * (1 - learningRate) + tokens
  }
  if (usage.completionTokens > 1) model.tokenTime = blend(model.tokenTime, (now - firstTokenAt) / (usage.completionTokens - 1))
  model.serviceTime = blend(model.serviceTime, now - flight.startedAt)
}

/** The worker's part of the state dump. */
export const modelSummary = (model: WorkerModel, meanCost: number): WorkerSummary => ({
  endpoint: model.endpoint,
  incarnation: model.incarnation,
  inFlight: model.inFlight,
  pendingTokens: model.pendingTokens,
  prefillCost: prefillCost(model, meanCost),
  tokenTime: model.tokenTime,
  slots: model.seenSlots ?? 0
})
