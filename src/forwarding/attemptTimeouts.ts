/**
 * Time limits of an attempt whose worker sends nothing, or nothing that completes an event. They handle workers that
 * fail, hang or slow down while they have requests: first the worker is probed,
 * then the request is sent to another worker if its route allows it.
 */
import { isStream } from './exchangeKind.js'
import type { Attempt, Exchange } from './forwardingTypes.js'
import { isWithoutProgress } from './streamProgress.js'

/** An attempt without a response head is silent after this time, in ms, but not before a multiple of its expected time. */
const silentAfterMin = 450
/** Multiple of an attempt's expected time before which it is not silent. */
const silentAfterFactor = 3
/** An attempt is late, and its worker is probed, after this time without data, in ms, but not before a multiple of its expected time. */
const lateAfterMin = 180
/** Multiple of an attempt's expected time before which it is not late. */
const lateAfterFactor = 2
/** Time without data, in ms, after which a request at an unreachable worker counts as lost. */
const recentDataTime = 150

/**
 * Whether the worker should be probed, which is long before the request is given up.
 *
 * @param attempt - the attempt
 * @param now - present time, in ms
 */
export const isLate = ({ lastDataAt, flight }: Attempt, now: number): boolean =>
  now - lastDataAt > Math.max(lateAfterMin, lateAfterFactor * flight.expected)

/**
 * Whether the attempt should have brought something by now.
 *
 * @param attempt - the attempt
 * @param now - present time, in ms
 */
export const isOverdue = ({ sentAt, flight }: Attempt, now: number): boolean =>
  now - sentAt > Math.max(silentAfterMin, silentAfterFactor * flight.expected)

/**
 * Whether no response has begun for so long that the request should go to another worker.
 *
 * @param attempt - the attempt
 * @param now - present time, in ms
 */
export const isSilent = (attempt: Attempt, now: number): boolean => attempt.head === undefined && isOverdue(attempt, now)

/**
 * Whether a stream whose response has begun has had no event for so long that it should be resumed on another worker.
 *
 * @param exchange - the request
 * @param attempt - its current attempt
 * @param now - present time, in ms
 */
export const isStalled = (exchange: Exchange, { head, lastDataAt, progress, flight }: Attempt, now: number): boolean =>
  (exchange.headSent || (head !== undefined && isStream(exchange, head))) && isWithoutProgress(progress, lastDataAt, flight.expected, now)

/**
 * Whether data came so recently that this connection still works, although new ones to the worker fail.
 *
 * @param attempt - the attempt
 * @param now - present time, in ms
 */
export const hasRecentData = ({ lastDataAt }: Attempt, now: number): boolean => now - lastDataAt < recentDataTime
