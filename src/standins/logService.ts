/**
 * A stand-in for the append-only log service. It keeps streams of records with
 * offsets, limits retention by count and age, and limits the rate of appends.
 */
import { z } from 'zod'
import type { LogRecord } from '../ports/logPort.js'
import { answerWithFaults, createStandInServer, parseJson, sendJson } from './standInServer.js'
import type { Call, StandIn, StandInOptions } from './standInServer.js'

/** Options of the log service. */
export interface LogServiceOptions extends StandInOptions {
  /** Maximum number of records retained in a stream. */
  readonly keepRecords?: number
  /** Maximum age of a retained record, in ms. */
  readonly keepFor?: number
  /** Maximum rate of appends per second over all streams; appends above it are rejected with 429. */
  readonly appendsPerSecond?: number
}

/** A record that was appended to a stream. */
export interface AppendedRecord extends LogRecord {
  readonly stream: string
}

/** A stream of records; `first` is the offset of its first retained record, `waiting` wakes the reads that wait for a record. */
interface Stream {
  first: number
  readonly kept: LogRecord[]
  readonly waiting: Set<() => void>
}

const defaultKeepRecords = 1_000_000 // records per stream
const defaultKeepFor = 24 * 3_600_000 // ms
const defaultAppendsPerSecond = 600
const maxLimit = 10_000 // records per read
const maxWait = 30_000 // ms
const maxRecordEntries = 100_000 // entries

const readSchema = z.object({
  from: z.coerce.number().int().nonnegative().default(0),
  limit: z.coerce.number().int().positive().max(maxLimit).default(1_000),
  wait_ms: z.coerce.number().nonnegative().max(maxWait).default(0)
})

/**
 * Creates a log service.
 *
 * @param options - address, retention and append rate
 * @returns the log service; its record lists the first 100,000 appends that took effect
 */
export const createLogService = (options: LogServiceOptions = {}): StandIn<AppendedRecord> => {
  const { keepRecords = defaultKeepRecords, keepFor = defaultKeepFor, appendsPerSecond = defaultAppendsPerSecond } = options
  const record: AppendedRecord[] = []
  const streams = new Map<string, Stream>()
  const server = createStandInServer(options, record)
  let tokens = appendsPerSecond
  let refilledAt = server.now()

  const admit = (now: number): boolean => {
    tokens = Math.min(appendsPerSecond, tokens + (now - refilledAt) * appendsPerSecond / 1_000)
    refilledAt = now
    if (tokens < 1) return false
    tokens--
    return true
  }

  const streamOf = (name: string): Stream => {
    const stream = streams.get(name) ?? { first: 0, kept: [], waiting: new Set() }
    streams.set(name, stream)
    return stream
  }

  const expire = (stream: Stream, now: number): void => {
    let drop = Math.max(0, stream.kept.length - keepRecords)
    while (drop < stream.kept.length && stream.kept[drop].at < now - keepFor) drop++
    stream.kept.splice(0, drop)
    stream.first += drop
  }

  const append = (name: string, payload: unknown, now: number): number => {
    const stream = streamOf(name)
    const offset = stream.first + stream.kept.length
    stream.kept.push({ offset, at: now, payload })
    if (record.length < maxRecordEntries) record.push({ stream: name, offset, at: now, payload })
    expire(stream, now)
    for (const wake of stream.waiting) wake()
    return offset
  }

  const read = (stream: Stream, from: number, limit: number): { first: number, end: number, records: readonly LogRecord[] } => {
    expire(stream, server.now())
    const start = Math.max(from, stream.first) - stream.first
    return { first: stream.first, end: stream.first + stream.kept.length, records: stream.kept.slice(start, start + limit) }
  }

  const onAppend = (call: Call): void => {
    const name = call.params.name ?? ''
    const payload = parseJson(call.body)
    if (payload === undefined) return sendJson(call.response, 400, { error: { type: 'bad_payload', message: 'the payload is not valid JSON' } })
    if (!admit(server.now())) return sendJson(call.response, 429, { error: { type: 'too_many_appends', message: 'the append rate limit is exceeded' } })
    answerWithFaults(server, call, () => {
      const offset = append(name, payload, server.now())
      if (server.faults.take('duplicate') !== undefined) append(name, payload, server.now())
      return { status: 200, body: { offset } }
    })
  }

  const onRead = (call: Call): void => {
    const query = readSchema.safeParse(call.query)
    if (!query.success) return sendJson(call.response, 400, { error: { type: 'bad_query', message: query.error.message } })
    const { from, limit, wait_ms: wait } = query.data
    const stream = streamOf(call.params.name ?? '')
    const answer = (): void => answerWithFaults(server, call, () => ({ status: 200, body: read(stream, from, limit) }))
    if (wait === 0 || from < stream.first + stream.kept.length) return answer()
    const wake = (): void => {
      clearTimeout(timer)
      stream.waiting.delete(wake)
      answer()
    }
    const timer = setTimeout(wake, wait)
    stream.waiting.add(wake)
    call.response.on('close', () => {
      clearTimeout(timer)
      stream.waiting.delete(wake)
    })
  }

  server.on('POST', '/streams/:name/records', onAppend)
  server.on('GET', '/streams/:name/records', onRead)

  return server.toStandIn(record)
}
