/**
 * An in-memory log with the faults of the platform's log: outages, operations that are lost before
 * they take effect, acknowledgements that are lost afterwards, duplicate appends, and expiry. Each
 * effect returns its answer at once; a test that needs a delay schedules the delivery. The log has no
 * clock of its own.
 */
import type { LogEffect, LogInput, LogRecord } from '../../src/ports/logPort.js'

/**
 * What happens to an operation: `outage` fails it as unavailable, `cutBefore` loses it before it takes
 * effect, `lostAck` loses its answer, `duplicate` appends the record twice.
 */
export type LogFault = 'none' | 'outage' | 'lostAck' | 'cutBefore' | 'duplicate'

/** The fake log. */
export interface FakeLog {
  /** The records of a stream that have not expired. */
  readonly records: (stream: string) => readonly LogRecord[]
  /** Performs an effect at the time `now`, in ms, and returns the answer. */
  readonly perform: (effect: LogEffect, now: number, fault?: LogFault) => LogInput
  /** Drops the records before `offset`. */
  readonly expire: (stream: string, offset: number) => void
}

interface Stream {
  /** Offset of the first record that has not expired. */
  first: number
  readonly kept: LogRecord[]
}

/**
 * Creates an empty log.
 */
export const createFakeLog = (): FakeLog => {
  const streams = new Map<string, Stream>()

  const streamOf = (name: string): Stream => {
    const known = streams.get(name) ?? { first: 0, kept: [] }
    streams.set(name, known)
    return known
  }

  const end = (stream: Stream): number => stream.first + stream.kept.length

  const append = (stream: Stream, payload: unknown, now: number): number => {
    const offset = end(stream)
    stream.kept.push({ offset, at: now, payload: structuredClone(payload) })
    return offset
  }

  const perform = (effect: LogEffect, now: number, fault: LogFault = 'none'): LogInput => {
    const { owner, token, stream: name } = effect
    const stream = streamOf(name)
    if (fault === 'outage') return { kind: 'log.failed', owner, token, stream: name, failure: 'unavailable' }
    if (fault === 'cutBefore') return { kind: 'log.failed', owner, token, stream: name, failure: 'lost' }
    if (effect.kind === 'log.append') {
      const offset = append(stream, effect.payload, now)
      if (fault === 'duplicate') append(stream, effect.payload, now)
      if (fault === 'lostAck') return { kind: 'log.failed', owner, token, stream: name, failure: 'lost' }
      return { kind: 'log.appended', owner, token, stream: name, offset }
    }
    if (fault === 'lostAck') return { kind: 'log.failed', owner, token, stream: name, failure: 'lost' }
    const from = Math.max(effect.from, stream.first)
    const records = stream.kept.slice(from - stream.first, from - stream.first + effect.limit)
    return { kind: 'log.records', owner, token, stream: name, records, first: stream.first, end: end(stream) }
  }

  const expire = (name: string, offset: number): void => {
    const stream = streamOf(name)
    const drop = Math.max(0, Math.min(offset - stream.first, stream.kept.length))
    stream.kept.splice(0, drop)
    stream.first += drop
  }

  return { records: name => streamOf(name).kept, perform, expire }
}
