/** What an instance knows of the prefix caches of workers. */
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { EndpointEffect, EndpointInput } from '../ports/endpointPort.js'
import type { Tick } from '../ports/peerPort.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import type { Random } from '../random.js'

/** Inputs that change the knowledge. */
export type CacheInput = Tick | Extract<EndpointInput, { kind: 'endpoint.events' | 'endpoint.unreachable' }>

/** Orders to the endpoint port. */
export type CacheEffect = Extract<EndpointEffect, { kind: 'endpoint.follow' | 'endpoint.unfollow' }>

/** Which blocks of a worker's events are kept: all, those that end a level of a prompt seen here, or none. */
export type EventDepth = 'all' | 'levels' | 'none'

/** How much of a prompt a worker is known to hold. */
export interface PrefixMatch {
  /** Leading blocks held. */
  readonly blocks: number
  /** Whether the worker's own events say so, without a gap; otherwise it is a guess from answers or from before a gap. */
  readonly certain: boolean
  /** Whether anything at all is known of this worker's cache. */
  readonly known: boolean
  /** Time since the evidence, in ms; 0 if certain. */
  readonly age: number
}

/** Settings of the knowledge. */
export interface CacheOptions {
  readonly random: Random
  /** The endpoint as it is now; undefined once it is gone. */
  readonly endpointOf: (id: string) => Endpoint | undefined
  /** The workers that may be followed. */
  readonly workers: () => readonly Endpoint[]
  readonly depth: EventDepth
  /** Bytes of block sets over all workers. */
  readonly maxBytes: number
  /** Workers followed at once; those used most go first. */
  readonly maxFollowed: number
  /** Full listings awaited at once. */
  readonly listingsAtOnce: number
  /** Longest random delay before a listing is asked for, in ms. */
  readonly listingJitter: number
  /** Time after which an unanswered listing is asked for again, in ms. */
  readonly listingTimeout: number
  /** Level ends remembered from answers. */
  readonly maxLearned: number
}

/** Settings that suit an instance of either deployment. */
export const cacheDefaults = {
  depth: 'all',
  maxBytes: 8 * 1024 * 1024,
  maxFollowed: 32,
  listingsAtOnce: 16,
  listingJitter: 200,
  listingTimeout: 5000,
  maxLearned: 16384
} as const satisfies Partial<CacheOptions>

/** The knowledge of one worker, for the state dump. */
export interface CacheSummary {
  readonly endpoint: string
  readonly incarnation: string
  readonly state: 'unfollowed' | 'listing' | 'doubtful' | 'certain'
  readonly seq: number
  readonly blocks: number
  readonly bytes: number
  readonly turnedAway: number
  readonly gaps: number
}

/** The cache knowledge of one instance. */
export interface Cache {
  readonly handle: (input: CacheInput, now: number) => readonly CacheEffect[]
  /** What a worker's incarnation is known to hold of a prompt. */
  readonly matched: (endpoint: string, incarnation: string, chain: PrefixChain, now: number) => PrefixMatch
  /**
   * Takes in that a worker has computed a prompt and so holds it now. With
   * `cachedTokens` and `believed`, what was believed at the choice is checked
   * against what the engine found.
   */
  readonly learned: (endpoint: string, incarnation: string, chain: PrefixChain, cachedTokens: number | undefined, now: number, believed?: PrefixMatch) => void
  /** Workers that recent answers name as holders of a block, at most `count` of them. */
  readonly holders: (block: string, count: number) => readonly string[]
  readonly dump: () => { readonly workers: readonly CacheSummary[], readonly learned: number, readonly retention: Readonly<Record<string, number>> }
}
