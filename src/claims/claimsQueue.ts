/** Claims and ends of calls that wait at a partition for the log. */
import type { Claim, Close, Entry } from './claimsMessages.js'
import { closeDelay, longestBatch, queuedNotice } from './claimsTimes.js'

/** An entry that waits, and who sent it. */
export interface Waiting<Item extends Entry> {
  readonly item: Item
  readonly from: string
  readonly since: number
  /** When its sender last heard that it waits. */
  noticedAt: number
  /** Appends tried; any of them may yet take effect. */
  tries: number
  /** Whether an append of it is under way or not yet read back. */
  appending: boolean
}

/** What waits, by attempt. */
export interface Queue {
  readonly claims: Map<string, Waiting<Claim>>
  readonly closes: Map<string, Waiting<Close>>
  /** Marks the next entries as being appended. */
  readonly takeBatch: () => readonly Entry[]
  /** Whether an entry should not wait for others to share its append. */
  readonly hasUrgent: (now: number) => boolean
  /** Claims whose senders should hear that they wait. */
  readonly takeNotices: (now: number) => readonly Waiting<Claim>[]
}

/**
 * An entry that has just come.
 *
 * @param item - the entry
 * @param from - who sent it
 * @param now - in ms
 */
export const createWaiting = <Item extends Entry>(item: Item, from: string, now: number): Waiting<Item> =>
  ({ item, from, since: now, noticedAt: now, tries: 0, appending: false })

const isUrgent = ({ item, appending, since }: Waiting<Entry>, now: number): boolean => {
  if (appending) return false
  return item.kind === 'claim' || item.outcome === 'notRun' || now - since >= closeDelay
}

/** Creates an empty queue. */
export const createQueue = (): Queue => {
  const claims = new Map<string, Waiting<Claim>>()
  const closes = new Map<string, Waiting<Close>>()

  const takeBatch = (): readonly Entry[] => {
    const due = [...claims.values(), ...closes.values()].filter(waiting => !waiting.appending).slice(0, longestBatch)
    for (const waiting of due) {
      waiting.appending = true
      waiting.tries++
    }
    return due.map(waiting => waiting.item)
  }

  const hasUrgent = (now: number): boolean => {
    for (const waiting of claims.values()) if (isUrgent(waiting, now)) return true
    for (const waiting of closes.values()) if (isUrgent(waiting, now)) return true
    return false
  }

  const takeNotices = (now: number): readonly Waiting<Claim>[] => {
    const due = [...claims.values()].filter(waiting => now - waiting.noticedAt >= queuedNotice)
    for (const waiting of due) waiting.noticedAt = now
    return due
  }

  return { claims, closes, takeBatch, hasUrgent, takeNotices }
}
