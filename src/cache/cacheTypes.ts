/** Types of the index that tracks which prompt blocks the workers hold in their prefix caches. */
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { EndpointEffect, EndpointInput } from '../ports/endpointPort.js'
import type { Tick } from '../ports/peerPort.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import type { Random } from '../random.js'

/** Inputs that update the index. */
export type CacheInput = Tick | Extract<EndpointInput, { kind: 'endpoint.events' | 'endpoint.unreachable' }>

/** Effects on the endpoint port: subscribing to a worker's cache events and unsubscribing. */
export type CacheEffect = Extract<EndpointEffect, { kind: 'endpoint.follow' | 'endpoint.unfollow' }>

/**
 * Which blocks of a worker's cache events are stored: `all`; `levels`, only those
 * that end a level of a prompt that this instance has routed; or `none`, in which
 * case no worker is followed.
 */
export type EventDepth = 'all' | 'levels' | 'none'

/** How much of a prompt's prefix a worker holds, as far as this instance knows. */
export interface PrefixMatch {
  /** Number of leading blocks held. */
  readonly blocks: number
  /** True if it follows from the worker's cache events without a gap; false if it is estimated from responses or from events before a gap. */
  readonly certain: boolean
  /** Whether there is any information on this worker's cache. */
  readonly known: boolean
  /** Age of the information in ms; 0 if `certain`. */
  readonly age: number
}

/** Options of the index. */
export interface CacheOptions {
  readonly random: Random
  /** Returns the current state of an endpoint, or undefined once it has been removed. */
  readonly endpointOf: (id: string) => Endpoint | undefined
  /** Returns the workers whose events may be followed. */
  readonly workers: () => readonly Endpoint[]
  readonly depth: EventDepth
  /** Memory limit in bytes for the block sets of all workers together. */
  readonly maxBytes: number
  /** Maximum number of workers followed at a time; the most used ones take precedence. */
  readonly maxFollowed: number
  /** Maximum number of full listings awaited at a time. */
  readonly maxConcurrentListings: number
  /** Upper bound of the random delay before a listing is requested, in ms. */
  readonly listingJitter: number
  /** Time after which an unanswered listing request is repeated, in ms. */
  readonly listingTimeout: number
  /** Maximum number of level-end blocks stored from responses. */
  readonly maxLearnedBlocks: number
}

/** Default options; they suit both example deployments. */
export const cacheDefaults = {
  depth: 'all',
  maxBytes: 8 * 1024 * 1024,
  maxFollowed: 32,
  maxConcurrentListings: 16,
  listingJitter: 200,
  listingTimeout: 5000,
  maxLearnedBlocks: 16384
} as const satisfies Partial<CacheOptions>

/** The index entry of one worker in the state dump. */
export interface CacheSummary {
  readonly endpoint: string
  readonly incarnation: string
  readonly state: 'unfollowed' | 'listing' | 'doubtful' | 'certain'
  /** Sequence number of the last batch or listing applied; -1 before the first listing. */
  readonly seq: number
  /** Number of blocks stored. */
  readonly blocks: number
  /** Size of the block set in bytes. */
  readonly bytes: number
  /** Blocks that were not stored because the set was full, since the last listing. */
  readonly turnedAway: number
  /** Gaps found in the sequence numbers. */
  readonly gaps: number
}

/** The cache index of one instance. */
export interface Cache {
  /** Applies an input at `now` (ms) and returns the effects to carry out. */
  readonly handle: (input: CacheInput, now: number) => readonly CacheEffect[]
  /** Returns how much of a prompt an incarnation of a worker holds. */
  readonly matched: (endpoint: string, incarnation: string, chain: PrefixChain, now: number) => PrefixMatch
  /**
   * Records that a worker has computed a prompt and therefore holds it now. If
   * both `cachedTokens`, the engine's count of cached prompt tokens, and
   * `predicted`, the match at the time of routing, are given, the retention
   * estimate of the worker is corrected by comparing them.
   */
  readonly learned: (endpoint: string, incarnation: string, chain: PrefixChain, cachedTokens: number | undefined, now: number, predicted?: PrefixMatch) => void
  /** Returns at most `count` workers that hold a block according to recent responses. */
  readonly holders: (block: string, count: number) => readonly string[]
  readonly dump: () => { readonly workers: readonly CacheSummary[], readonly learned: number, readonly retention: Readonly<Record<string, number>> }
}
