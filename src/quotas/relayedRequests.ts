/**
 * Requests that another instance relays to this one after it has counted them. It
 * says so in a message of its own, which may arrive after the request: credit that
 * was taken meanwhile goes back.
 */
import { LRUCache } from 'lru-cache'
import type { Credit } from './creditHolding.js'

/** The relayed requests that are counted; times in ms. */
export interface RelayedRequests {
  /** Records the credit that was taken for a relayed request. */
  readonly noteTaken: (id: string, credit: Credit) => void
  /** Records that the relaying instance has counted a request; returns credit that was taken for it. */
  readonly noteCounted: (workspace: string, id: string, now: number) => Credit | undefined
  readonly isCounted: (workspace: string, id: string, now: number) => boolean
}

/** Number of requests that are remembered, and for how long, in ms. */
const maxRequests = 4_000
const countedTime = 60_000

const keyOf = (workspace: string, id: string): string => `${workspace}\n${id}`

/** Creates an empty record. */
export const createRelayedRequests = (): RelayedRequests => {
  const countedUntil = new LRUCache<string, number>({ max: maxRequests })
  const taken = new LRUCache<string, Credit>({ max: maxRequests })

  const noteCounted = (workspace: string, id: string, now: number): Credit | undefined => {
    const key = keyOf(workspace, id)
    const credit = taken.get(key)
    taken.delete(key)
    countedUntil.set(key, now + countedTime)
    return credit
  }

  return {
    noteTaken: (id, credit) => { taken.set(keyOf(credit.workspace, id), credit) },
    noteCounted,
    isCounted: (workspace, id, now) => (countedUntil.get(keyOf(workspace, id)) ?? -Infinity) > now
  }
}
