/**
 * Weighted rendezvous orders: for a block, the workers that should hold it,
 * best first. The order depends on the block, the workers' ids and their
 * declared slots only, so that every instance has the same one without talking.
 * See "A name-based mapping scheme for rendezvous" (1996) for the method.
 */
import { LRUCache } from 'lru-cache'
import type { Hash } from '../hash.js'
import { mixWords } from '../wordMix.js'

/** A worker that may be placed on. */
export interface WeightedWorker {
  readonly id: string
  readonly slots: number
}

/** The orders over one set of workers. */
export interface RendezvousOrders {
  /** Indexes of the first workers of a block's order; `low` is the block's low word. */
  readonly order: (low: number) => Uint16Array
  /** The first `width` of `members`, in the block's order. */
  readonly topAmong: (low: number, members: Uint16Array, width: number) => Uint16Array
}

/** Workers kept of each order. */
export const maxOrderLength = 128
const maxOrders = 2048
const wordRange = 2 ** 32

/**
 * Creates the orders over a set of workers.
 *
 * @param hash - the process's hash functions
 * @param workers - the set, in any order
 * @returns orders, each computed at its first use
 */
export const createRendezvousOrders = (hash: Hash, workers: readonly WeightedWorker[]): RendezvousOrders => {
  const seeds = Uint32Array.from(workers, worker => hash.h32(worker.id))
  const weights = Float64Array.from(workers, worker => Math.max(1, worker.slots))
  const known = new LRUCache<number, Uint16Array>({ max: maxOrders })
  const everyone = Uint16Array.from(workers, (_, index) => index)

  const topAmong = (low: number, members: Uint16Array, width: number): Uint16Array => {
    const length = Math.min(width, members.length)
    const best = new Uint16Array(length)
    const keys = new Float64Array(length).fill(-1)
    for (const index of members) {
      const key = weights[index] / -Math.log((mixWords(low, seeds[index]) + 0.5) / wordRange)
      if (key <= keys[length - 1]) continue
      let place = length - 1
      while (place > 0 && keys[place - 1] < key) {
        keys[place] = keys[place - 1]
        best[place] = best[place - 1]
        place--
      }
      keys[place] = key
      best[place] = index
    }
    return best
  }

  const order = (low: number): Uint16Array => {
    const found = known.get(low)
    if (found !== undefined) return found
    const computed = topAmong(low, everyone, maxOrderLength)
    known.set(low, computed)
    return computed
  }

  return { order, topAmong }
}
