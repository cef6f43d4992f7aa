/**
 * The blocks of one worker, kept from its numbered cache events. A missing
 * number makes them doubtful until a full listing replaces them; events of
 * another incarnation and repeated ones change nothing.
 */
import type { CacheEvent } from '../ports/endpointPort.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import { blockWords } from '../prefix/prefixHasher.js'
import type { BlockSet } from './blockSet.js'
import { createBlockSet } from './blockSet.js'
import type { CacheSummary } from './cacheTypes.js'

/** What is known of a followed worker. */
export interface WorkerBlocks {
  readonly endpoint: string
  incarnation: string
  state: 'listing' | 'doubtful' | 'certain'
  seq: number
  /** The highest number that any batch or listing of this incarnation had. */
  newest: number
  /** When the blocks were last known for certain, in ms. */
  certainAt: number
  /** When a listing was asked for, in ms; undefined if none is awaited. */
  askedAt: number | undefined
  /** Earliest time to ask for a listing, in ms. */
  askFrom: number
  turnedAway: number
  gaps: number
  readonly blocks: BlockSet
}

/** Decides whether a stored block is worth its bytes. */
export type BlockFilter = (high: number, low: number) => boolean

/** Creates the record of a worker of which nothing is known yet. */
export const createWorkerBlocks = (endpoint: string, incarnation: string, maxBlocks: number, now: number): WorkerBlocks => ({
  endpoint,
  incarnation,
  state: 'listing',
  seq: -1,
  newest: -1,
  certainAt: now,
  askedAt: undefined,
  askFrom: now,
  turnedAway: 0,
  gaps: 0,
  blocks: createBlockSet(maxBlocks)
})

/** Drops everything that was known of an earlier incarnation. */
export const restart = (worker: WorkerBlocks, incarnation: string, now: number): void => {
  worker.incarnation = incarnation
  worker.state = 'listing'
  worker.seq = -1
  worker.newest = -1
  worker.askedAt = undefined
  worker.askFrom = now
  worker.turnedAway = 0
  worker.blocks.clear()
}

/** Marks the blocks as doubtful until the next full listing. */
export const doubt = (worker: WorkerBlocks, askFrom: number): void => {
  if (worker.state === 'certain') worker.state = 'doubtful'
  worker.askedAt = undefined
  worker.askFrom = askFrom
}

const apply = (worker: WorkerBlocks, event: CacheEvent, keeps: BlockFilter): void => {
  const [high, low] = blockWords(event.block)
  if (event.kind === 'removed') return worker.blocks.remove(high, low)
  if (!keeps(high, low)) return
  if (!worker.blocks.add(high, low)) worker.turnedAway++
}

/** Applies a full listing; one that later events have overtaken leaves the blocks doubtful. */
export const applyListing = (worker: WorkerBlocks, seq: number, events: readonly CacheEvent[], keeps: BlockFilter, now: number): void => {
  if (worker.state === 'certain' && seq < worker.seq) return
  worker.blocks.clear()
  worker.turnedAway = 0
  for (const event of events) apply(worker, event, keeps)
  worker.seq = seq
  worker.state = seq < worker.newest ? 'doubtful' : 'certain'
  worker.newest = Math.max(worker.newest, seq)
  worker.certainAt = now
  worker.askedAt = undefined
}

/**
 * Applies a batch of events.
 *
 * @returns whether a gap was found
 */
export const applyEvents = (worker: WorkerBlocks, seq: number, events: readonly CacheEvent[], keeps: BlockFilter, now: number): boolean => {
  worker.newest = Math.max(worker.newest, seq)
  if (worker.state === 'listing' || seq <= worker.seq) return false
  const gap = seq > worker.seq + 1
  for (const event of events) apply(worker, event, keeps)
  worker.seq = seq
  if (gap) worker.gaps++
  if (worker.state === 'certain' && !gap) worker.certainAt = now
  return gap
}

/** Leading blocks of a chain that the worker holds: the deepest level end first, then block by block. */
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

/** The worker's part of the state dump. */
export const summary = (worker: WorkerBlocks): CacheSummary => ({
  endpoint: worker.endpoint,
  incarnation: worker.incarnation,
  state: worker.state,
  seq: worker.seq,
  blocks: worker.blocks.size(),
  bytes: worker.blocks.bytes(),
  turnedAway: worker.turnedAway,
  gaps: worker.gaps
})
