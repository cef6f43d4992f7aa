/**
 * The load and speed of one worker as estimated by one instance. The instance
 * counts its own requests immediately, estimates those of other instances from
 * the load counts in responses, which it discounts as they age, and measures
 * speeds from responses. Recent failures are tracked separately, since a worker
 * that fails immediately would otherwise look idle and fast.
 */
import type { BrittleStatement, LoadCounts } from '../ports/forwardPort.js'
import { addAbandonedRun, createAbandonedRuns, type AbandonedRuns } from './abandonedRuns.js'
import { addPaceFigure, paceAt, type WorkerPace } from './workerPace.js'

/** A request that this instance has sent to a worker and that has not ended. */
export interface InFlightRequest {
  readonly attempt: number
  readonly worker: string
  /** Prompt tokens that the worker has to prefill. */
  readonly unreadTokens: number
  /** Prompt tokens that the worker fetches from the part store. */
  readonly fetchedTokens: number
  /** Memory that the request takes when it is done, in tokens. */
  readonly memoryTokens: number
  /** Unread tokens queued at the worker up to and including this request's. */
  readonly tokensAhead: number
  readonly sentAt: number
  /** Expected time to the response, or to a stream's first event, in ms. */
  readonly expected: number
  /** Priority that was sent to the worker; undefined if none was. */
  readonly priority?: number
  firstEventAt: number | undefined
}

/** A prompt that another instance sent to a worker. */
interface PeerPrompt {
  /** Tokens that the worker has to prefill. */
  readonly tokens: number
  /** Time in ms at which the worker has probably prefilled them. */
  readonly until: number
}

/** Load counts from a response. */
interface LoadReport {
  readonly counts: LoadCounts
  readonly at: number
  /** Number of requests of this instance that were in flight when the response came. */
  readonly own: number
}

/** The load and the speeds of one worker. */
export interface WorkerLoad {
  readonly id: string
  readonly flights: Set<InFlightRequest>
  /** Runs that the worker may still have although their connection was closed. */
  readonly abandoned: AbandonedRuns
  /** Unread tokens of this instance's requests that have had no first event. */
  pendingTokens: number
  /** Prompts that other instances reported sending, each until the worker has probably prefilled it. */
  readonly peerPrompts: PeerPrompt[]
  /** Memory of this instance's requests, in tokens. */
  memoryTokens: number
  report: LoadReport | undefined
  /** Pace of the worker's machine; undefined if the worker states none. */
  pace: WorkerPace | undefined
  /** Whether the worker has stated that it is brittle: it ends when it has to turn away too many requests. */
  brittle: boolean
  /** Prefill time per token at the usual pace, in ms; 0 until it has been measured. */
  tokenCost: number
  /** Time of a plain response, in ms; 0 until it has been measured. */
  serviceTime: number
  /** Moving average of the share of attempts that failed. */
  failures: number
  /** Time in ms since which the worker is suspected to be unreachable; it gets no new requests meanwhile. */
  suspectedSince: number | undefined
  /** Time in ms until which the worker, being full, asked for no further requests. */
  pausedUntil: number
  /** Time in ms at which a probe last reached the worker. */
  lastReachableAt: number | undefined
}

/** Weight of a new sample in the moving averages of service time and failures. */
const smoothingFactor = 0.2
/** Tokens ahead below which a first event is not used to measure the prefill time. */
const minSampleTokens = 300
/** Longest time, in ms, for which the prompt of another instance counts. */
const maxPeerPrompt = 60_000
/** Half-life, in ms, of the other instances' load in a report. */
const reportHalfLife = 400
/** Weight of a sample below the estimated token cost. Low samples count more, since a request that is answered quickly waited only for its own prefill. */
const fasterSampleWeight = 0.25
/** Weight of a sample above the estimated token cost. */
const slowerSampleWeight = 0.08

/** Creates the state of a worker for which nothing has been measured. */
export const createWorkerLoad = (id: string): WorkerLoad => ({
  id,
  flights: new Set(),
  abandoned: createAbandonedRuns(),
  pendingTokens: 0,
  peerPrompts: [],
  memoryTokens: 0,
  report: undefined,
  pace: undefined,
  brittle: false,
  tokenCost: 0,
  serviceTime: 0,
  failures: 0,
  suspectedSince: undefined,
  pausedUntil: -Infinity,
  lastReachableAt: undefined
})

const updateAverage = (mean: number, sample: number): number => mean === 0 ? sample : mean + smoothingFactor * (sample - mean)

/** Estimates the number of other instances' requests at the worker from the last report, discounted by its age. */
export const peerRequests = (load: WorkerLoad, now: number): number => {
  if (load.report === undefined) return 0
  const { counts, at, own } = load.report
  return Math.max(0, counts.running + counts.waiting - own) * 0.5 ** ((now - at) / reportHalfLife)
}

/** Estimates the number of other instances' requests that wait at the worker from the last report, discounted by its age. */
export const peerWaiting = (load: WorkerLoad, now: number): number => {
  if (load.report === undefined) return 0
  const { counts, at, own } = load.report
  return Math.max(0, Math.min(counts.waiting, counts.running + counts.waiting - own)) * 0.5 ** ((now - at) / reportHalfLife)
}

/** Adds a request that this instance sent to the worker. */
export const noteSent = (load: WorkerLoad, request: InFlightRequest): void => {
  load.flights.add(request)
  load.pendingTokens += request.unreadTokens
  load.memoryTokens += request.memoryTokens
}

/**
 * Adds prompt tokens that another instance sent to the worker.
 *
 * @param load - load of the worker
 * @param tokens - tokens that the worker has to prefill
 * @param tokenCost - prefill time per token, in ms
 * @param now - present time in ms
 */
export const notePeerSent = (load: WorkerLoad, tokens: number, tokenCost: number, now: number): void => {
  load.peerPrompts.push({ tokens, until: now + Math.min(tokens * tokenCost, maxPeerPrompt) })
}

/**
 * Returns the tokens that other instances sent to the worker and that it has
 * probably not prefilled yet. Each prompt counts only for its own prefill time:
 * if they were queued one after another, a token cost that is estimated too
 * high would build up a queue that does not exist.
 */
export const peerUnreadTokens = (load: WorkerLoad, now: number): number => {
  const { peerPrompts } = load
  for (let at = peerPrompts.length - 1; at >= 0; at--) if (peerPrompts[at].until <= now) peerPrompts.splice(at, 1)
  return peerPrompts.reduce((sum, { tokens }) => sum + tokens, 0)
}

/** Stores the load counts of a response. */
export const noteLoadCounts = (load: WorkerLoad, counts: LoadCounts, now: number): void => {
  load.report = { counts, at: now, own: load.flights.size }
  if (counts.pace !== undefined) load.pace = addPaceFigure(load.pace, counts.pace, now)
}

/** Applies whether a response states that its worker is brittle; workers state it in all their responses while they are. */
export const noteBrittle = (load: WorkerLoad, statement: BrittleStatement | undefined): void => {
  if (statement?.kind !== 'unreadable') load.brittle = statement !== undefined
}

const endPending = (load: WorkerLoad, request: InFlightRequest): void => {
  if (request.firstEventAt === undefined) load.pendingTokens = Math.max(0, load.pendingTokens - request.unreadTokens)
}

/**
 * Records the first event of a stream and updates the worker's token cost from it.
 *
 * @param load - load of the worker
 * @param request - request whose stream began
 * @param overhead - part of the time to the first event that is not prefill, in ms
 * @param now - present time in ms
 */
export const noteFirstEvent = (load: WorkerLoad, request: InFlightRequest, overhead: number, now: number): void => {
  endPending(load, request)
  request.firstEventAt = now
  if (request.tokensAhead < minSampleTokens) return
  const sample = Math.max(0, now - request.sentAt - overhead) / (request.tokensAhead * paceAt(load.pace, now))
  if (load.tokenCost === 0) load.tokenCost = sample
  else load.tokenCost += (sample < load.tokenCost ? fasterSampleWeight : slowerSampleWeight) * (sample - load.tokenCost)
}

/** Removes a request that has ended; does nothing if it was removed before. */
export const noteEnded = (load: WorkerLoad, request: InFlightRequest): void => {
  if (!load.flights.delete(request)) return
  endPending(load, request)
  load.memoryTokens = Math.max(0, load.memoryTokens - request.memoryTokens)
}

/**
 * Removes a request whose connection was closed although the worker may still run it.
 *
 * @param load - load of the worker
 * @param request - the request
 * @param deadline - when the worker stops the run in any case, in ms
 * @param now - present time in ms
 */
export const noteAbandoned = (load: WorkerLoad, request: InFlightRequest, deadline: number, now: number): void => {
  const { attempt, sentAt, memoryTokens } = request
  noteEnded(load, request)
  addAbandonedRun(load.abandoned, String(attempt), { sentAt, closedAt: now, memoryTokens, deadline }, Infinity)
}

/** Records an attempt that succeeded; `responseTime` in ms is given for plain responses. */
export const noteSuccess = (load: WorkerLoad, responseTime?: number): void => {
  load.failures *= 1 - smoothingFactor
  if (responseTime !== undefined) load.serviceTime = updateAverage(load.serviceTime, responseTime)
}

/** Records an attempt that failed at the worker. */
export const noteFailure = (load: WorkerLoad): void => {
  load.failures += smoothingFactor * (1 - load.failures)
}

/** Longest pause that a worker is granted, in ms, so that a malformed response does not shut it out for good. */
const maxPause = 60_000

/** Records that the worker asked for no further requests for `time` ms. */
export const notePause = (load: WorkerLoad, time: number, now: number): void => {
  load.pausedUntil = Math.max(load.pausedUntil, now + Math.min(time, maxPause))
}

/** Returns whether the worker has asked for no requests at this time, in ms. */
export const isPaused = (load: WorkerLoad, now: number): boolean => now < load.pausedUntil

/** Returns whether the worker is not suspected to be unreachable and may get new requests. */
export const isPresumedReachable = (load: WorkerLoad): boolean => load.suspectedSince === undefined
