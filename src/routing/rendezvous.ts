/**
 * Weighted rendezvous hashing: for a block, the order of the workers that should
 * hold it, best first. The order depends only on the block, the workers' ids and
 * their declared slots, so that all instances compute the same one without
 * communication. See "A name-based mapping scheme for rendezvous" (1996) for the
 * method.
 */
import { LRUCache } from 'lru-cache'
import type { Hash } from '../hash.js'
import { mixWords } from '../wordMix.js'

/** A worker with its weight for rendezvous hashing, the declared slots. */
export interface WeightedWorker {
  readonly id: string
  readonly slots: number
}

/** Rendezvous orders over one set of workers, as indexes into it. */
export interface RendezvousOrders {
  /** Returns the first `maxOrderLength` workers of a block's order; `lowWord` is the low 32 bits of the block's hash. */
  readonly order: (lowWord: number) => Uint16Array
  /** Returns the first `width` of `members` in the block's order. */
  readonly topAmong: (lowWord: number, members: Uint16Array, width: number) => Uint16Array
}

/** Maximum number of workers kept per order. */
export const maxOrderLength = 128
/** Maximum number of cached orders; the least recently used is evicted. */
const maxOrders = 2048
/** Number of values of a 32-bit word. */
const wordRange = 2 ** 32

/**
 * Creates the rendezvous orders over a set of workers.
 *
 * @param hash - the process's hash functions
 * @param workers - the set, in any order
 * @returns the orders, each computed at its first use
 */
export const createRendezvousOrders = (hash: Hash, workers: readonly WeightedWorker[]): RendezvousOrders => {
  const seeds = Uint32Array.from(workers, worker => hash.h32(worker.id))
  const weights = Float64Array.from(workers, worker => Math.max(1, worker.slots))
  const cachedOrders = new LRUCache<number, Uint16Array>({ max: maxOrders })
  const allIndexes = Uint16Array.from(workers, (_, index) => index)

  const topAmong = (lowWord: number, members: Uint16Array, width: number): Uint16Array => {
    const length = Math.min(width, members.length)
    const best = new Uint16Array(length)
    const scores = new Float64Array(length).fill(-1)
    for (const index of members) {
      const score = weights[index] / -Math.log((mixWords(lowWord, seeds[index]) + 0.5) / wordRange)
      if (score <= scores[length - 1]) continue
      let position = length - 1
      while (position > 0 && scores[position - 1] < score) {
        scores[position] = scores[position - 1]
        best[position] = best[position - 1]
        position--
      }
      scores[position] = score
      best[position] = index
    }
    return best
  }

  const order = (lowWord: number): Uint16Array => {
    const cached = cachedOrders.get(lowWord)
    if (cached !== undefined) return cached
    const computed = topAmong(lowWord, allIndexes, maxOrderLength)
    cachedOrders.set(lowWord, computed)
    return computed
  }

  return { order, topAmong }
}
