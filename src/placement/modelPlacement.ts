/**
 * Chooses the worker of a model request by the expected time to its first
 * event. It answers the load in which long shared prompts and short ones meet
 * on workers of unequal speed: unread tokens ahead are counted at each worker's
 * own speed, parts that a worker keeps or can fetch are not read again, memory
 * that would run out counts as waiting, and workers on older weights are used
 * only where those on the newest are much slower.
 */
import type { ModelPurpose } from '../catalog/catalogTypes.js'
import type { Prompt, PromptPart } from '../ports/forwardPort.js'
import { rendezvousScore } from '../addresses/rendezvous.js'
import type { Hash } from '../hash.js'
import type { CachedPartsEstimate } from './cachedPartsEstimate.js'
import { peerRequests, peerUnreadTokens, peerWaiting, isPresumedReachable, type WorkerLoad } from './workerLoad.js'

/** A worker that may be chosen. */
export interface ModelCandidate {
  readonly id: string
  readonly load: WorkerLoad
  readonly kept: CachedPartsEstimate
  readonly slots: number
  /** Time since weights newer than its own were named, in ms; 0 if it holds the newest. */
  readonly outdatedFor: number
  readonly scope: string
  /** Whether the worker is in the instance's own data centre. */
  readonly sameDataCentre: boolean
}

/** What is asked. */
export interface ModelPlacementInput {
  readonly prompt: Prompt
  readonly purpose: ModelPurpose
  /** Parts that the part store is believed to keep; undefined if there is no store in reach. */
  readonly stored: CachedPartsEstimate | undefined
  /** Time after which requests may no longer begin on outdated weights, in ms. */
  readonly maxOutdatedTime: number
  /** Mean time per unread token of the known workers, in ms; 0 if none is known. */
  readonly meanTokenCost: number
}

/** The chosen worker and what is expected there. */
export interface ModelChoice {
  readonly candidate: ModelCandidate
  readonly expected: number
  readonly unreadTokens: number
  readonly fetchedTokens: number
  readonly tokensAhead: number
  readonly memoryTokens: number
}

/** Time per unread token until an answer told, in ms. */
const priorCost = 0.025
/** Network and first step, in ms. */
export const firstEventOverhead = 12
const farOverhead = 2
/** Bits a Mbit/s link carries in one ms. */
const bitsPerMs = 1_000
const bitsPerByte = 8
/** Weight of reading shared parts again, beside the time that it takes: others wait behind it, and it pushes out other parts. */
const rereadWeight = 1.5
/** Weight of fetching parts, beside the time that it takes. */
const fetchWeight = 0.3
/** Part of the time to read a prompt's shared parts that speaks for the worker on which they belong by name, so that instances agree without talking. */
const homeShare = 0.8
const mostHomeAdvantage = 80
/** Cost of a failure, in ms: the caller comes back, or does not. */
const failureCost = 900
/** A run on old weights is soon cut or worth little. */
const oldWeightsCost = 120
const veryOldWeightsCost = 500
/** Age of newer weights, in ms, from which runs on older ones are worth markedly less. */
const weightsGrace = 1_200
/** Part of that time after which a worker gets no request, since it may wait at the worker before it begins. */
const timelyShare = 0.7
/** Each running request slows the others' tokens; in ms. */
const runningCost = 3
/** Part of a worker's memory beyond which runs are likely to be preempted. */
const memoryShare = 0.9
const memoryCost = 400
/** Time for a slot of a full worker to come free, in ms. */
const slotTime = 60

/** Time that a worker takes for an unread token, in ms, as far as it is known. */
export const tokenCostOf = (load: WorkerLoad, meanCost: number): number => load.tokenCost || meanCost || priorCost

const fetchCost = ({ tokenBytes, linkSpeed }: ModelPurpose): number => tokenBytes * bitsPerByte / (linkSpeed * bitsPerMs)

const memoryPenalty = (candidate: ModelCandidate, question: ModelPlacementInput, memoryTokens: number, now: number): number => {
  const { prompt, purpose } = question
  const foreign = peerRequests(candidate.load, now) * (prompt.inputTokens + prompt.maxOutputTokens)
  const wanted = candidate.load.memoryTokens + foreign + memoryTokens
  const over = wanted / purpose.memoryTokens - memoryShare
  return over <= 0 ? 0 : memoryCost * (0.2 + over)
}

const oldWeights = ({ outdatedFor: outdated }: ModelCandidate): number => {
  if (outdated === 0) return 0
  return outdated < weightsGrace ? oldWeightsCost : veryOldWeightsCost
}

/** Workers that came back with weights of long ago are left to the rollout, unless there is no other. */
const timely = (candidates: readonly ModelCandidate[], weightsWithin: number): readonly ModelCandidate[] => {
  const fit = candidates.filter(({ outdatedFor: outdated }) => outdated < weightsWithin * timelyShare)
  return fit.length > 0 ? fit : candidates
}

/** Expected wait, unread and fetched tokens of a request at one worker. */
const expectAt = (candidate: ModelCandidate, question: ModelPlacementInput, now: number): ModelChoice => {
  const { prompt, purpose, stored, meanTokenCost: meanCost } = question
  const { load, kept, scope, slots } = candidate
  const cost = tokenCostOf(load, meanCost)
  const held = kept.cachedPrefixTokens(scope, prompt.parts)
  const offered = stored === undefined ? 0 : stored.cachedPrefixTokens(scope, prompt.parts)
  const fetchedTokens = Math.max(0, offered - held)
  const unreadTokens = Math.max(0, prompt.inputTokens - Math.max(held, offered))
  const waiting = peerWaiting(load, now) * unreadTokens
  const tokensAhead = load.pendingTokens + unreadTokens
  const requests = load.flights.size + peerRequests(load, now)
  const over = Math.max(0, requests + 1 - slots)
  const memoryTokens = prompt.inputTokens + prompt.maxOutputTokens
  const expected = firstEventOverhead + (candidate.sameDataCentre ? 0 : farOverhead) +
    (tokensAhead + waiting + peerUnreadTokens(load, now)) * cost + fetchedTokens * fetchCost(purpose) +
    over * slotTime + memoryPenalty(candidate, question, memoryTokens, now)
  return { candidate, expected, unreadTokens, fetchedTokens, tokensAhead, memoryTokens }
}

/** The parts that other requests are likely to share; the last one belongs to the request or its session. */
export const sharedParts = ({ parts }: Prompt): readonly PromptPart[] => parts.length > 1 ? parts.slice(0, -1) : parts

/** The part by whose name a prompt's requests come together: the deepest that is shared. */
export const affinityPart = (prompt: Prompt): PromptPart | undefined => sharedParts(prompt).at(-1)

const sharedTokens = (prompt: Prompt): number => sharedParts(prompt).reduce((sum, { tokens }) => sum + tokens, 0)

const homeAdvantage = ({ prompt, meanTokenCost: meanCost }: ModelPlacementInput): number =>
  Math.min(mostHomeAdvantage, sharedTokens(prompt) * (meanCost || priorCost) * homeShare)

const scoreOf = (choice: ModelChoice, question: ModelPlacementInput, home: boolean, now: number): number => {
  const { candidate, expected, unreadTokens, fetchedTokens } = choice
  const { load } = candidate
  const own = Math.max(0, question.prompt.inputTokens - sharedTokens(question.prompt))
  const reread = Math.max(0, unreadTokens - own) * tokenCostOf(load, question.meanTokenCost) * rereadWeight
  const fetched = fetchedTokens * fetchCost(question.purpose) * fetchWeight
  return expected + reread + fetched + load.failures * failureCost + oldWeights(candidate) +
    (load.flights.size + peerRequests(load, now)) * runningCost - (home ? homeAdvantage(question) : 0)
}

const homeOf = (hash: Hash, question: ModelPlacementInput, candidates: readonly ModelCandidate[]): string | undefined => {
  const part = affinityPart(question.prompt)
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
 * Chooses a worker.
 *
 * @param question - the prompt and what is known of its parts
 * @param candidates - workers that are live and hold the model
 * @param hash - the process's hash functions
 * @param now - present time in ms
 * @returns the best choice, or undefined if there is no candidate; doubted workers are chosen only if all are
 */
export const placeModelRequest = (question: ModelPlacementInput, candidates: readonly ModelCandidate[], hash: Hash, now: number): ModelChoice | undefined => {
  const usable = timely(candidates, question.maxOutdatedTime)
  const trusted = usable.filter(({ load }) => isPresumedReachable(load))
  const home = homeOf(hash, question, candidates)
  let best: ModelChoice | undefined
  let bestScore = Infinity
  for (const candidate of trusted.length > 0 ? trusted : usable) {
    const choice = expectAt(candidate, question, now)
    const score = scoreOf(choice, question, candidate.id === home, now)
    if (score >= bestScore) continue
    best = choice
    bestScore = score
  }
  return best
}
