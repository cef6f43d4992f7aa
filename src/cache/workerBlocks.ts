/**
 * The set of blocks that one worker holds, maintained from its cache events. Event
 * batches carry sequence numbers; a gap makes the set doubtful until a full
 * listing replaces it. Batches of another incarnation and duplicates are ignored.
 */
import type { CacheEvent } from '../ports/endpointPort.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import { blockWords } from '../prefix/prefixHasher.js'
import type { BlockSet } from './blockSet.js'
import { createBlockSet } from './blockSet.js'
import type { CacheSummary } from './cacheTypes.js'

/** The replicated block set of a followed worker. */
export interface WorkerBlocks {
  readonly endpoint: string
  incarnation: string
  state: 'listing' | 'doubtful' | 'certain'
  /** Sequence number of the last batch or listing applied; -1 before the first listing. */
  seq: number
  /** Highest sequence number of any batch or listing received from this incarnation. */
  newest: number
  /** Time in ms of the last listing, or of the last batch without a gap applied in state `certain`. */
  lastConsistentAt: number
  /** Time of the pending listing request, in ms; undefined if none is pending. */
  listingRequestedAt: number | undefined
  /** Earliest time of the next listing request, in ms. */
  nextListingAt: number
  /** Blocks that were not stored because the set was full, since the last listing. */
  turnedAway: number
  /** Gaps found in the sequence numbers. */
  gaps: number
  readonly blocks: BlockSet
}

/** Returns whether a block that the worker has stored is added to the set. */
export type BlockFilter = (high: number, low: number) => boolean

/**
 * Creates the empty block set of a worker that awaits its first listing.
 *
 * @param endpoint - id of the worker
 * @param incarnation - its incarnation
 * @param maxBlocks - maximum number of blocks stored
 * @param now - current time in ms
 * @returns the block set, in state `listing`
 */
export const createWorkerBlocks = (endpoint: string, incarnation: string, maxBlocks: number, now: number): WorkerBlocks => ({
  endpoint,
  incarnation,
  state: 'listing',
  seq: -1,
  newest: -1,
  lastConsistentAt: now,
  listingRequestedAt: undefined,
  nextListingAt: now,
  turnedAway: 0,
  gaps: 0,
  blocks: createBlockSet(maxBlocks)
})

/**
 * Discards the blocks of the previous incarnation after a restart.
 *
 * @param worker - the worker, which is modified
 * @param incarnation - its new incarnation
 * @param now - current time in ms
 */
export const resetForIncarnation = (worker: WorkerBlocks, incarnation: string, now: number): void => {
  worker.incarnation = incarnation
  worker.state = 'listing'
  worker.seq = -1
  worker.newest = -1
  worker.listingRequestedAt = undefined
  worker.nextListingAt = now
  worker.turnedAway = 0
  worker.blocks.clear()
}

/**
 * Marks the block set as doubtful until the next full listing.
 *
 * @param worker - the worker, which is modified
 * @param nextListingAt - earliest time to request the listing, in ms
 */
export const markDoubtful = (worker: WorkerBlocks, nextListingAt: number): void => {
  if (worker.state === 'certain') worker.state = 'doubtful'
  worker.listingRequestedAt = undefined
  worker.nextListingAt = nextListingAt
}

const applyEvent = (worker: WorkerBlocks, event: CacheEvent, shouldStore: BlockFilter): void => {
  const [high, low] = blockWords(event.block)
  if (event.kind === 'removed') return worker.blocks.remove(high, low)
  if (!shouldStore(high, low)) return
  if (!worker.blocks.add(high, low)) worker.turnedAway++
}

/**
 * Replaces the block set by a full listing. If a batch with a higher sequence
 * number has already arrived, the listing is out of date and the set stays
 * doubtful. A listing older than a certain set is ignored.
 *
 * @param worker - the worker, which is modified
 * @param seq - sequence number of the last batch that the listing includes
 * @param events - one `stored` event for each block held
 * @param shouldStore - selects the blocks to store
 * @param now - current time in ms
 */
export const applyListing = (worker: WorkerBlocks, seq: number, events: readonly CacheEvent[], shouldStore: BlockFilter, now: number): void => {
  if (worker.state === 'certain' && seq < worker.seq) return
  worker.blocks.clear()
  worker.turnedAway = 0
  for (const event of events) applyEvent(worker, event, shouldStore)
  worker.seq = seq
  worker.state = seq < worker.newest ? 'doubtful' : 'certain'
  worker.newest = Math.max(worker.newest, seq)
  worker.lastConsistentAt = now
  worker.listingRequestedAt = undefined
}

/**
 * Applies a batch of events. Batches that arrive before the first listing and
 * duplicates are ignored.
 *
 * @param worker - the worker, which is modified
 * @param seq - sequence number of the batch
 * @param events - changes to the worker's cache
 * @param shouldStore - selects the blocks to store
 * @param now - current time in ms
 * @returns whether batches are missing before this one
 */
export const applyEvents = (worker: WorkerBlocks, seq: number, events: readonly CacheEvent[], shouldStore: BlockFilter, now: number): boolean => {
  worker.newest = Math.max(worker.newest, seq)
  if (worker.state === 'listing' || seq <= worker.seq) return false
  const gap = seq > worker.seq + 1
  for (const event of events) applyEvent(worker, event, shouldStore)
  worker.seq = seq
  if (gap) worker.gaps++
  if (worker.state === 'certain' && !gap) worker.lastConsistentAt = now
  return gap
}

/**
 * Counts the leading blocks of a prompt that the worker holds. The search starts
 * at the deepest level end that is held and continues block by block.
 *
 * @param worker - the worker
 * @param chain - the blocks and levels of the prompt
 * @returns number of leading blocks
 */
export const heldBlocks = (worker: WorkerBlocks, chain: PrefixChain): number => {
  const { words, levels, blocks } = chain
  let held = 0
  for (let level = levels.length - 1; level >= 0; level--) {
    const last = levels[level] - 1
    if (!worker.blocks.has(words[2 * last], words[2 * last + 1])) continue
    held = levels[level]
    break
  }
  while (held < blocks.length && worker.blocks.has(words[2 * held], words[2 * held + 1])) held++
  return held
}

/** Returns the worker's entry in the state dump. */
export const summarize = (worker: WorkerBlocks): CacheSummary => ({
  endpoint: worker.endpoint,
  incarnation: worker.incarnation,
  state: worker.state,
  seq: worker.seq,
  blocks: worker.blocks.size(),
  bytes: worker.blocks.bytes(),
  turnedAway: worker.turnedAway,
  gaps: worker.gaps
})
