/**
 * Chooses workers. Placement by rendezvous gives every instance the same answer
 * with no knowledge; cache knowledge, load reports, own requests in flight and
 * learned speeds refine it.
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

/** Fleets up to this size are scored in full. */
const scoreAllUpTo = 24
/** Workers scored in a larger fleet: placed ones and recent holders by level, the deepest first, and others drawn at random. */
const scoredAtMost = 12
const scoredPlaced = 4
const scoredHolders = 2
const scoredAtRandom = 2
/** Time after the first decision for which declared slots stand for speeds, in ms. */
const freshTime = 3000
/** Scores this close to the best are as good: a fraction, and at least this many ms. */
const equalFraction = 0.03
const equalTime = 2

const byScore = (left: Score, right: Score): number => left.score - right.score

/**
 * Creates the routing of one instance.
 *
 * @param options - hash, random numbers, cache knowledge and the objective
 * @returns routing with nothing learned
 */
export const createRouting = (options: RoutingOptions): Routing => {
  const { random, cache, objective } = options
  const candidates = createCandidateIndex(options.hash)
  const widths = createLevelWidths(maxOrderLength)
  const services = createServiceChooser(random, options.dataCentre)
  const belief = createPlacementHitRates()
  const congestion = createCongestion()
  const models = new Map<string, WorkerStats>()
  let meanCost = defaultPrefillCost
  let firstDecisionAt: number | undefined

  const modelOf = (endpoint: string, incarnation: string, now: number): WorkerStats => {
    const known = models.get(endpoint) ?? createWorkerStats(endpoint, incarnation)
    models.set(endpoint, known)
    if (known.incarnation !== incarnation) resetForRestart(known, incarnation, now)
    return known
  }

  const admitted = (question: RoutingRequest, endpoint: Endpoint): boolean =>
    !question.exclude.includes(endpoint.id) && (question.allowed?.includes(endpoint.id) ?? true)

  /** Until speeds are learned, declared slots stand for them; later an unknown worker is tried as if it were an ordinary one. */
  const priorCost = (set: CandidateSet, endpoint: Endpoint, now: number): number => {
    firstDecisionAt ??= now
    return now - firstDecisionAt > freshTime ? meanCost : meanCost * set.meanSlots / Math.max(1, endpoint.slots)
  }

  const scored = (question: RoutingRequest, set: CandidateSet, placement: Placement, index: number, now: number): Score => {
    const endpoint = set.workers[index]
    const model = modelOf(endpoint.id, endpoint.incarnation, now)
    recordLoadReport(model, endpoint.report)
    const match = cache.matched(endpoint.id, endpoint.incarnation, question.chain, now)
    return scoreWorker({ request: question, endpoint, index, model, match, depth: placement.depthOf(index), hitRates: belief, meanCost, priorCost: priorCost(set, endpoint, now), objective, congestion: congestion.value(), now })
  }

  const considered = (question: RoutingRequest, set: CandidateSet, placement: Placement): Iterable<number> => {
    if (set.workers.length <= scoreAllUpTo) return set.workers.keys()
    const chosen = new Set<number>()
    const add = (index: number | undefined): void => {
      if (index !== undefined && chosen.size < scoredAtMost) chosen.add(index)
    }
    const { levels, blocks } = question.chain
    for (let level = levels.length - 1; level >= 0; level--) {
      for (const index of placement.levels[level].subarray(0, scoredPlaced)) add(index)
      for (const holder of cache.holders(blocks[levels[level] - 1], scoredHolders)) add(set.indexOf.get(holder))
    }
    for (let draw = 0; draw < scoredAtRandom; draw++) chosen.add(random.below(set.workers.length))
    return chosen
  }

  const scores = (question: RoutingRequest, set: CandidateSet, placement: Placement, now: number): Score[] => {
    const open = (indexes: Iterable<number>): number[] => [...indexes].filter(index => admitted(question, set.workers[index]))
    const first = open(considered(question, set, placement))
    const indexes = first.length > 0 ? first : open(set.workers.keys())
    return indexes.map(index => scored(question, set, placement, index, now))
  }

  const pick = (all: readonly Score[], now: number): Score => {
    const best = all.reduce((left, right) => byScore(left, right) <= 0 ? left : right)
    const bound = best.score + Math.max(equalTime, equalFraction * best.score)
    const equals = all.filter(score => score.score <= bound)
    if (equals.length === 1) return best
    const left = equals[random.below(equals.length)]
    const right = equals[random.below(equals.length)]
    return estimateLoad(left.model, now).requests <= estimateLoad(right.model, now).requests ? left : right
  }

  const reasonOf = (score: Score, question: RoutingRequest, alone: boolean): ChoiceReason => {
    if (alone) return 'alone'
    if (score.match.blocks > 0) return 'cached'
    return score.depth >= question.chain.levels.length - 1 ? 'placed' : 'spilled'
  }

  const missing = (question: RoutingRequest, set: CandidateSet): NoEndpoint => set.workers.length > 0
    ? { kind: 'noEndpoint', reason: 'allExcluded' }
    : { kind: 'noEndpoint', reason: 'notHeld', model: question.model, weightVersion: question.weightVersion }

  const choose = (question: RoutingRequest, endpoints: readonly Endpoint[], now: number): Result<WorkerChoice, NoEndpoint> => {
    const set = candidates.find(question, endpoints)
    const placement = placeLevels(set, question.chain, widths)
    const all = scores(question, set, placement, now)
    if (all.length === 0) return err(missing(question, set))
    const chosen = pick(all, now)
    congestion.observe(chosen.wait, chosen.uncachedTokens * chosen.cost)
    return ok({
      endpoint: chosen.endpoint.id,
      incarnation: chosen.endpoint.incarnation,
      weightVersion: servedVersion(question, chosen.endpoint) ?? '',
      expectedWait: chosen.expectedWait,
      expectedCachedTokens: chosen.cachedTokens,
      level: chosen.depth,
      reason: reasonOf(chosen, question, all.length === 1),
      match: chosen.match
    })
  }

  const noteLevels = (question: RoutingRequest, choice: WorkerChoice, now: number): void => {
    const { levels, blocks } = question.chain
    for (let level = 0; level < levels.length && level <= choice.level; level++) {
      widths.recordRequest(blocks[levels[level] - 1], initialWidth(level, levels.length), level === choice.level, now)
    }
  }

  const started = (question: RoutingRequest, choice: WorkerChoice, now: number): InFlightRequest => {
    const model = modelOf(choice.endpoint, choice.incarnation, now)
    const uncachedTokens = Math.max(0, question.promptTokens - choice.expectedCachedTokens)
    const tokensAhead = estimateLoad(model, now).tokens + uncachedTokens
    const flight: InFlightRequest = { request: question, choice, startedAt: now, tokensAhead, uncachedTokens, firstTokenAt: undefined, ended: false }
    recordStarted(model, flight)
    noteLevels(question, choice, now)
    return flight
  }

  const current = (flight: InFlightRequest): WorkerStats | undefined => {
    const model = models.get(flight.choice.endpoint)
    return model?.incarnation === flight.choice.incarnation ? model : undefined
  }

  const firstToken = (flight: InFlightRequest, now: number): void => {
    const model = current(flight)
    if (flight.ended || flight.firstTokenAt !== undefined || model === undefined) return
    recordFirstToken(model, flight, now)
    cache.learned(flight.choice.endpoint, flight.choice.incarnation, flight.request.chain, undefined, now)
  }

  const finished: Routing['finished'] = (flight, usage, now) => {
    const model = current(flight)
    if (flight.ended || model === undefined) return
    recordEnded(model, flight)
    updateSpeeds(model, flight, usage, now)
    meanCost = meanPrefillCost(models.values(), defaultPrefillCost)
    const { choice: { endpoint, incarnation, match, level }, request: { chain } } = flight
    belief.observe(chain, level, usage.cachedTokens)
    cache.learned(endpoint, incarnation, chain, usage.cachedTokens, now, match)
  }

  const failed = (flight: InFlightRequest): void => {
    const model = current(flight)
    if (!flight.ended && model !== undefined) recordEnded(model, flight)
  }

  const explain = (question: RoutingRequest, endpoints: readonly Endpoint[], now: number): readonly ScoredEndpoint[] => {
    const set = candidates.find(question, endpoints)
    const placement = placeLevels(set, question.chain, widths)
    return scores(question, set, placement, now).sort(byScore).map(score => ({
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
    chooseService: (question, endpoints) => services.choose(question, endpoints),
    started,
    firstToken,
    finished,
    failed,
    serviceStarted: services.started,
    serviceEnded: services.ended,
    explain,
    dump: () => ({ workers: [...models.values()].map(model => workerSummary(model, meanCost)), services: services.dump(), widths: widths.dump(), beliefs: belief.dump() })
  }
}
