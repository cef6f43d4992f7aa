/** Rumors that wait to ride on the next messages; each is sent a limited number of times. */
import type { Rumor } from './membershipMessages.js'

/** The queue. */
export interface RumorQueue {
  readonly put: (rumor: Rumor) => void
  /** Takes the rumors for one message. */
  readonly take: (instances: number) => Rumor[]
  /** Drops what says no more than that an instance is alive. */
  readonly dropAlive: () => void
  readonly size: () => number
}

/** Bytes that one message spends on rumors while few wait. */
const fewBytes = 700
/** Bytes that one message spends on rumors at most. */
const mostBytes = 2_000
/** A message carries this part of the rumors that wait. */
const queuePart = 1 / 4
/** Size of a rumor with the whole member, in bytes. */
const wholeBytes = 115
/** Size of a rumor that only says how a known member fares, in bytes. */
const briefBytes = 50
/** Each rumor is sent this many times the binary logarithm of the number of instances. */
const repeatFactor = 2

interface Queued {
  readonly rumor: Rumor
  readonly sent: number
}

/**
 * Creates an empty queue.
 */
export const createRumorQueue = (): RumorQueue => {
  const queued = new Map<string, Queued>()

  /** Takes from the front and puts back at the end, so that all get their turn. */
  const take = (instances: number): Rumor[] => {
    if (queued.size === 0) return []
    const limit = repeatFactor * Math.ceil(Math.log2(instances + 2))
    const fits = queued.size
    let room = Math.min(mostBytes, Math.max(fewBytes, queued.size * briefBytes * queuePart))
    const taken: Rumor[] = []
    for (const [id, item] of queued) {
      if (room <= 0 || taken.length >= fits) break
      room -= item.rumor.status === 'alive' ? wholeBytes : briefBytes
      taken.push(item.rumor)
      queued.delete(id)
      if (item.sent + 1 < limit) queued.set(id, { rumor: item.rumor, sent: item.sent + 1 })
    }
    return taken
  }

  return {
    put: rumor => queued.set(rumor.member.id, { rumor, sent: 0 }),
    take,
    dropAlive: () => queued.forEach(({ rumor }, id) => rumor.status === 'alive' && queued.delete(id)),
    size: () => queued.size
  }
}
