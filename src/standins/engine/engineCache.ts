/**
 * The engine's prefix cache: a limited number of blocks, least recently used
 * first out. Changes are published in numbered batches, late.
 */
import { LRUCache } from 'lru-cache'
import type { CacheEvent } from '../../ports/endpointPort.js'

/** Published changes, or all that the cache holds. */
export interface EventBatch {
  /** Number of the batch, or of the last one that a full listing covers. */
  readonly seq: number
  readonly full: boolean
  readonly events: readonly CacheEvent[]
}

/** A prefix cache. */
export interface EngineCache {
  /** Leading blocks of a chain that are held for this salt. */
  readonly held: (blocks: readonly string[], salt: string) => number
  readonly store: (blocks: readonly string[], salt: string) => void
  /** Ends the batch that is being gathered. */
  readonly flush: () => void
  /** Loses the next batches. */
  readonly lose: (batches: number) => void
  /** The batch numbered `from`, or what comes closest; undefined when there is none yet. */
  readonly since: (from: number | undefined) => EventBatch | undefined
  readonly last: () => number
  readonly clear: () => void
}

const keptBatches = 256

/**
 * Creates an empty cache.
 *
 * @param maxBlocks - blocks that it holds
 * @returns the cache
 */
export const createEngineCache = (maxBlocks: number): EngineCache => {
  let gathering: CacheEvent[] = []
  let batches: EventBatch[] = []
  let seq = 0
  let lost = 0
  const blocks = new LRUCache<string, string>({
    max: maxBlocks,
    dispose: (_, block, reason) => {
      if (reason === 'evict') gathering.push({ kind: 'removed', block })
    }
  })

  const held = (chain: readonly string[], salt: string): number => {
    const missing = chain.findIndex(block => blocks.peek(block) !== salt)
    return missing < 0 ? chain.length : missing
  }

  const store = (chain: readonly string[], salt: string): void => {
    for (const block of [...chain].reverse()) {
      if (blocks.get(block) === salt) continue
      blocks.set(block, salt)
      gathering.push({ kind: 'stored', block })
    }
  }

  const flush = (): void => {
    if (gathering.length === 0) return
    const events = gathering
    gathering = []
    seq++
    if (lost > 0) lost--
    else batches = [...batches, { seq, full: false, events }].slice(-keptBatches)
  }

  const listing = (): EventBatch => ({ seq, full: true, events: [...blocks.keys()].map(block => ({ kind: 'stored', block })) })

  const since = (from: number | undefined): EventBatch | undefined => {
    if (from === undefined || from > seq + 1) return listing()
    if (from === seq + 1) return undefined
    return batches.find(batch => batch.seq >= from)
  }

  const clear = (): void => {
    blocks.clear()
    gathering = []
    batches = []
    seq = 0
  }

  return { held, store, flush, lose: count => { lost += count }, since, last: () => seq, clear }
}
