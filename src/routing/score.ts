/**
 * Scores workers for a request: the expected time to the first token, plus a
 * weight on the tokens to recompute, plus a weight on tokens placed outside the
 * workers of their level. Where a worker's cache is unknown, its placement
 * stands in for what it holds, so that an instance without knowledge scores by
 * placement alone.
 */
import type { PrefixMatch } from '../cache/cacheTypes.js'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import type { PlacementHitRates } from './placementHitRates.js'
import type { Objective, RoutingRequest } from './routingTypes.js'
import type { WorkerStats } from './workerStats.js'
import { expectedQueueTime, firstTokenOverhead, prefillCost } from './workerStats.js'

/** One scored worker. */
export interface Score {
  readonly index: number
  readonly endpoint: Endpoint
  readonly model: WorkerStats
  readonly match: PrefixMatch
  readonly depth: number
  readonly wait: number
  readonly cost: number
  readonly cachedTokens: number
  readonly uncachedTokens: number
  readonly expectedWait: number
  readonly score: number
}

/** What a score is made of. */
export interface ScoreInput {
  readonly request: RoutingRequest
  readonly endpoint: Endpoint
  readonly index: number
  readonly model: WorkerStats
  readonly match: PrefixMatch
  readonly depth: number
  readonly hitRates: PlacementHitRates
  readonly meanCost: number
  /** The worker's cost as long as nothing is known of it: the mean, by its declared slots. */
  readonly priorCost: number
  readonly objective: Objective
  /** What a recomputed token costs those who wait behind it, in multiples of its own cost. */
  readonly congestion: number
  readonly now: number
}

/** Part of the time to the deadline beyond which an expected wait is taken to be late. */
const safePart = 0.7
/** Weight of each ms beyond it; no saved recomputation is worth a missed deadline. */
const latenessWeight = 4
/** Age at which uncertain evidence counts half, in ms. */
const evidenceHalfLife = 20_000

const tokensOf = (chain: PrefixChain, blocks: number): number => blocks === 0 ? 0 : chain.tokenEnds[blocks - 1]

const tokensOfDepth = (chain: PrefixChain, depth: number): number => depth === 0 ? 0 : tokensOf(chain, chain.levels[depth - 1])

const expectedCached = ({ request: { chain }, match, depth, hitRates: belief }: ScoreInput): number => {
  if (match.certain) return tokensOf(chain, match.blocks)
  const placed = belief.tokens(chain, depth)
  const evident = tokensOf(chain, match.blocks) * 0.5 ** (match.age / evidenceHalfLife)
  return Math.max(placed, evident)
}

/**
 * Scores one worker.
 *
 * @param parts - the request, the worker and what is known of both
 * @returns the score; the lowest is best
 */
export const scoreWorker = (parts: ScoreInput): Score => {
  const { request: question, endpoint, index, model, match, depth, meanCost, objective, congestion, now } = parts
  const cost = prefillCost(model, parts.priorCost)
  const wait = expectedQueueTime(model, endpoint, cost, question.priority, congestion / (1 + congestion), now)
  const cachedTokens = Math.min(question.promptTokens, expectedCached(parts))
  const uncachedTokens = question.promptTokens - cachedTokens
  const unplacedTokens = Math.max(0, question.chain.tokens - tokensOfDepth(question.chain, depth))
  const expectedWait = wait + firstTokenOverhead + uncachedTokens * cost
  const extra = (objective.recomputation + congestion) * uncachedTokens + objective.placement * (1 + congestion) * unplacedTokens
  const late = Math.max(0, expectedWait - safePart * (question.deadline - now))
  const score = expectedWait + extra * meanCost + latenessWeight * late
  return { index, endpoint, model, match, depth, wait, cost, cachedTokens, uncachedTokens, expectedWait, score }
}
