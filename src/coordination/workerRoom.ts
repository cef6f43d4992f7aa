/**
 * The room of a worker, as the coordinator of its group counts it: its slots and
 * its own queue behind them, and its memory in blocks. The load is a burst of
 * prompts so large that a worker's memory is full long before its slots are: a
 * worker whose requests exceed its memory crashes with all of them. A brittle worker
 * crashes when it has to turn requests away, so it gets no more than its slots.
 */
import { abandonedMemory, countAbandoned } from '../placement/abandonedRuns.js'
import { peerRequests, type WorkerLoad } from '../placement/workerLoad.js'

/** What a worker can hold. */
export interface RoomLimits {
  /** Requests that the worker can run at once. */
  readonly slots: number
  /** Memory in tokens; infinite for workers that are not models. */
  readonly memoryTokens: number
}

/** Tokens of one block; a request takes whole blocks. */
const blockTokens = 16
/** Fraction of the memory that is used. The rest is for what the coordinator does not know: requests of instances that place by themselves, and answers that are longer than stated. */
export const usableMemoryShare = 0.93
/** Length of a worker's own queue that is used, in multiples of its slots. */
const queueShare = 1
/** Shortest and longest time until a full worker is looked at again, in ms. */
const minWait = 20
const maxWait = 500
/** Residence of a request that is assumed until one has been measured, in ms. */
const defaultResidence = 300

/**
 * Returns the memory that a request takes, in tokens.
 *
 * @param tokens - its prompt and its longest answer, in tokens
 */
export const wholeBlocks = (tokens: number): number => Math.ceil(Math.max(0, tokens) / blockTokens) * blockTokens

/** Requests at the worker, those included that the coordinator has not placed, and those that the worker may still run although nobody waits for them. */
export const requestsAt = (load: WorkerLoad, now: number): number => load.flights.size + countAbandoned(load.abandoned, now) + peerRequests(load, now)

const fitsMemory = (load: WorkerLoad, { memoryTokens }: RoomLimits, memory: number, now: number): boolean => {
  const requests = requestsAt(load, now)
  if (requests === 0) return memory <= memoryTokens
  const others = peerRequests(load, now) * (load.flights.size > 0 ? load.memoryTokens / load.flights.size : memory)
  return load.memoryTokens + abandonedMemory(load.abandoned, now) + others + memory <= memoryTokens * usableMemoryShare
}

/**
 * Decides whether a worker has room for a request.
 *
 * @param load - what the coordinator has placed at the worker
 * @param limits - what the worker can hold
 * @param memory - memory that the request takes, in tokens
 * @param now - present time, in ms
 */
export const hasRoom = (load: WorkerLoad, limits: RoomLimits, memory: number, now: number): boolean => {
  const places = limits.slots * (load.brittle ? 1 : 1 + queueShare)
  return requestsAt(load, now) + 1 <= places && fitsMemory(load, limits, memory, now)
}

/**
 * Returns the time until a request of a full worker has probably ended, in ms.
 *
 * @param load - what the coordinator has placed at the worker
 * @param now - present time, in ms
 */
export const timeToRoom = (load: WorkerLoad, now: number): number => {
  const residence = load.serviceTime || defaultResidence
  let wait = maxWait
  for (const { sentAt } of load.flights) wait = Math.min(wait, sentAt + residence - now)
  for (const { until } of load.abandoned.byKey.values()) wait = Math.min(wait, until - now)
  return Math.max(minWait, wait)
}

/** Share of a worker that is in use, from 0 to 1 or above if its queue is used; the larger one of its slots and its memory. */
export const shareInUse = (load: WorkerLoad, { slots, memoryTokens }: RoomLimits, now: number): number =>
  Math.max(requestsAt(load, now) / Math.max(1, slots), load.memoryTokens / memoryTokens)
