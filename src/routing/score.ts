/**
 * Scores workers for a request: the expected time to the first token, plus a
 * weight on the tokens to recompute, plus a weight on tokens that go to a worker
 * outside the placement of their level, plus a penalty for a missed deadline. Where
 * a worker's cache contents are unknown, they are estimated from its placement, so
 * that an instance without any cache information relies on placement alone.
 */
import type { PrefixMatch } from '../cache/cacheTypes.js'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import type { PlacementHitRates } from './placementHitRates.js'
import type { Objective, RoutingRequest } from './routingTypes.js'
import type { WorkerStats } from './workerStats.js'
import { expectedQueueTime, firstTokenOverhead, prefillCost } from './workerStats.js'

/** The score of one worker for one request, with the figures behind it. Times are in ms. */
export interface Score {
  /** Index of the worker in the candidate set. */
  readonly index: number
  readonly endpoint: Endpoint
  /** Statistics of the worker. */
  readonly model: WorkerStats
  /** What is known of the worker's prefix cache for the prompt. */
  readonly match: PrefixMatch
  /** Number of leading levels whose placement includes the worker. */
  readonly depth: number
  /** Expected time until the worker starts to process the prompt. */
  readonly wait: number
  /** Prefill time of the worker per uncached token. */
  readonly cost: number
  /** Prompt tokens expected to be in the worker's prefix cache. */
  readonly cachedTokens: number
  /** Prompt tokens expected not to be cached. */
  readonly uncachedTokens: number
  /** Expected time from dispatch to the first token. */
  readonly expectedWait: number
  /** The score; the lowest is best. */
  readonly score: number
}

/** The input of a score. */
export interface ScoreInput {
  readonly request: RoutingRequest
  readonly endpoint: Endpoint
  readonly index: number
  /** Statistics of the worker. */
  readonly model: WorkerStats
  /** What is known of the worker's prefix cache for the prompt. */
  readonly match: PrefixMatch
  /** Number of leading levels whose placement includes the worker. */
  readonly depth: number
  readonly hitRates: PlacementHitRates
  /** Mean prefill time per uncached token over the workers of known speed, in ms. */
  readonly meanCost: number
  /** Prefill time per uncached token assumed for the worker until its own is known, in ms: the mean, at first scaled by its declared slots. */
  readonly priorCost: number
  readonly objective: Objective
  /** Delay that a recomputed token causes to the requests queued behind it, in multiples of its own cost. */
  readonly congestion: number
  readonly now: number
}

/** Fraction of the time to the deadline beyond which an expected wait counts as late. */
const safeFraction = 0.7
/** Weight of each ms beyond that fraction; high, since no saved recomputation is worth a missed deadline. */
const latenessWeight = 4
/** Age at which the weight of uncertain evidence of cached tokens has halved, in ms. */
const evidenceHalfLife = 20_000

const tokensOf = (chain: PrefixChain, blocks: number): number => blocks === 0 ? 0 : chain.tokenEnds[blocks - 1]

const tokensOfDepth = (chain: PrefixChain, depth: number): number => depth === 0 ? 0 : tokensOf(chain, chain.levels[depth - 1])

const expectedCachedTokens = ({ request: { chain }, match, depth, hitRates }: ScoreInput): number => {
  if (match.certain) return tokensOf(chain, match.blocks)
  const placedTokens = hitRates.tokens(chain, depth)
  const evidentTokens = tokensOf(chain, match.blocks) * 0.5 ** (match.age / evidenceHalfLife)
  return Math.max(placedTokens, evidentTokens)
}

/**
 * Scores one worker.
 *
 * @param input - the request, the worker and what is known of both
 * @returns the score; the lowest is best
 */
export const scoreWorker = (input: ScoreInput): Score => {
  const { request, endpoint, index, model: stats, match, depth, meanCost, objective, congestion, now } = input
  const cost = prefillCost(stats, input.priorCost)
  const wait = expectedQueueTime(stats, endpoint, cost, request.priority, congestion / (1 + congestion), now)
  const cachedTokens = Math.min(request.promptTokens, expectedCachedTokens(input))
  const uncachedTokens = request.promptTokens - cachedTokens
  const unplacedTokens = Math.max(0, request.chain.tokens - tokensOfDepth(request.chain, depth))
  const expectedWait = wait + firstTokenOverhead + uncachedTokens * cost
  const weightedTokens = (objective.recomputation + congestion) * uncachedTokens + objective.placement * (1 + congestion) * unplacedTokens
  const lateness = Math.max(0, expectedWait - safeFraction * (request.deadline - now))
  const score = expectedWait + weightedTokens * meanCost + latenessWeight * lateness
  return { index, endpoint, model: stats, match, depth, wait, cost, cachedTokens, uncachedTokens, expectedWait, score }
}
