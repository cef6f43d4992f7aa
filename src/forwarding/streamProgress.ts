/**
 * Progress of a stream, judged by complete events. Bytes that complete no event,
 * such as comments and parts of an event, show that the worker is alive, which
 * gives it more time, but not that its stream goes on. A stream whose events come
 * slowly and regularly is not stalled between two of them.
 */

/** What has been seen of the events of one attempt; times in ms. */
export interface StreamProgress {
  /** When the last complete event arrived; at first when the request was sent, then when the response began. */
  lastAt: number
  /** Smoothed time between two complete events; 0 before the second one. */
  gap: number
  /** Number of times at which events arrived. */
  arrivals: number
}

/** Time without an event, in ms, after which a stream that sends nothing at all is stalled. */
const stalledAfter = 900
/** Multiple of its usual time between events before which a stream is not stalled. */
const gapFactor = 3
/** Longest time, in ms, by which a slow stream's own gaps extend that. */
const maxStalledAfter = 3_000
/** Multiple of that time, and of the expected time, after which a stream that sends only other bytes is stalled. */
const otherBytesFactor = 3
/** Share of the newest gap in the smoothed one. */
const newestShare = 0.3

/** Creates the progress of an attempt that is sent now. */
export const createStreamProgress = (now: number): StreamProgress => ({ lastAt: now, gap: 0, arrivals: 0 })

/** Notes that the response has begun. */
export const noteBegin = (progress: StreamProgress, now: number): void => { progress.lastAt = now }

/** Notes complete events that arrived together. */
export const noteEvents = (progress: StreamProgress, now: number): void => {
  const newest = now - progress.lastAt
  progress.arrivals++
  if (progress.arrivals === 2) progress.gap = newest
  if (progress.arrivals > 2) progress.gap += newestShare * (newest - progress.gap)
  progress.lastAt = now
}

/**
 * Whether a stream has had no event for so long that another worker should go on with it.
 *
 * @param progress - its events
 * @param lastDataAt - when anything last arrived, in ms
 * @param expected - expected time to the first event, in ms
 * @param now - present time, in ms
 */
export const isWithoutProgress = ({ lastAt, gap }: StreamProgress, lastDataAt: number, expected: number, now: number): boolean => {
  const limit = Math.min(Math.max(stalledAfter, gapFactor * gap), maxStalledAfter)
  if (now - Math.max(lastAt, lastDataAt) > limit) return true
  return now - lastAt > otherBytesFactor * Math.max(limit, expected)
}
