/**
 * Finds by bisection where in a stream to start reading, so that an instance
 * which takes a partition over reads what matters and not all that is kept.
 */
import type { LogInput } from '../ports/logPort.js'

/** What to read next. */
export type SeekStep =
  | { readonly kind: 'read', readonly from: number }
  /** Every record that is kept from `since` on has an offset of at least `from`. */
  | { readonly kind: 'found', readonly from: number, readonly since: number }

/** A search in one stream. */
export interface Seek {
  readonly step: () => SeekStep
  /** Takes the answer to the last read, which asked for one record. */
  readonly receive: (input: LogInput & { readonly kind: 'log.records' }) => void
}

/** Appends that are rather read than searched. */
const maxUnsearched = 64

/**
 * Starts a search for the records of `target` and later.
 *
 * @param target - the log's time, in ms
 * @param maxDisorder - how far in ms the times of records may run against their order
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
