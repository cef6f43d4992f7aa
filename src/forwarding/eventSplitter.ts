/**
 * Cuts the bytes of an event stream into whole events, so that an event that a
 * worker broke off is never passed on. Events end with an empty line.
 */

/** Whole events of a stream. */
export interface CompleteEvents {
  /** Their bytes, unchanged. */
  readonly bytes: Buffer
  /** How many there are. */
  readonly count: number
  /** Id of the last event that has one. */
  readonly lastId: string | undefined
}

/** The splitter of one answer. */
export interface EventSplitter {
  /** Takes bytes; answers with the events that they complete, if any. */
  readonly push: (bytes: Buffer) => CompleteEvents | undefined
  /** Whether an event has begun and not ended. */
  readonly hasPartialEvent: () => boolean
}

const idPattern = /^id:[ ]?(.*?)\r?$/gm
const lineFeed = 10
const carriageReturn = 13

/** Position after the last empty line, or 0. */
const endOfLastEvent = (bytes: Buffer): number => {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== lineFeed) continue
    const before = bytes[at - 1] === carriageReturn ? at - 2 : at - 1
    if (before >= 0 && bytes[before] === lineFeed) return at + 1
  }
  return 0
}

const eventPattern = /\r?\n\r?\n/g

const describe = (bytes: Buffer): CompleteEvents => {
  const text = bytes.toString('latin1')
  const ids = [...text.matchAll(idPattern)]
  return { bytes, count: text.match(eventPattern)?.length ?? 0, lastId: ids.at(-1)?.[1] }
}

/** Creates a splitter. */
export const createEventSplitter = (): EventSplitter => {
  let pending: Buffer = Buffer.alloc(0)

  const push = (bytes: Buffer): CompleteEvents | undefined => {
    pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes])
    const end = endOfLastEvent(pending)
    if (end === 0) return undefined
    const whole = pending.subarray(0, end)
    pending = pending.subarray(end)
    return describe(whole)
  }

  return { push, hasPartialEvent: () => pending.length > 0 }
}
