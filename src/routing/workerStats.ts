/**
 * Statistics of one worker: the requests of this instance in flight there, the load
 * that its reports attribute to other instances, and its measured speeds: time per
 * prompt token, per generated token and per request. A restart of the worker keeps
 * the speeds, which are those of its machine, and resets the requests in flight and
 * the load report. Here "own" means of this instance, and "peer" of other instances.
 */
import type { Endpoint, LoadReport } from '../endpoints/endpointsTypes.js'
import type { InFlightRequest, Usage, WorkerSummary } from './routingTypes.js'

/** The statistics of one worker. Times are in ms. */
export interface WorkerStats {
  readonly endpoint: string
  incarnation: string
  /** Time at which a restart was detected; undefined for a worker that has not restarted since it was first seen. */
  restartedAt: number | undefined
  /** Number of own requests dispatched and not ended. */
  inFlight: number
  /** Own requests that have had no first token yet, in order of dispatch. */
  readonly pending: Set<InFlightRequest>
  /** Uncached tokens of the pending requests. */
  pendingTokens: number
  /** The last load report recorded. */
  report: LoadReport | undefined
  /** Number of own requests in flight when that report was recorded. */
  ownInFlightAtReport: number
  /** Number of own pending requests when that report was recorded. */
  ownPendingAtReport: number
  /** Own uncached tokens by priority, decaying with each further request. */
  readonly tokensByPriority: Map<number, number>
  /** Moving mean over reports of the uncached tokens of peers' waiting requests. */
  meanPeerTokens: number
  /** Moving mean over the same reports of the own pending tokens. */
  meanOwnPendingTokens: number
  /** Mean uncached tokens of own requests to this worker; 0 until known. */
  meanUncachedTokens: number
  /** Low quantile of the time to first token per uncached token processed in that time; 0 until known. */
  tokenCost: number
  /** Number of responses that `tokenCost` is estimated from, up to `fullSamples`. */
  costSamples: number
  /** Mean time per generated token; 0 until known. */
  tokenTime: number
  /** Mean time that a request holds a slot; 0 until known. */
  serviceTime: number
}

/** Prefill time per uncached token assumed until that of any worker is known, in ms. */
export const defaultPrefillCost = 0.25
/** Time to first token that does not depend on the prompt, in ms. */
export const firstTokenOverhead = 10
/** Time that a request holds a slot, assumed until it is known, in ms. */
const defaultServiceTime = 2000
/** Weight of the newest response in means. */
const learningRate = 0.1
/** Tokens added to own figures before their ratio is taken, so that small figures have little influence. */
const smoothingTokens = 1000
/** Weight of the newest report in the mean loads. */
const reportRate = 0.2
/** Factor by which each further request reduces the earlier tokens of each priority. */
const priorityDecay = 0.97
/** Maximum fraction of a worker's time that is assumed to go to requests that overtake a waiting one. */
const maxOvertaking = 0.8
/** Number of responses after which the fleet's mean no longer influences a worker's prefill cost. */
const fullSamples = 10
/** Quantile of the time per token that is taken for a worker's speed; low because waits behind unreported load delay many responses, and only the fast ones show the worker's own speed. */
const costQuantile = 0.3
/** Relative step of the quantile estimate. */
const costStep = 0.1
/** Minimum number of tokens to process, waiting ones included, for a response to be used to estimate speed. */
const minTokensAhead = 100
/** Age of a load report at which it and the estimate of peer load have equal weight, in ms. */
const reportHalfLife = 500
/** Slow start: time over which the counted slots of a restarted worker, whose cache is empty, rise to its declared slots, in ms. */
const rampTime = 4000
/** Fraction of the declared slots counted right after a restart. */
const rampMinimum = 0.25

/** Creates the statistics of a worker of which nothing is known. */
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

/** Resets the requests in flight and the load report of an earlier incarnation; the speeds stay. */
export const resetForRestart = (stats: WorkerStats, incarnation: string, now: number): void => {
  stats.incarnation = incarnation
  stats.restartedAt = now
  stats.inFlight = 0
  stats.pending.clear()
  stats.pendingTokens = 0
  stats.report = undefined
}

/** Records the newest load report of a worker with the own load at that time; ignores a repeated one and one of another incarnation. */
export const recordLoadReport = (stats: WorkerStats, report: LoadReport | undefined): void => {
  if (report === undefined || report === stats.report || report.incarnation !== stats.incarnation) return
  stats.report = report
  stats.ownInFlightAtReport = stats.inFlight
  stats.ownPendingAtReport = stats.pending.size
  stats.meanOwnPendingTokens += reportRate * (stats.pendingTokens - stats.meanOwnPendingTokens)
  stats.meanPeerTokens += reportRate * (reportedPeerTokens(stats, report) - stats.meanPeerTokens)
}

/** Returns the worker's prefill time per uncached token, in ms: `meanCost` at first, replaced step by step by its own over `fullSamples` responses. */
export const prefillCost = (stats: WorkerStats, meanCost: number): number =>
  (stats.costSamples * stats.tokenCost + (fullSamples - stats.costSamples) * meanCost) / fullSamples

/** Returns the mean prefill time per uncached token over the workers whose speed is known, in ms, or `fallback` if there is none. */
export const meanPrefillCost = (workers: Iterable<WorkerStats>, fallback: number): number => {
  let sum = 0
  let count = 0
  for (const stats of workers) {
    if (stats.costSamples === 0) continue
    sum += stats.tokenCost
    count++
  }
  return count === 0 ? fallback : sum / count
}

/** Returns the declared slots, reduced for `rampTime` after a restart; at least 1. */
const effectiveSlots = (stats: WorkerStats, endpoint: Endpoint, now: number): number => {
  const age = now - (stats.restartedAt ?? -Infinity)
  return Math.max(1, endpoint.slots * Math.min(1, Math.max(rampMinimum, age / rampTime)))
}

/** Estimated load of a worker: own requests as they are, those of peers from its last report, discounted by age. */
export interface WorkerLoad {
  /** Requests running or waiting. */
  readonly requests: number
  /** Uncached tokens of requests without a first token. */
  readonly tokens: number
}

/** Returns the uncached tokens of peers' waiting requests according to a report. A report counts complete prompts, of which a large part may be cached, so the mean of own requests, once known, is the upper bound per request. */
const reportedPeerTokens = (stats: WorkerStats, report: LoadReport): number => {
  const waiting = Math.max(0, report.waiting - stats.ownPendingAtReport)
  if (waiting === 0) return 0
  const reported = report.waitingTokens / report.waiting
  return waiting * (stats.meanUncachedTokens === 0 ? reported : Math.min(reported, stats.meanUncachedTokens))
}

/** Estimates the uncached tokens of peers' waiting requests from the own pending tokens: instances with the same traffic have long queues at the same time. */
const expectedPeerTokens = (stats: WorkerStats): number =>
  stats.meanPeerTokens * (stats.pendingTokens + smoothingTokens) / (stats.meanOwnPendingTokens + smoothingTokens)

/** Estimates the present load of a worker. */
export const estimateLoad = (stats: WorkerStats, now: number): WorkerLoad => {
  const { report } = stats
  if (report === undefined) return { requests: stats.inFlight, tokens: stats.pendingTokens }
  const reportWeight = 0.5 ** (Math.max(0, now - report.at) / reportHalfLife)
  const peerRequests = Math.max(0, report.running + report.waiting - stats.ownInFlightAtReport)
  const peerTokens = reportedPeerTokens(stats, report) * reportWeight + expectedPeerTokens(stats) * (1 - reportWeight)
  return { requests: stats.inFlight + peerRequests, tokens: stats.pendingTokens + peerTokens }
}

/** Fractions of a worker's tokens relative to one priority. */
interface PriorityMix {
  /** Fraction of the same or a higher priority, which goes first if it arrived earlier. */
  readonly ahead: number
  /** Fraction of a higher priority, which goes first even if it arrives later. */
  readonly overtaking: number
}

/** Returns the mix of priorities of the own requests, which is assumed to hold for those of peers too. */
const priorityMix = (stats: WorkerStats, priority: number): PriorityMix => {
  let ahead = 0
  let overtaking = 0
  let total = 0
  for (const [level, tokens] of stats.tokensByPriority) {
    total += tokens
    if (level >= priority) ahead += tokens
    if (level > priority) overtaking += tokens
  }
  return total === 0 ? { ahead: 1, overtaking: 0 } : { ahead: ahead / total, overtaking: overtaking / total }
}

const ownTokensAhead = (stats: WorkerStats, priority: number): number => {
  let tokens = 0
  for (const dispatched of stats.pending) if (dispatched.request.priority >= priority) tokens += dispatched.uncachedTokens
  return tokens
}

/** Returns how late the first token of the oldest own pending request of this priority or a higher one is, compared with its expected wait, in ms; 0 if it is not late. */
const overdueTime = (stats: WorkerStats, priority: number, now: number): number => {
  for (const { request, startedAt, choice } of stats.pending) {
    if (request.priority >= priority) return Math.max(0, now - startedAt - choice.expectedWait)
  }
  return 0
}

/**
 * Estimates the time until a worker starts to process a new prompt. Requests of a
 * higher priority that arrive meanwhile go first, so the wait grows with their
 * fraction of a busy worker's time.
 *
 * @param stats - the worker's statistics
 * @param endpoint - the worker
 * @param cost - its prefill time per uncached token, in ms
 * @param priority - the priority of the new request
 * @param utilisation - the utilisation of the workers, from 0 to 1
 * @param now - the present time, in ms
 * @returns the expected wait, in ms
 */
export const expectedQueueTime = (stats: WorkerStats, endpoint: Endpoint, cost: number, priority: number, utilisation: number, now: number): number => {
  const load = estimateLoad(stats, now)
  const slots = effectiveSlots(stats, endpoint, now)
  const mix = priorityMix(stats, priority)
  const excessRequests = Math.max(0, load.requests + 1 - slots) * mix.ahead
  const serviceTime = stats.serviceTime === 0 ? defaultServiceTime : stats.serviceTime
  const tokens = ownTokensAhead(stats, priority) + (load.tokens - stats.pendingTokens) * mix.ahead
  const wait = tokens * cost + excessRequests * serviceTime / slots + overdueTime(stats, priority, now)
  return wait / (1 - Math.min(maxOvertaking, mix.overtaking * utilisation))
}

/** Records a dispatched request. */
export const recordStarted = (stats: WorkerStats, dispatched: InFlightRequest): void => {
  stats.inFlight++
  stats.pending.add(dispatched)
  stats.pendingTokens += dispatched.uncachedTokens
  const { priority } = dispatched.request
  for (const [level, tokens] of stats.tokensByPriority) stats.tokensByPriority.set(level, tokens * priorityDecay)
  stats.tokensByPriority.set(priority, (stats.tokensByPriority.get(priority) ?? 0) + dispatched.uncachedTokens)
}

const removePending = (stats: WorkerStats, dispatched: InFlightRequest): void => {
  if (!stats.pending.delete(dispatched)) return
  stats.pendingTokens = stats.pending.size === 0 ? 0 : Math.max(0, stats.pendingTokens - dispatched.uncachedTokens)
}

const updateTokenCost = (stats: WorkerStats, sample: number): void => {
  if (stats.costSamples === 0) stats.tokenCost = sample
  stats.tokenCost *= Math.exp(costStep * (sample > stats.tokenCost ? costQuantile : costQuantile - 1))
  stats.costSamples = Math.min(fullSamples, stats.costSamples + 1)
}

/** Records the first token of a request, and updates the worker's token cost from it. */
export const recordFirstToken = (stats: WorkerStats, dispatched: InFlightRequest, now: number): void => {
  removePending(stats, dispatched)
  dispatched.firstTokenAt = now
  if (dispatched.tokensAhead < minTokensAhead) return
  updateTokenCost(stats, Math.max(0, now - dispatched.startedAt - firstTokenOverhead) / dispatched.tokensAhead)
}

/** Records the end of a request. */
export const recordEnded = (stats: WorkerStats, dispatched: InFlightRequest): void => {
  removePending(stats, dispatched)
  stats.inFlight = Math.max(0, stats.inFlight - 1)
  dispatched.ended = true
}

const updateMean = (mean: number, sample: number): number => mean === 0 ? sample : mean + learningRate * (sample - mean)

/** Updates the mean token and service times, and the mean of uncached tokens, from a completed response. */
export const updateSpeeds = (stats: WorkerStats, dispatched: InFlightRequest, usage: Usage, now: number): void => {
  const firstTokenAt = dispatched.firstTokenAt ?? now
  const uncachedTokens = Math.max(0, usage.promptTokens - usage.cachedTokens)
  stats.meanUncachedTokens = updateMean(stats.meanUncachedTokens, uncachedTokens)
  if (usage.completionTokens > 1) stats.tokenTime = updateMean(stats.tokenTime, (now - firstTokenAt) / (usage.completionTokens - 1))
  stats.serviceTime = updateMean(stats.serviceTime, now - dispatched.startedAt)
}

/** Returns the worker's entry of the state dump. */
export const workerSummary = (stats: WorkerStats, meanCost: number): WorkerSummary => ({
  endpoint: stats.endpoint,
  incarnation: stats.incarnation,
  inFlight: stats.inFlight,
  pendingTokens: stats.pendingTokens,
  prefillCost: prefillCost(stats, meanCost),
  tokenTime: stats.tokenTime,
  serviceTime: stats.serviceTime
})
