/**
 * Binary search for the offset at which to start reading a stream, so that an
 * instance that takes over a partition reads only the records that can still
 * affect a verdict, and not all that the log keeps.
 */
import type { LogInput } from '../ports/logPort.js'

/** The next step of a search. */
export type SeekStep =
  /** Read one record at `from`. */
  | { readonly kind: 'read', readonly from: number }
  /** The search is finished: every retained record with a log time of at least `since` has an offset of at least `from`. */
  | { readonly kind: 'found', readonly from: number, readonly since: number }

/** A search in one stream. */
export interface Seek {
  /** Returns the next step. */
  readonly step: () => SeekStep
  /** Processes the answer to the last read, which requested one record. */
  readonly receive: (input: LogInput & { readonly kind: 'log.records' }) => void
}

/** Length in records of a range that is read sequentially instead of being searched further. */
const maxUnsearched = 64

/**
 * Starts a search for the first record with a log time of at least `target`.
 *
 * @param target - log time, in ms
 * @param maxDisorder - greatest amount in ms by which a record's time may be earlier than that of a preceding record
 * @returns the search
 */
export const createSeek = (target: number, maxDisorder: number): Seek => {
  let low = 0
  let high = Infinity
  let probed = 0

  const receive = ({ records, first, end }: LogInput & { readonly kind: 'log.records' }): void => {
    const [record] = records
    high = Math.min(high, end)
    low = Math.max(low, first)
    if (record === undefined) high = Math.min(high, Math.max(low, probed))
    else if (record.at < target) low = Math.max(low, record.offset + 1)
    else high = Math.min(high, record.offset)
  }

  const step = (): SeekStep => {
    if (high === Infinity) return { kind: 'read', from: probed }
    if (high - low <= maxUnsearched) return { kind: 'found', from: low, since: low === 0 ? -Infinity : target + maxDisorder }
    probed = low + Math.floor((high - low) / 2)
    return { kind: 'read', from: probed }
  }

  return { step, receive }
}
