/**
 * What an instance knows of one worker's load and speed: its own requests at
 * once, those of other instances by the counts in answers, which age, and the
 * speeds by answers. Failures lower the worker's standing although it answers
 * fast, since a worker that fails at once would otherwise look idle.
 */
import type { LoadCounts } from '../ports/forwardPort.js'

/** One request at a worker. */
export interface InFlightRequest {
  readonly attempt: number
  readonly worker: string
  /** Prompt tokens that the worker has to read. */
  readonly unreadTokens: number
  /** Tokens that come from elsewhere. */
  readonly fetchedTokens: number
  /** Memory that the request takes when it is done, in tokens. */
  readonly memoryTokens: number
  /** Unread tokens that were ahead of this request, its own included. */
  readonly tokensAhead: number
  readonly sentAt: number
  /** Expected time to the answer, or to a stream's first event, in ms. */
  readonly expected: number
  firstEventAt: number | undefined
}

/** Tokens that another instance gave a worker. */
interface ForeignRead {
  readonly tokens: number
  readonly until: number
}

interface Report {
  readonly counts: LoadCounts
  readonly at: number
  readonly own: number
}

/** The load and the speeds of one worker. */
export interface WorkerLoad {
  readonly id: string
  readonly flights: Set<InFlightRequest>
  /** Unread tokens of own requests that have not begun. */
  pendingTokens: number
  /** What other instances said that they sent, until it is likely to have been read. */
  readonly peerReads: ForeignRead[]
  /** Memory of own requests, in tokens. */
  memoryTokens: number
  report: Report | undefined
  /** Time per unread token, in ms; 0 until an answer told. */
  tokenCost: number
  /** Time of a plain answer, in ms; 0 until an answer told. */
  serviceTime: number
  /** Recent share of attempts that failed. */
  failures: number
  /** Since when it is doubted that the worker can be reached; it gets no new work meanwhile. */
  suspectedSince: number | undefined
  /** When a probe last reached it. */
  lastReachableAt: number | undefined
}

/** Part of the distance to a new sample that an average moves. */
const learningRate = 0.2
/** Unread tokens from which an answer tells the speed. */
const tellingTokens = 300
/** Time in which half of a report's foreign load has become unknowable, in ms. */
const reportHalfLife = 400
/** Part of the distance that the learned speed moves down, and up: it follows the quick answers, whose wait was their own reading. */
const speedUp = 0.25
const slowDown = 0.08

/** Creates the state of a worker of which nothing is known. */
export const createWorkerLoad = (id: string): WorkerLoad => ({
  id,
  flights: new Set(),
  pendingTokens: 0,
  peerReads: [],
  memoryTokens: 0,
  report: undefined,
  tokenCost: 0,
  serviceTime: 0,
  failures: 0,
  suspectedSince: undefined,
  lastReachableAt: undefined
})

const blend = (mean: number, sample: number): number => mean === 0 ? sample : mean + learningRate * (sample - mean)

/** Requests of other instances at the worker, by the last report. */
export const peerRequests = (load: WorkerLoad, now: number): number => {
  if (load.report === undefined) return 0
  const { counts, at, own } = load.report
  return Math.max(0, counts.running + counts.waiting - own) * 0.5 ** ((now - at) / reportHalfLife)
}

/** Waiting requests of other instances at the worker, by the last report. */
export const peerWaiting = (load: WorkerLoad, now: number): number => {
  if (load.report === undefined) return 0
  const { counts, at, own } = load.report
  return Math.max(0, Math.min(counts.waiting, counts.running + counts.waiting - own)) * 0.5 ** ((now - at) / reportHalfLife)
}

/** Counts a request that was sent. */
export const noteSent = (load: WorkerLoad, flight: InFlightRequest): void => {
  load.flights.add(flight)
  load.pendingTokens += flight.unreadTokens
  load.memoryTokens += flight.memoryTokens
}

/** Takes in that another instance gave the worker tokens to read. */
export const notePeerSent = (load: WorkerLoad, tokens: number, cost: number, now: number): void => {
  load.peerReads.push({ tokens, until: now + tokens * cost })
}

/**
 * Tokens that other instances gave the worker and that are likely to be unread.
 * Each counts for its own time to be read only: were they counted one after
 * another, a speed that is taken too low would pile up a queue that is not there.
 */
export const peerUnreadTokens = (load: WorkerLoad, now: number): number => {
  const { peerReads: foreignReads } = load
  for (let at = foreignReads.length - 1; at >= 0; at--) if (foreignReads[at].until <= now) foreignReads.splice(at, 1)
  return foreignReads.reduce((sum, { tokens }) => sum + tokens, 0)
}

/** Takes in the counts of an answer. */
export const noteLoadCounts = (load: WorkerLoad, counts: LoadCounts, now: number): void => {
  load.report = { counts, at: now, own: load.flights.size }
}

const endPending = (load: WorkerLoad, flight: InFlightRequest): void => {
  if (flight.firstEventAt === undefined) load.pendingTokens = Math.max(0, load.pendingTokens - flight.unreadTokens)
}

/** Counts the first event of a stream and learns the speed of reading from it. */
export const noteFirstEvent = (load: WorkerLoad, flight: InFlightRequest, overhead: number, now: number): void => {
  endPending(load, flight)
  flight.firstEventAt = now
  if (flight.tokensAhead < tellingTokens) return
  const sample = Math.max(0, now - flight.sentAt - overhead) / flight.tokensAhead
  if (load.tokenCost === 0) load.tokenCost = sample
  else load.tokenCost += (sample < load.tokenCost ? speedUp : slowDown) * (sample - load.tokenCost)
}

/** Counts the end of a request. */
export const noteEnded = (load: WorkerLoad, flight: InFlightRequest): void => {
  if (!load.flights.delete(flight)) return
  endPending(load, flight)
  load.memoryTokens = Math.max(0, load.memoryTokens - flight.memoryTokens)
}

/** Takes in an attempt that went well; `answerTime` in ms is given for plain answers. */
export const noteSuccess = (load: WorkerLoad, answerTime?: number): void => {
  load.failures *= 1 - learningRate
  if (answerTime !== undefined) load.serviceTime = blend(load.serviceTime, answerTime)
}

/** Takes in an attempt that failed at the worker. */
export const noteFailure = (load: WorkerLoad): void => {
  load.failures += learningRate * (1 - load.failures)
}

/** Whether the worker may get new work. */
export const isPresumedReachable = (load: WorkerLoad): boolean => load.suspectedSince === undefined
