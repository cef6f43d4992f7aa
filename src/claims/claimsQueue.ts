/** Claims and ends of calls that wait at a partition for the log. */
import type { Claim, Close, Entry } from './claimsMessages.js'
import { maxCloseDelay, maxBatchLength, queuedNoticeInterval } from './claimsTimes.js'

/** An entry that waits, and who sent it. */
export interface QueuedEntry<Item extends Entry> {
  readonly item: Item
  readonly from: string
  readonly since: number
  /** When its sender last heard that it waits. */
  notifiedAt: number
  /** Appends tried; any of them may yet take effect. */
  tries: number
  /** Whether an append of it is under way or not yet read back. */
  inFlight: boolean
}

/** What waits, by attempt. */
export interface Queue {
  readonly claims: Map<string, QueuedEntry<Claim>>
  readonly closes: Map<string, QueuedEntry<Close>>
  /** Marks the next entries as being appended. */
  readonly takeBatch: () => readonly Entry[]
  /** Whether an entry should not wait for others to share its append. */
  readonly hasUrgent: (now: number) => boolean
  /** Claims whose senders should hear that they wait. */
  readonly takeDueNotices: (now: number) => readonly QueuedEntry<Claim>[]
}

/**
 * An entry that has just come.
 *
 * @param item - the entry
 * @param from - who sent it
 * @param now - in ms
 */
export const createQueuedEntry = <Item extends Entry>(item: Item, from: string, now: number): QueuedEntry<Item> =>
  ({ item, from, since: now, notifiedAt: now, tries: 0, inFlight: false })

const isUrgent = ({ item, inFlight, since }: QueuedEntry<Entry>, now: number): boolean => {
  if (inFlight) return false
  return item.kind === 'claim' || item.outcome === 'notRun' || now - since >= maxCloseDelay
}

/** Creates an empty queue. */
export const createQueue = (): Queue => {
  const claims = new Map<string, QueuedEntry<Claim>>()
  const closes = new Map<string, QueuedEntry<Close>>()

  const takeBatch = (): readonly Entry[] => {
    const due = [...claims.values(), ...closes.values()].filter(waiting => !waiting.inFlight).slice(0, maxBatchLength)
    for (const waiting of due) {
      waiting.inFlight = true
      waiting.tries++
    }
    return due.map(waiting => waiting.item)
  }

  const hasUrgent = (now: number): boolean => {
    for (const waiting of claims.values()) if (isUrgent(waiting, now)) return true
    for (const waiting of closes.values()) if (isUrgent(waiting, now)) return true
    return false
  }

  const takeDueNotices = (now: number): readonly QueuedEntry<Claim>[] => {
    const due = [...claims.values()].filter(waiting => now - waiting.notifiedAt >= queuedNoticeInterval)
    for (const waiting of due) waiting.notifiedAt = now
    return due
  }

  return { claims, closes, takeBatch, hasUrgent, takeDueNotices }
}
