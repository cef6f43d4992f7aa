/**
 * Chooses the worker of a model request by the expected time to its first
 * event. The choice is made for a load that mixes long prompts with shared
 * prefixes and short prompts on workers of unequal speed:
 *
 * - unread tokens, which the worker still has to prefill, are counted at each worker's own speed;
 * - parts that a worker holds or can fetch from the part store are not counted as unread;
 * - a shortage of memory counts as waiting time;
 * - workers on outdated weights are used only where those on the newest are much slower.
 */
import type { ModelPurpose } from '../catalog/catalogTypes.js'
import type { Prompt, PromptPart } from '../ports/forwardPort.js'
import { rendezvousScore } from '../addresses/rendezvous.js'
import type { Hash } from '../hash.js'
import type { CachedPartsEstimate } from './cachedPartsEstimate.js'
import { paceAt } from './workerPace.js'
import { peerRequests, peerUnreadTokens, peerWaiting, isPresumedReachable, type WorkerLoad } from './workerLoad.js'

/** A worker that a model request may be sent to. */
export interface ModelCandidate {
  readonly id: string
  readonly load: WorkerLoad
  /** Prompt parts that the worker is estimated to hold. */
  readonly kept: CachedPartsEstimate
  /** Requests that the worker can run at once. */
  readonly slots: number
  /** Time since weights newer than the worker's were announced, in ms; 0 if it holds the newest. */
  readonly outdatedFor: number
  /** Cache scope of the request at this worker. */
  readonly scope: string
  /** Whether the worker is in the instance's own data centre. */
  readonly sameDataCentre: boolean
}

/** The request to place and the state that is shared by all candidates. */
export interface ModelPlacementInput {
  readonly prompt: Prompt
  readonly purpose: ModelPurpose
  /** Parts that the part store is estimated to hold; undefined if no store is reachable. */
  readonly stored: CachedPartsEstimate | undefined
  /** Mean prefill time per token of the workers for which it has been measured, in ms; 0 if there are none. */
  readonly meanTokenCost: number
}

/** The chosen worker and the expected cost of the request there. */
export interface ModelChoice {
  readonly candidate: ModelCandidate
  /** Expected time to the first event, in ms. */
  readonly expected: number
  /** Prompt tokens that the worker has to prefill. */
  readonly unreadTokens: number
  /** Prompt tokens that the worker fetches from the part store. */
  readonly fetchedTokens: number
  /** Unread tokens queued at the worker, this request's included. */
  readonly tokensAhead: number
  /** Memory that the request takes when it is done, in tokens. */
  readonly memoryTokens: number
}

/** Prefill time per token that is assumed until one has been measured, in ms. */
const defaultTokenCost = 0.025
/** Network time and the engine's first step, in ms: the part of the time to the first event that is not prefill. */
export const firstEventOverhead = 12
/** Additional network time of a worker in another data centre, in ms. */
const remoteOverhead = 2
/** Number of bits that a link of 1 Mbit/s carries in 1 ms. */
const bitsPerMs = 1_000
const bitsPerByte = 8
/** Weight of the time to recompute shared parts, counted on top of that time itself: other requests queue behind it, and it evicts other parts. */
const recomputeWeight = 1.5
/** Weight of the time to fetch parts, counted on top of that time itself. */
const fetchWeight = 0.3
/** Fraction of the prefill time of a prompt's shared parts that is credited to the worker chosen by rendezvous hashing, so that instances agree on a worker without communicating. */
const affinityShare = 0.8
/** Upper bound of that credit, in ms. */
const maxAffinityBonus = 80
/** Cost of a failed attempt, in ms: the caller retries or gives up. */
const failureCost = 900
/** Cost of a run on outdated weights, in ms: it is soon interrupted or of little value. */
const outdatedCost = 120
/** The same once the newer weights are older than `outdatedGrace`, in ms. */
const longOutdatedCost = 500
/** Age of newer weights, in ms, from which runs on older ones are worth markedly less. */
const outdatedGrace = 1_200
/** Cost of each request in flight at the worker, in ms: it slows down the other requests' tokens. */
const runningCost = 3
/** Fraction of a worker's memory beyond which runs are likely to be preempted. */
const memoryThreshold = 0.9
/** Cost of exceeding that threshold, in ms per unit of excess relative to the worker's memory; 0.2 is added to every excess. */
const memoryCost = 400
/** Time until a slot of a full worker becomes free, in ms. */
const slotTime = 60

/**
 * Returns a worker's prefill time per token, in ms.
 *
 * @param load - load of the worker
 * @param meanTokenCost - mean of the measured workers, used if this one has not been measured; 0 if there are none
 */
export const tokenCostOf = (load: WorkerLoad, meanTokenCost: number): number => load.tokenCost || meanTokenCost || defaultTokenCost

const fetchCost = ({ tokenBytes, linkSpeed }: ModelPurpose): number => tokenBytes * bitsPerByte / (linkSpeed * bitsPerMs)

const memoryPenalty = (candidate: ModelCandidate, input: ModelPlacementInput, memoryTokens: number, now: number): number => {
  const { prompt, purpose } = input
  const peerMemory = peerRequests(candidate.load, now) * (prompt.inputTokens + prompt.maxOutputTokens)
  const wanted = candidate.load.memoryTokens + peerMemory + memoryTokens
  const excess = wanted / purpose.memoryTokens - memoryThreshold
  return excess <= 0 ? 0 : memoryCost * (0.2 + excess)
}

const outdatedPenalty = ({ outdatedFor }: ModelCandidate): number => {
  if (outdatedFor === 0) return 0
  return outdatedFor < outdatedGrace ? outdatedCost : longOutdatedCost
}

/** Estimates the time to the first event and the token counts of a request at one worker. */
const estimateAt = (candidate: ModelCandidate, input: ModelPlacementInput, now: number): ModelChoice => {
  const { prompt, purpose, stored, meanTokenCost } = input
  const { load, kept, scope, slots } = candidate
  const pace = paceAt(load.pace, now)
  const tokenCost = tokenCostOf(load, meanTokenCost) * pace
  const cachedTokens = kept.cachedPrefixTokens(scope, prompt.parts)
  const storedTokens = stored === undefined ? 0 : stored.cachedPrefixTokens(scope, prompt.parts)
  const fetchedTokens = Math.max(0, storedTokens - cachedTokens)
  const unreadTokens = Math.max(0, prompt.inputTokens - Math.max(cachedTokens, storedTokens))
  const peerWaitingTokens = peerWaiting(load, now) * unreadTokens
  const tokensAhead = load.pendingTokens + unreadTokens
  const requests = load.flights.size + peerRequests(load, now)
  const excessRequests = Math.max(0, requests + 1 - slots)
  const memoryTokens = prompt.inputTokens + prompt.maxOutputTokens
  const expected = firstEventOverhead + (candidate.sameDataCentre ? 0 : remoteOverhead) +
    (tokensAhead + peerWaitingTokens + peerUnreadTokens(load, now)) * tokenCost + fetchedTokens * fetchCost(purpose) +
    excessRequests * slotTime * pace + memoryPenalty(candidate, input, memoryTokens, now)
  return { candidate, expected, unreadTokens, fetchedTokens, tokensAhead, memoryTokens }
}

/** Returns the parts that other requests are likely to share: all but the last, which belongs to the request or its session, or the only one. */
export const sharedParts = ({ parts }: Prompt): readonly PromptPart[] => parts.length > 1 ? parts.slice(0, -1) : parts

/** Returns the part whose id is the affinity key of a prompt: the last one that is shared; undefined if the prompt has no parts. */
export const affinityPart = (prompt: Prompt): PromptPart | undefined => sharedParts(prompt).at(-1)

const sharedTokens = (prompt: Prompt): number => sharedParts(prompt).reduce((sum, { tokens }) => sum + tokens, 0)

const affinityBonus = ({ prompt, meanTokenCost }: ModelPlacementInput): number =>
  Math.min(maxAffinityBonus, sharedTokens(prompt) * (meanTokenCost || defaultTokenCost) * affinityShare)

const scoreOf = (choice: ModelChoice, input: ModelPlacementInput, hasAffinity: boolean, now: number): number => {
  const { candidate, expected, unreadTokens, fetchedTokens } = choice
  const { load } = candidate
  const ownTokens = Math.max(0, input.prompt.inputTokens - sharedTokens(input.prompt))
  const recomputeTime = Math.max(0, unreadTokens - ownTokens) * tokenCostOf(load, input.meanTokenCost) * paceAt(load.pace, now) * recomputeWeight
  const fetchTime = fetchedTokens * fetchCost(input.purpose) * fetchWeight
  return expected + recomputeTime + fetchTime + load.failures * failureCost + outdatedPenalty(candidate) +
    (load.flights.size + peerRequests(load, now)) * runningCost - (hasAffinity ? affinityBonus(input) : 0)
}

/** Returns the id of the worker that rendezvous hashing assigns to the prompt's affinity key. */
const affinityWorker = (hash: Hash, input: ModelPlacementInput, candidates: readonly ModelCandidate[]): string | undefined => {
  const part = affinityPart(input.prompt)
  if (part === undefined) return undefined
  const key = hash.h32(part.id)
  let best: string | undefined
  let bestScore = -Infinity
  for (const { id } of candidates) {
    const score = rendezvousScore(key, hash.h32(id))
    if (score <= bestScore) continue
    best = id
    bestScore = score
  }
  return best
}

/**
 * Chooses the worker with the lowest score: the expected time to the first event plus penalties, in ms.
 *
 * @param input - the request to place and the state shared by all candidates
 * @param candidates - workers that are live and hold the model
 * @param hash - the process's hash functions
 * @param now - present time in ms
 * @returns the best choice, or undefined if there is no candidate; suspected workers are chosen only if all are
 */
export const placeModelRequest = (input: ModelPlacementInput, candidates: readonly ModelCandidate[], hash: Hash, now: number): ModelChoice | undefined => {
  const reachable = candidates.filter(({ load }) => isPresumedReachable(load))
  const preferred = affinityWorker(hash, input, candidates)
  let best: ModelChoice | undefined
  let bestScore = Infinity
  for (const candidate of reachable.length > 0 ? reachable : candidates) {
    const choice = estimateAt(candidate, input, now)
    const score = scoreOf(choice, input, candidate.id === preferred, now)
    if (score >= bestScore) continue
    best = choice
    bestScore = score
  }
  return best
}

/** A candidate's expected costs and its score, in ms. */
export interface ScoredModelChoice {
  readonly choice: ModelChoice
  readonly score: number
}

/**
 * Scores candidates as `placeModelRequest` does, for a choice that weighs more than the score.
 *
 * @param input - the request and the state shared by all candidates
 * @param candidates - the workers to score
 * @param group - the workers among which rendezvous hashing finds the one that shares the prompt's parts
 * @param hash - the process's hash functions
 * @param now - present time in ms
 */
export const scoreModelCandidates = (input: ModelPlacementInput, candidates: readonly ModelCandidate[], group: readonly ModelCandidate[], hash: Hash, now: number): readonly ScoredModelChoice[] => {
  const preferred = affinityWorker(hash, input, group)
  return candidates.map(candidate => {
    const choice = estimateAt(candidate, input, now)
    return { choice, score: scoreOf(choice, input, candidate.id === preferred, now) }
  })
}
