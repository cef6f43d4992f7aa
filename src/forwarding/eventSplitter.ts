/**
 * Splits a server-sent event stream into complete events, so that an event that
 * a worker sent only in part is never passed on. Events end with an empty line.
 */

/** One or more complete events of a stream. */
export interface CompleteEvents {
  /** The events as received. */
  readonly bytes: Buffer
  /** Number of events. */
  readonly count: number
  /** Id of the last event that has one; undefined if none has. */
  readonly lastId: string | undefined
}

/** Splits the body of one response. */
export interface EventSplitter {
  /** Adds received bytes; returns the events that they complete, or undefined if there are none. */
  readonly push: (bytes: Buffer) => CompleteEvents | undefined
  /** Whether bytes of an incomplete event are held back. */
  readonly hasPartialEvent: () => boolean
}

const idPattern = /^id:[ ]?(.*?)\r?$/gm
const lineFeed = 10
const carriageReturn = 13

/** Offset after the last empty line, or 0 if there is none. */
const endOfLastEvent = (bytes: Buffer): number => {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== lineFeed) continue
    const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1
    if (before >= 0 && bytes[before] === lineFeed) return index + 1
  }
  return 0
}

const eventPattern = /\r?\n\r?\n/g

const summarize = (bytes: Buffer): CompleteEvents => {
  const text = bytes.toString('latin1')
  const ids = [...text.matchAll(idPattern)]
  return { bytes, count: text.match(eventPattern)?.length ?? 0, lastId: ids.at(-1)?.[1] }
}

/** Creates a splitter for one response, with nothing received yet. */
export const createEventSplitter = (): EventSplitter => {
  let pending: Buffer = Buffer.alloc(0)

  const push = (bytes: Buffer): CompleteEvents | undefined => {
    pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes])
    const end = endOfLastEvent(pending)
    if (end === 0) return undefined
    const complete = pending.subarray(0, end)
    pending = pending.subarray(end)
    return summarize(complete)
  }

  return { push, hasPartialEvent: () => pending.length > 0 }
}
