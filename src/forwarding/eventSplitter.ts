/**
 * Splits a server-sent event stream into complete events, so that an event that
 * a worker sent only in part is never passed on. Events end with an empty line;
 * lines end with a line feed, a carriage return, or both.
 */
import { createByteBuffer } from '../byteBuffer.js'

/** One or more complete events of a stream. */
export interface CompleteEvents {
  /** The events as received, comments included. */
  readonly bytes: Buffer
  /** Number of events; blocks of comments alone do not count. */
  readonly count: number
  /** Id of the last event that has one; undefined if none has. */
  readonly lastId: string | undefined
}

/** Splits the body of one response. */
export interface EventSplitter {
  /** Adds received bytes; returns the events that they complete, or undefined if there are none. */
  readonly push: (bytes: Buffer) => CompleteEvents | undefined
  /** Number of bytes of an incomplete event that are held back. */
  readonly heldBytes: () => number
  /** Whether bytes of an incomplete event are held back. */
  readonly hasPartialEvent: () => boolean
}

const lineFeed = 10
const carriageReturn = 13
const lineEnd = /\r\n|\n|\r/
/** The byte order mark with which a stream may begin, read as Latin-1. */
const byteOrderMark = /^\u00ef\u00bb\u00bf/
const idPattern = /^id:[ ]?(.*)$/

/** Finds the ends of events in bytes that arrive in parts, and looks at each byte once. */
const createEndFinder = (): (bytes: Buffer) => number => {
  let atLineStart = true
  let afterCarriageReturn = false
  let afterEvent = false

  /** Returns the offset after the last event that ends in these bytes, or 0 if none does. */
  return bytes => {
    let end = 0
    for (let index = 0; index < bytes.length; index++) {
      const byte = bytes[index]
      const endsSameLine = byte === lineFeed && afterCarriageReturn
      const endsLine = byte === lineFeed || byte === carriageReturn
      if (!endsSameLine) afterEvent = endsLine && atLineStart
      if (endsLine && afterEvent) end = index + 1
      atLineStart = endsLine
      afterCarriageReturn = byte === carriageReturn
    }
    return end
  }
}

const summarize = (bytes: Buffer, isStart: boolean): CompleteEvents => {
  const text = bytes.toString('latin1')
  let count = 0
  let hasField = false
  let lastId: string | undefined
  for (const line of (isStart ? text.replace(byteOrderMark, '') : text).split(lineEnd)) {
    if (line === '' && hasField) count++
    hasField = line !== '' && (hasField || !line.startsWith(':'))
    lastId = idPattern.exec(line)?.[1] ?? lastId
  }
  return { bytes, count, lastId }
}

/** Creates a splitter for one response, with nothing received yet. */
export const createEventSplitter = (): EventSplitter => {
  const findEnd = createEndFinder()
  const partialEvent = createByteBuffer()
  let isStart = true

  const push = (bytes: Buffer): CompleteEvents | undefined => {
    const end = findEnd(bytes)
    if (end === 0) {
      partialEvent.push(bytes)
      return undefined
    }
    const complete = partialEvent.size() === 0 ? bytes.subarray(0, end) : Buffer.concat([partialEvent.bytes(), bytes.subarray(0, end)])
    partialEvent.clear()
    partialEvent.push(bytes.subarray(end))
    const events = summarize(complete, isStart)
    isStart = false
    return events
  }

  return { push, heldBytes: partialEvent.size, hasPartialEvent: () => partialEvent.size() > 0 }
}
