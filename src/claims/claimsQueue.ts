/** The queue of claims and close records that wait at a partition for the log. */
import type { Claim, Close, Entry } from './claimsMessages.js'
import { maxCloseDelay, maxBatchLength, queuedNoticeInterval } from './claimsTimes.js'

/** A queued entry and its sender. */
export interface QueuedEntry<Item extends Entry> {
  readonly item: Item
  /** Id of the instance that sent the entry. */
  readonly from: string
  /** Time of arrival, in ms. */
  readonly since: number
  /** Time in ms at which the sender was last notified that the entry is queued. */
  notifiedAt: number
  /** Number of appends tried; any of them may still take effect. */
  tries: number
  /** Whether an append of the entry is in progress or has not been read back yet. */
  inFlight: boolean
}

/** Queued claims and close records, by attempt id. */
export interface Queue {
  readonly claims: Map<string, QueuedEntry<Claim>>
  readonly closes: Map<string, QueuedEntry<Close>>
  /** Returns the entries of the next append and marks them as in flight. */
  readonly takeBatch: () => readonly Entry[]
  /** Whether an entry must be appended without waiting for further entries to batch it with. */
  readonly hasUrgent: (now: number) => boolean
  /** Returns the claims whose senders are due a notice that they are queued, and marks them as notified. */
  readonly takeDueNotices: (now: number) => readonly QueuedEntry<Claim>[]
}

/**
 * Creates the queued form of an entry that has just arrived.
 *
 * @param item - the entry
 * @param from - id of the instance that sent it
 * @param now - time of arrival, in ms
 * @returns the queued entry, not in flight
 */
export const createQueuedEntry = <Item extends Entry>(item: Item, from: string, now: number): QueuedEntry<Item> =>
  ({ item, from, since: now, notifiedAt: now, tries: 0, inFlight: false })

const isUrgent = ({ item, inFlight, since }: QueuedEntry<Entry>, now: number): boolean => {
  if (inFlight) return false
  return item.kind === 'claim' || item.outcome === 'notRun' || now - since >= maxCloseDelay
}

/**
 * Creates an empty queue.
 *
 * @returns the queue
 */
export const createQueue = (): Queue => {
  const claims = new Map<string, QueuedEntry<Claim>>()
  const closes = new Map<string, QueuedEntry<Close>>()

  const takeBatch = (): readonly Entry[] => {
    const batch = [...claims.values(), ...closes.values()].filter(entry => !entry.inFlight).slice(0, maxBatchLength)
    for (const entry of batch) {
      entry.inFlight = true
      entry.tries++
    }
    return batch.map(entry => entry.item)
  }

  const hasUrgent = (now: number): boolean => {
    for (const entry of claims.values()) if (isUrgent(entry, now)) return true
    for (const entry of closes.values()) if (isUrgent(entry, now)) return true
    return false
  }

  const takeDueNotices = (now: number): readonly QueuedEntry<Claim>[] => {
    const due = [...claims.values()].filter(entry => now - entry.notifiedAt >= queuedNoticeInterval)
    for (const entry of due) entry.notifiedAt = now
    return due
  }

  return { claims, closes, takeBatch, hasUrgent, takeDueNotices }
}
