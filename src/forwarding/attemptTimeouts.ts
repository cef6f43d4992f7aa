/**
 * When a worker that says nothing is looked after. It answers workers that go
 * dark, hang or slow down while requests are with them: first the worker is
 * probed, then the request goes elsewhere if it may.
 */
import type { Attempt, Exchange } from './forwardingTypes.js'

/** A silent worker is doubted after this time, in ms, or a multiple of what was expected. */
const silenceFloor = 450
const silenceFactor = 3
/** A worker is probed when an answer is late by this time, in ms, or a multiple of what was expected. */
const lateFloor = 180
const lateFactor = 2
/** A stream without events for this time, in ms, is taken up elsewhere. */
const stallLimit = 900
/** Time without bytes, in ms, after which a request at a worker out of reach is taken for lost. */
const quietTime = 150

/** Whether the worker should be probed, long before the request is given up. */
export const isLate = ({ lastDataAt, flight }: Attempt, now: number): boolean =>
  now - lastDataAt > Math.max(lateFloor, lateFactor * flight.expected)

/** Whether no answer has begun for so long that the request should go elsewhere. */
export const isSilent = ({ head, sentAt, flight }: Attempt, now: number): boolean =>
  head === undefined && now - sentAt > Math.max(silenceFloor, silenceFactor * flight.expected)

/** Whether a stream has stood still for so long that it should go on elsewhere. */
export const isStalled = ({ headSent: opened }: Exchange, { lastDataAt }: Attempt, now: number): boolean =>
  opened && now - lastDataAt > stallLimit

/** Whether bytes came a moment ago, so that a worker out of reach is still heard on this connection. */
export const hasRecentData = ({ lastDataAt }: Attempt, now: number): boolean => now - lastDataAt < quietTime
