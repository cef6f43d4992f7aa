/**
 * The engine's prefix cache. It holds a limited number of blocks, evicts the
 * least recently used block first, and publishes changes with a delay in
 * batches with sequence numbers.
 */
import { LRUCache } from 'lru-cache'
import type { CacheEvent } from '../../ports/endpointPort.js'

/** A batch of published changes, or a full listing of the cache. */
export interface EventBatch {
  /** Sequence number of the batch, or of the last batch that a full listing includes. */
  readonly seq: number
  /** Whether this is a full listing. */
  readonly full: boolean
  readonly events: readonly CacheEvent[]
}

/** A prefix cache of blocks, each stored under a salt. */
export interface EngineCache {
  /** Returns the number of leading blocks of a chain that are cached under the salt. */
  readonly held: (blocks: readonly string[], salt: string) => number
  /** Stores a chain of blocks under the salt and marks them as recently used. */
  readonly store: (blocks: readonly string[], salt: string) => void
  /** Publishes the pending changes as a batch, if there are any. */
  readonly flush: () => void
  /** Drops the next batches: their sequence numbers are used up, but they are not published. */
  readonly dropBatches: (batches: number) => void
  /**
   * Returns the batch `from` or the next retained one, a full listing when `from` is
   * undefined or beyond the next sequence number, and undefined when there is no such batch yet.
   */
  readonly since: (from: number | undefined) => EventBatch | undefined
  /** Returns the sequence number of the last batch; 0 before the first. */
  readonly lastSeq: () => number
  /** Removes all blocks and batches and restarts the sequence numbers. */
  readonly clear: () => void
}

const maxRetainedBatches = 256 // published batches

/**
 * Creates an empty prefix cache.
 *
 * @param maxBlocks - capacity in blocks
 * @returns the cache
 */
export const createEngineCache = (maxBlocks: number): EngineCache => {
  let pendingEvents: CacheEvent[] = []
  let batches: EventBatch[] = []
  let seq = 0
  let batchesToDrop = 0
  const blocks = new LRUCache<string, string>({
    max: maxBlocks,
    dispose: (_, block, reason) => {
      if (reason === 'evict') pendingEvents.push({ kind: 'removed', block })
    }
  })

  const held = (chain: readonly string[], salt: string): number => {
    const firstMissing = chain.findIndex(block => blocks.peek(block) !== salt)
    return firstMissing < 0 ? chain.length : firstMissing
  }

  const store = (chain: readonly string[], salt: string): void => {
    for (const block of [...chain].reverse()) {
      if (blocks.get(block) === salt) continue
      blocks.set(block, salt)
      pendingEvents.push({ kind: 'stored', block })
    }
  }

  const flush = (): void => {
    if (pendingEvents.length === 0) return
    const events = pendingEvents
    pendingEvents = []
    seq++
    if (batchesToDrop > 0) batchesToDrop--
    else batches = [...batches, { seq, full: false, events }].slice(-maxRetainedBatches)
  }

  const fullListing = (): EventBatch => ({ seq, full: true, events: [...blocks.keys()].map(block => ({ kind: 'stored', block })) })

  const since = (from: number | undefined): EventBatch | undefined => {
    if (from === undefined || from > seq + 1) return fullListing()
    if (from === seq + 1) return undefined
    return batches.find(batch => batch.seq >= from)
  }

  const clear = (): void => {
    blocks.clear()
    pendingEvents = []
    batches = []
    seq = 0
  }

  return { held, store, flush, dropBatches: count => { batchesToDrop += count }, since, lastSeq: () => seq, clear }
}
