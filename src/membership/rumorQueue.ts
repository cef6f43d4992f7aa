/** Queue of rumors that are piggybacked on the next messages; each is sent a limited number of times. */
import type { Rumor } from './membershipMessages.js'

/** The queue; it holds at most one rumor per instance. */
export interface RumorQueue {
  /** Queues a rumor; it replaces a queued one about the same instance and its count of sends. */
  readonly put: (rumor: Rumor) => void
  /** Takes the rumors for one message; `instances` is the number of known instances. */
  readonly take: (instances: number) => Rumor[]
  /** Drops the rumors with the status `alive`. */
  readonly dropAlive: () => void
  /** The number of queued rumors. */
  readonly size: () => number
}

/** Bytes of rumors in one message while the queue is short. */
const baseRumorBytes = 700
/** Upper limit of the bytes of rumors in one message. */
const maxRumorBytes = 2_000
/** Fraction of the queue that one message carries, between the two limits in bytes. */
const queueFraction = 1 / 4
/** Estimated size of a rumor with the complete member record, in bytes. */
const fullRumorBytes = 115
/** Estimated size of a rumor that carries only the failure state of a known member, in bytes. */
const healthRumorBytes = 50
/** Each rumor is sent this many times the binary logarithm of the number of instances. */
const sendCountFactor = 2

interface QueuedRumor {
  readonly rumor: Rumor
  readonly sent: number
}

/**
 * Creates an empty queue.
 *
 * @returns the queue
 */
export const createRumorQueue = (): RumorQueue => {
  const queued = new Map<string, QueuedRumor>()

  /** Takes from the front and puts back at the end, so that all rumors are sent in rotation. */
  const take = (instances: number): Rumor[] => {
    if (queued.size === 0) return []
    const limit = sendCountFactor * Math.ceil(Math.log2(instances + 2))
    const initialSize = queued.size
    let bytesLeft = Math.min(maxRumorBytes, Math.max(baseRumorBytes, queued.size * healthRumorBytes * queueFraction))
    const taken: Rumor[] = []
    for (const [id, item] of queued) {
      if (bytesLeft <= 0 || taken.length >= initialSize) break
      bytesLeft -= item.rumor.status === 'alive' ? fullRumorBytes : healthRumorBytes
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
