/**
 * What an instance that has started lately has read of the records of streams. It
 * reads them when it has to know where a stream began that no instance knows, or
 * when another instance asks it to, at most every 5 s.
 */
import type { Moment } from '../lease/readLease.js'
import type { StreamStoreEffect, StreamStoreInput } from '../ports/feedPort.js'
import type { StreamLogEvent, StreamOrigin } from './streamOriginsTypes.js'
import { readStreamRecords, type RecordedStreams } from './streamRecords.js'

/** What an instance has read of the records; `now` in ms. */
export interface RecordReader {
  /** Begins to read unless that was done or has failed a moment ago, or is in progress. */
  readonly read: (now: number) => void
  /** Reads what is there after `moment` (ms); returns whether to wait for it. It has to be called again until it returns false. */
  readonly readAfter: (moment: number, now: number) => boolean
  /** Whether a read that began after `moment` (ms) is done. */
  readonly hasReadAfter: (moment: number) => boolean
  /** Whether it is worth to wait for the result. */
  readonly isReading: (now: number) => boolean
  /** Applies the result and returns where the recorded streams began; undefined if the records could not be read. */
  readonly apply: (input: Extract<StreamStoreInput, { kind: 'streams.records' | 'streams.unread' }>, now: Moment) => ReadonlyMap<string, StreamOrigin> | undefined
  /** Versions that the service has run lately by the records; undefined if these have not been read, or not all could be decoded. */
  readonly versionsOf: (service: string) => readonly string[] | undefined
}

/** Number of records that are read: more than two recorders write within the time for which streams count. */
const newestRecords = 256
/** Longest time that a request waits for the records, in ms. */
const readTimeout = 1_000
/** Time after a read, in ms. Records of streams that began since are needed only if the instances that know them are killed, too. */
const readInterval = 5_000
/** Time between the beginnings of two reads that are to be newer than a question, in ms. */
const renewInterval = 250
/** Time after a failed read, in ms. */
const retryInterval = 1_000

/**
 * Creates the reader of an instance.
 *
 * @param emit - receives requests to the store
 * @param log - receives log events
 */
export const createRecordReader = (emit: (effect: StreamStoreEffect) => void, log: (event: StreamLogEvent) => void): RecordReader => {
  let recorded: RecordedStreams | undefined
  let startedAt: number | undefined
  let isFailing = false
  let nextReadAt = -Infinity
  /** When the newest read that is done began. */
  let readFrom = -Infinity

  let begunAt = -Infinity

  const begin = (now: number): void => {
    startedAt = now
    begunAt = now
    emit({ kind: 'streams.read', count: newestRecords })
  }

  return {
    read: now => {
      if (startedAt === undefined && now >= nextReadAt) begin(now)
    },
    readAfter: (moment, now) => {
      if (readFrom >= moment || (isFailing && now < nextReadAt)) return false
      if (startedAt === undefined && now >= begunAt + renewInterval) begin(now)
      return readFrom < moment && (startedAt === undefined || now - startedAt < readTimeout)
    },
    hasReadAfter: moment => readFrom >= moment,
    isReading: now => startedAt !== undefined && now - startedAt < readTimeout,
    apply: (input, now) => {
      if (input.kind === 'streams.records') readFrom = startedAt ?? readFrom
      startedAt = undefined
      nextReadAt = now.steady + (input.kind === 'streams.unread' ? retryInterval : readInterval)
      if (input.kind === 'streams.unread') {
        if (!isFailing) log({ kind: 'streamRecordsUnread' })
        isFailing = true
        return undefined
      }
      isFailing = false
      recorded = readStreamRecords(input.records, now.wall)
      log({ kind: 'streamRecordsRead', records: input.records.length, streams: recorded.origins.size, malformed: recorded.malformed })
      return recorded.origins
    },
    versionsOf: service => recorded === undefined || recorded.malformed > 0 ? undefined : [...recorded.versions.get(service) ?? []]
  }
}
