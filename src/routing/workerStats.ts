/**
 * What routing has learned of one worker: its own requests in flight there,
 * the time it takes per prompt token and per generated token, and how many
 * requests it really serves at once. A restart of the worker keeps the speeds,
 * which belong to the machine, and drops the rest.
 */
import type { Endpoint, LoadReport } from '../endpoints/endpointsTypes.js'
import type { InFlightRequest, Usage, WorkerSummary } from './routingTypes.js'

/** The learned state of one worker. */
export interface WorkerStats {
  readonly endpoint: string
  incarnation: string
  /** When a restart was noticed, in ms; undefined for a worker that has not restarted since it was first seen. */
  restartedAt: number | undefined
  /** Own requests dispatched and not ended. */
  inFlight: number
  /** Own requests that have had no first token yet, and their uncached tokens. */
  readonly pending: Set<InFlightRequest>
  pendingTokens: number
  /** The report last taken in, and the own share of its figures. */
  report: LoadReport | undefined
  ownInFlightAtReport: number
  ownPendingAtReport: number
  /** Own uncached tokens by priority, fading. */
  readonly tokensByPriority: Map<number, number>
  /** Mean uncached tokens of others' waiting requests, over reports. */
  meanPeerTokens: number
  /** Mean own pending tokens, over the same reports. */
  meanOwnPendingTokens: number
  /** Mean uncached tokens of own requests here; 0 until known. */
  meanUncachedTokens: number
  /** A low quantile of the time to first token per token computed in it, in ms; 0 until known. */
  tokenCost: number
  /** Answers that `tokenCost` is drawn from, up to `fullEvidence`. */
  costSamples: number
  /** Mean time per generated token, in ms; 0 until known. */
  tokenTime: number
  /** Mean time that a request holds a slot, in ms; 0 until known. */
  serviceTime: number
}

/** Time per uncached token of a worker of which nothing is known, in ms. */
export const defaultPrefillCost = 0.25
/** Time to first token that does not depend on the prompt, in ms. */
export const firstTokenOverhead = 10
const defaultServiceTime = 2000
/** Weight of the newest answer in means. */
const learningRate = 0.1
/** Tokens added to own figures before they are compared, so that few say little. */
const proxyTokens = 1000
/** Weight of the newest report in the usual load of others. */
const usualRate = 0.2
/** Part of the mix of priorities that each further request leaves. */
const priorityFade = 0.97
/** Largest part of a worker's work that is taken to overtake a waiting request. */
const maxOvertaking = 0.8
/** Answers after which the fleet's mean counts no more. */
const fullEvidence = 10
/** Waits that nobody told of make answers look slow; the worker's own speed shows in the quick ones. */
const costQuantile = 0.3
const costStep = 0.1
/** Answers with fewer tokens to compute say little of speed. */
const tellingTokens = 100
/** Time in which half of a report's foreign load has become unknowable, in ms. */
const reportHalfLife = 500
/** Time over which a worker that came back empty is given its full share, in ms. */
const rampTime = 4000
const rampFloor = 0.25

/** Creates the state of a worker of which nothing is known. */
export const createWorkerStats = (endpoint: string, incarnation: string): WorkerStats => ({
  endpoint,
  incarnation,
  restartedAt: undefined,
  inFlight: 0,
  pending: new Set(),
  pendingTokens: 0,
  report: undefined,
  ownInFlightAtReport: 0,
  ownPendingAtReport: 0,
  tokensByPriority: new Map(),
  meanPeerTokens: 0,
  meanOwnPendingTokens: 0,
  meanUncachedTokens: 0,
  tokenCost: 0,
  costSamples: 0,
  tokenTime: 0,
  serviceTime: 0
})

/** Drops what belonged to an earlier incarnation. */
export const resetForRestart = (model: WorkerStats, incarnation: string, now: number): void => {
  model.incarnation = incarnation
  model.restartedAt = now
  model.inFlight = 0
  model.pending.clear()
  model.pendingTokens = 0
  model.report = undefined
}

/** Takes in the newest report of a worker, with the own load at its arrival. */
export const recordLoadReport = (model: WorkerStats, report: LoadReport | undefined): void => {
  if (report === undefined || report === model.report || report.incarnation !== model.incarnation) return
  model.report = report
  model.ownInFlightAtReport = model.inFlight
  model.ownPendingAtReport = model.pending.size
  model.meanOwnPendingTokens += usualRate * (model.pendingTokens - model.meanOwnPendingTokens)
  model.meanPeerTokens += usualRate * (otherTokens(model, report) - model.meanPeerTokens)
}

/** The worker's time per uncached token, in ms; the fleet's mean stands in until it is known. */
export const prefillCost = (model: WorkerStats, meanCost: number): number =>
  (model.costSamples * model.tokenCost + (fullEvidence - model.costSamples) * meanCost) / fullEvidence

/** The mean time per uncached token of the workers whose speed is known, in ms. */
export const meanPrefillCost = (models: Iterable<WorkerStats>, unknown: number): number => {
  let sum = 0
  let count = 0
  for (const model of models) {
    if (model.costSamples === 0) continue
    sum += model.tokenCost
    count++
  }
  return count === 0 ? unknown : sum / count
}

const slotsOf = (model: WorkerStats, endpoint: Endpoint, now: number): number => {
  const age = now - (model.restartedAt ?? -Infinity)
  return Math.max(1, endpoint.slots * Math.min(1, Math.max(rampFloor, age / rampTime)))
}

/** Load on a worker as far as it is known: own requests at once, those of others by an aged report. */
export interface WorkerLoad {
  readonly requests: number
  readonly tokens: number
}

/** Uncached tokens of others' waiting requests; a report counts whole prompts, of which much may be cached. */
const otherTokens = (model: WorkerStats, report: LoadReport): number => {
  const waiting = Math.max(0, report.waiting - model.ownPendingAtReport)
  if (waiting === 0) return 0
  const reported = report.waitingTokens / report.waiting
  return waiting * (model.meanUncachedTokens === 0 ? reported : Math.min(reported, model.meanUncachedTokens))
}

/** Others' tokens judged by the own ones: entries that see the same traffic have long queues at the same time. */
const likelyForeign = (model: WorkerStats): number =>
  model.meanPeerTokens * (model.pendingTokens + proxyTokens) / (model.meanOwnPendingTokens + proxyTokens)

/** The load that a worker has now. */
export const estimateLoad = (model: WorkerStats, now: number): WorkerLoad => {
  const { report } = model
  if (report === undefined) return { requests: model.inFlight, tokens: model.pendingTokens }
  const trust = 0.5 ** (Math.max(0, now - report.at) / reportHalfLife)
  const others = Math.max(0, report.running + report.waiting - model.ownInFlightAtReport)
  const foreign = otherTokens(model, report) * trust + likelyForeign(model) * (1 - trust)
  return { requests: model.inFlight + others, tokens: model.pendingTokens + foreign }
}

/** Parts of a worker's work by priority, seen from one: what is ahead of it, and what will overtake it. */
interface PriorityMix {
  readonly ahead: number
  readonly overtaking: number
}

/** The mix of priorities of the own requests, which stands for that of all. */
const mixOf = (model: WorkerStats, priority: number): PriorityMix => {
  let ahead = 0
  let overtaking = 0
  let all = 0
  for (const [level, tokens] of model.tokensByPriority) {
    all += tokens
    if (level >= priority) ahead += tokens
    if (level > priority) overtaking += tokens
  }
  return all === 0 ? { ahead: 1, overtaking: 0 } : { ahead: ahead / all, overtaking: overtaking / all }
}

const ownTokensAhead = (model: WorkerStats, priority: number): number => {
  let tokens = 0
  for (const flight of model.pending) if (flight.request.priority >= priority) tokens += flight.uncachedTokens
  return tokens
}

/** How far the worker is behind what was expected of it, in ms: its oldest request of this priority without a first token tells. */
const overdue = (model: WorkerStats, priority: number, now: number): number => {
  for (const { request: question, startedAt, choice } of model.pending) {
    if (question.priority >= priority) return Math.max(0, now - startedAt - choice.expectedWait)
  }
  return 0
}

/**
 * Expected time until a worker starts on a new prompt, in ms. Work of a higher
 * priority that arrives meanwhile goes first: its part of a busy worker's time
 * stretches the wait.
 */
export const expectedQueueTime = (model: WorkerStats, endpoint: Endpoint, cost: number, priority: number, utilisation: number, now: number): number => {
  const load = estimateLoad(model, now)
  const slots = slotsOf(model, endpoint, now)
  const mix = mixOf(model, priority)
  const over = Math.max(0, load.requests + 1 - slots) * mix.ahead
  const service = model.serviceTime === 0 ? defaultServiceTime : model.serviceTime
  const tokens = ownTokensAhead(model, priority) + (load.tokens - model.pendingTokens) * mix.ahead
  const wait = tokens * cost + over * service / slots + overdue(model, priority, now)
  return wait / (1 - Math.min(maxOvertaking, mix.overtaking * utilisation))
}

/** Counts a dispatched request. */
export const recordStarted = (model: WorkerStats, flight: InFlightRequest): void => {
  model.inFlight++
  model.pending.add(flight)
  model.pendingTokens += flight.uncachedTokens
  const { priority } = flight.request
  for (const [level, tokens] of model.tokensByPriority) model.tokensByPriority.set(level, tokens * priorityFade)
  model.tokensByPriority.set(priority, (model.tokensByPriority.get(priority) ?? 0) + flight.uncachedTokens)
}

const endPending = (model: WorkerStats, flight: InFlightRequest): void => {
  if (!model.pending.delete(flight)) return
  model.pendingTokens = model.pending.size === 0 ? 0 : Math.max(0, model.pendingTokens - flight.uncachedTokens)
}

const learnCost = (model: WorkerStats, sample: number): void => {
  if (model.costSamples === 0) model.tokenCost = sample
  model.tokenCost *= Math.exp(costStep * (sample > model.tokenCost ? costQuantile : costQuantile - 1))
  model.costSamples = Math.min(fullEvidence, model.costSamples + 1)
}

/** Counts the first token of a request, and learns the worker's speed from it. */
export const recordFirstToken = (model: WorkerStats, flight: InFlightRequest, now: number): void => {
  endPending(model, flight)
  flight.firstTokenAt = now
  if (flight.tokensAhead < tellingTokens) return
  learnCost(model, Math.max(0, now - flight.startedAt - firstTokenOverhead) / flight.tokensAhead)
}

/** Counts the end of a request. */
export const recordEnded = (model: WorkerStats, flight: InFlightRequest): void => {
  endPending(model, flight)
  model.inFlight = Math.max(0, model.inFlight - 1)
  flight.ended = true
}

const blend = (mean: number, sample: number): number => mean === 0 ? sample : mean + learningRate * (sample - mean)

/** Learns the worker's speeds from a whole answer. */
export const updateSpeeds = (model: WorkerStats, flight: InFlightRequest, usage: Usage, now: number): void => {
  const firstTokenAt = flight.firstTokenAt ?? now
  const uncached = Math.max(0, usage.promptTokens - usage.cachedTokens)
  model.meanUncachedTokens = blend(model.meanUncachedTokens, uncached)
  if (usage.completionTokens > 1) model.tokenTime = blend(model.tokenTime, (now - firstTokenAt) / (usage.completionTokens - 1))
  model.serviceTime = blend(model.serviceTime, now - flight.startedAt)
}

/** The worker's part of the state dump. */
export const workerSummary = (model: WorkerStats, meanCost: number): WorkerSummary => ({
  endpoint: model.endpoint,
  incarnation: model.incarnation,
  inFlight: model.inFlight,
  pendingTokens: model.pendingTokens,
  prefillCost: prefillCost(model, meanCost),
  tokenTime: model.tokenTime,
  serviceTime: model.serviceTime
})
