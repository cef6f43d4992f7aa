/**
 * Chooses workers for requests. Placement by rendezvous hashing gives the same answer
 * on every instance without any shared state; cache contents, load reports, this
 * instance's requests in flight and measured worker speeds refine it.
 */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { CandidateSet } from './candidateIndex.js'
import { createCandidateIndex, servedVersion } from './candidateIndex.js'
import { createCongestion } from './congestion.js'
import { createLevelWidths } from './levelWidths.js'
import { createPlacementHitRates } from './placementHitRates.js'
import type { Placement } from './placement.js'
import { initialWidth, placeLevels } from './placement.js'
import { maxOrderLength } from './rendezvous.js'
import type { WorkerChoice, ChoiceReason, InFlightRequest, NoEndpoint, RoutingRequest, Routing, RoutingOptions, ScoredEndpoint } from './routingTypes.js'
import type { Score } from './score.js'
import { scoreWorker } from './score.js'
import { createServiceChooser } from './serviceChooser.js'
import type { WorkerStats } from './workerStats.js'
import { createWorkerStats, defaultPrefillCost, updateSpeeds, estimateLoad, meanPrefillCost, workerSummary, recordEnded, recordFirstToken, recordLoadReport, recordStarted, resetForRestart } from './workerStats.js'

/** Candidate sets of up to this many workers are scored in full. */
const scoreAllLimit = 24
/** Maximum number of placed workers and recent holders scored in a larger set; they are taken level by level, the deepest first. */
const maxScored = 12
/** Number of placed workers taken per level. */
const placedPerLevel = 4
/** Number of recent holders taken per level. */
const holdersPerLevel = 2
/** Number of workers drawn at random in addition; the same worker may be drawn twice. */
const randomDraws = 2
/** Time after the first decision during which the speed of an unknown worker is estimated from its declared slots, in ms. */
const warmUpTime = 3000
/** Fraction of the best score within which other scores count as ties. */
const tieFraction = 0.03
/** Difference from the best score within which scores always count as ties, in ms. */
const tieTime = 2

const byScore = (left: Score, right: Score): number => left.score - right.score

/**
 * Creates the routing of one instance.
 *
 * @param options - hash functions, random numbers, cache contents and the objective
 * @returns routing without statistics of any worker
 */
export const createRouting = (options: RoutingOptions): Routing => {
  const { random, cache, objective } = options
  const candidates = createCandidateIndex(options.hash)
  const widths = createLevelWidths(maxOrderLength)
  const services = createServiceChooser(random, options.dataCentre)
  const hitRates = createPlacementHitRates()
  const congestion = createCongestion()
  const statsByWorker = new Map<string, WorkerStats>()
  let meanCost = defaultPrefillCost
  let firstDecisionAt: number | undefined

  const statsOf = (endpoint: string, incarnation: string, now: number): WorkerStats => {
    const stats = statsByWorker.get(endpoint) ?? createWorkerStats(endpoint, incarnation)
    statsByWorker.set(endpoint, stats)
    if (stats.incarnation !== incarnation) resetForRestart(stats, incarnation, now)
    return stats
  }

  const isEligible = (request: RoutingRequest, endpoint: Endpoint): boolean =>
    !request.exclude.includes(endpoint.id) && (request.allowed?.includes(endpoint.id) ?? true)

  /** Prefill cost assumed for a worker of unknown speed: while this instance warms up, the mean scaled by declared slots; later the mean, so that it is tried like an average worker. */
  const priorCostOf = (set: CandidateSet, endpoint: Endpoint, now: number): number => {
    firstDecisionAt ??= now
    return now - firstDecisionAt > warmUpTime ? meanCost : meanCost * set.meanSlots / Math.max(1, endpoint.slots)
  }

  const scoreCandidate = (request: RoutingRequest, set: CandidateSet, placement: Placement, index: number, now: number): Score => {
    const endpoint = set.workers[index]
    const stats = statsOf(endpoint.id, endpoint.incarnation, now)
    recordLoadReport(stats, endpoint.report)
    const match = cache.matched(endpoint.id, endpoint.incarnation, request.chain, now)
    return scoreWorker({ request, endpoint, index, model: stats, match, depth: placement.depthOf(index), hitRates, meanCost, priorCost: priorCostOf(set, endpoint, now), objective, congestion: congestion.value(), now })
  }

  const selectForScoring = (request: RoutingRequest, set: CandidateSet, placement: Placement): Iterable<number> => {
    if (set.workers.length <= scoreAllLimit) return set.workers.keys()
    const chosen = new Set<number>()
    const add = (index: number | undefined): void => {
      if (index !== undefined && chosen.size < maxScored) chosen.add(index)
    }
    const { levels, blocks } = request.chain
    for (let level = levels.length - 1; level >= 0; level--) {
      for (const index of placement.levels[level].subarray(0, placedPerLevel)) add(index)
      for (const holder of cache.holders(blocks[levels[level] - 1], holdersPerLevel)) add(set.indexOf.get(holder))
    }
    for (let draw = 0; draw < randomDraws; draw++) chosen.add(random.below(set.workers.length))
    return chosen
  }

  const scoreCandidates = (request: RoutingRequest, set: CandidateSet, placement: Placement, now: number): Score[] => {
    const eligibleOf = (indexes: Iterable<number>): number[] => [...indexes].filter(index => isEligible(request, set.workers[index]))
    const selected = eligibleOf(selectForScoring(request, set, placement))
    const indexes = selected.length > 0 ? selected : eligibleOf(set.workers.keys())
    return indexes.map(index => scoreCandidate(request, set, placement, index, now))
  }

  const chooseBest = (all: readonly Score[], now: number): Score => {
    const best = all.reduce((left, right) => byScore(left, right) <= 0 ? left : right)
    const tieBound = best.score + Math.max(tieTime, tieFraction * best.score)
    const ties = all.filter(score => score.score <= tieBound)
    if (ties.length === 1) return best
    const left = ties[random.below(ties.length)]
    const right = ties[random.below(ties.length)]
    return estimateLoad(left.model, now).requests <= estimateLoad(right.model, now).requests ? left : right
  }

  const reasonOf = (score: Score, request: RoutingRequest, onlyCandidate: boolean): ChoiceReason => {
    if (onlyCandidate) return 'alone'
    if (score.match.blocks > 0) return 'cached'
    return score.depth >= request.chain.levels.length - 1 ? 'placed' : 'spilled'
  }

  const noEndpointFor = (request: RoutingRequest, set: CandidateSet): NoEndpoint => set.workers.length > 0
    ? { kind: 'noEndpoint', reason: 'allExcluded' }
    : { kind: 'noEndpoint', reason: 'notHeld', model: request.model, weightVersion: request.weightVersion }

  const choose = (request: RoutingRequest, endpoints: readonly Endpoint[], now: number): Result<WorkerChoice, NoEndpoint> => {
    const set = candidates.find(request, endpoints)
    const placement = placeLevels(set, request.chain, widths)
    const all = scoreCandidates(request, set, placement, now)
    if (all.length === 0) return err(noEndpointFor(request, set))
    const chosen = chooseBest(all, now)
    congestion.observe(chosen.wait, chosen.uncachedTokens * chosen.cost)
    return ok({
      endpoint: chosen.endpoint.id,
      incarnation: chosen.endpoint.incarnation,
      weightVersion: servedVersion(request, chosen.endpoint) ?? '',
      expectedWait: chosen.expectedWait,
      expectedCachedTokens: chosen.cachedTokens,
      level: chosen.depth,
      reason: reasonOf(chosen, request, all.length === 1),
      match: chosen.match
    })
  }

  const recordLevels = (request: RoutingRequest, choice: WorkerChoice, now: number): void => {
    const { levels, blocks } = request.chain
    for (let level = 0; level < levels.length && level <= choice.level; level++) {
      widths.recordRequest(blocks[levels[level] - 1], initialWidth(level, levels.length), level === choice.level, now)
    }
  }

  const started = (request: RoutingRequest, choice: WorkerChoice, now: number): InFlightRequest => {
    const stats = statsOf(choice.endpoint, choice.incarnation, now)
    const uncachedTokens = Math.max(0, request.promptTokens - choice.expectedCachedTokens)
    const tokensAhead = estimateLoad(stats, now).tokens + uncachedTokens
    const dispatched: InFlightRequest = { request, choice, startedAt: now, tokensAhead, uncachedTokens, firstTokenAt: undefined, ended: false }
    recordStarted(stats, dispatched)
    recordLevels(request, choice, now)
    return dispatched
  }

  const currentStats = (dispatched: InFlightRequest): WorkerStats | undefined => {
    const stats = statsByWorker.get(dispatched.choice.endpoint)
    return stats?.incarnation === dispatched.choice.incarnation ? stats : undefined
  }

  const firstToken = (dispatched: InFlightRequest, now: number): void => {
    const stats = currentStats(dispatched)
    if (dispatched.ended || dispatched.firstTokenAt !== undefined || stats === undefined) return
    recordFirstToken(stats, dispatched, now)
    cache.learned(dispatched.choice.endpoint, dispatched.choice.incarnation, dispatched.request.chain, undefined, now)
  }

  const finished: Routing['finished'] = (dispatched, usage, now) => {
    const stats = currentStats(dispatched)
    if (dispatched.ended || stats === undefined) return
    recordEnded(stats, dispatched)
    updateSpeeds(stats, dispatched, usage, now)
    meanCost = meanPrefillCost(statsByWorker.values(), defaultPrefillCost)
    const { choice: { endpoint, incarnation, match, level }, request: { chain } } = dispatched
    hitRates.observe(chain, level, usage.cachedTokens)
    cache.learned(endpoint, incarnation, chain, usage.cachedTokens, now, match)
  }

  const failed = (dispatched: InFlightRequest): void => {
    const stats = currentStats(dispatched)
    if (!dispatched.ended && stats !== undefined) recordEnded(stats, dispatched)
  }

  const explain = (request: RoutingRequest, endpoints: readonly Endpoint[], now: number): readonly ScoredEndpoint[] => {
    const set = candidates.find(request, endpoints)
    const placement = placeLevels(set, request.chain, widths)
    return scoreCandidates(request, set, placement, now).sort(byScore).map(score => ({
      endpoint: score.endpoint.id,
      incarnation: score.endpoint.incarnation,
      wait: score.wait,
      cachedTokens: score.cachedTokens,
      certain: score.match.certain,
      prefillCost: score.cost,
      expectedWait: score.expectedWait,
      level: score.depth,
      score: score.score
    }))
  }

  return {
    choose,
    chooseService: (request, endpoints) => services.choose(request, endpoints),
    started,
    firstToken,
    finished,
    failed,
    serviceStarted: services.started,
    serviceEnded: services.ended,
    explain,
    dump: () => ({ workers: [...statsByWorker.values()].map(stats => workerSummary(stats, meanCost)), services: services.dump(), widths: widths.dump(), beliefs: hitRates.dump() })
  }
}
