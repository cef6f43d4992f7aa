/**
 * Chooses the worker of a request within one group, as the group's coordinator. The
 * load is many instances that choose at the same moment: the coordinator counts
 * every request that it places, so it knows the load exactly and need not guess.
 * It takes the least expected time among the workers with room, by the same
 * estimates as an instance that places by itself, and chooses at random among
 * nearly equal workers, since another coordinator may place at the same moment.
 */
import type { Hash } from '../hash.js'
import { scoreModelCandidates, type ModelCandidate, type ModelPlacementInput } from '../placement/modelPlacement.js'
import { scorePlainCandidates, type PlainCandidate } from '../placement/plainPlacement.js'
import { isPresumedReachable, type WorkerLoad } from '../placement/workerLoad.js'
import { paceAt } from '../placement/workerPace.js'
import type { Random } from '../random.js'
import { hasRoom, requestsAt, timeToRoom, wholeBlocks, type RoomLimits } from './workerRoom.js'

/** What a group is asked to run: a prompt with the workers that hold its model, or a plain request. */
export type GroupQuery =
  | { readonly kind: 'model', readonly input: ModelPlacementInput, readonly candidates: readonly ModelCandidate[] }
  | { readonly kind: 'plain', readonly candidates: readonly PlainCandidate[] }

/** The chosen worker with the expected costs there, or that none has room for `wait` ms. */
export type GroupDecision =
  | {
    readonly kind: 'placed'
    readonly worker: string
    /** Expected time to the response or to the first event, in ms. */
    readonly expected: number
    readonly unreadTokens: number
    readonly fetchedTokens: number
    readonly tokensAhead: number
    /** Memory that the request takes, in tokens. */
    readonly memoryTokens: number
    /** Cache scope of a prompt at the worker. */
    readonly scope?: string
  }
  | { readonly kind: 'noRoom', readonly wait: number }

/** Cost of each request at a worker, in ms at the usual pace. It outweighs the prefill of a shared part once a worker has several requests more than others. */
const requestCost = 40
/** Largest load of a worker that still gets a request, relative to the mean of its group. */
const boundedLoad = 1.1
/** Difference of scores up to which workers are nearly equal, in ms, and as a fraction of the best score's magnitude. */
const nearlyEqual = 2
const nearlyEqualShare = 0.02

interface Scored {
  readonly score: number
  readonly placed: Extract<GroupDecision, { kind: 'placed' }>
}

/**
 * The candidates whose load, with this request, is near the mean of all, in units of
 * their pace. Without the bound all requests with one shared part would go to the
 * worker that has it cached, however many others have room.
 */
const withBoundedLoad = <C extends { readonly load: WorkerLoad }>(candidates: readonly C[], now: number): readonly C[] => {
  const requests = candidates.reduce((sum, { load }) => sum + requestsAt(load, now), 1)
  const mean = requests / candidates.reduce((sum, { load }) => sum + 1 / paceAt(load.pace, now), 0)
  const bounded = candidates.filter(({ load }) => (requestsAt(load, now) + 1) * paceAt(load.pace, now) <= mean * boundedLoad)
  return bounded.length > 0 ? bounded : candidates
}

const withRoom = <C extends { readonly load: WorkerLoad }>(candidates: readonly C[], limitsOf: (candidate: C) => RoomLimits, memory: number, now: number): readonly C[] => {
  const roomy = candidates.filter(candidate => hasRoom(candidate.load, limitsOf(candidate), memory, now))
  const reachable = roomy.filter(({ load }) => isPresumedReachable(load))
  return withBoundedLoad(reachable.length > 0 ? reachable : roomy, now)
}

const crowdCost = (load: WorkerLoad, now: number): number => requestsAt(load, now) * requestCost * paceAt(load.pace, now)

const scoreModel = (input: ModelPlacementInput, candidates: readonly ModelCandidate[], hash: Hash, now: number): readonly Scored[] => {
  const memory = wholeBlocks(input.prompt.inputTokens + input.prompt.maxOutputTokens)
  const roomy = withRoom(candidates, ({ slots }) => ({ slots, memoryTokens: input.purpose.memoryTokens }), memory, now)
  return scoreModelCandidates(input, roomy, candidates, hash, now).map(({ choice: { candidate, expected, unreadTokens, fetchedTokens, tokensAhead }, score }) => ({
    score: score + crowdCost(candidate.load, now),
    placed: { kind: 'placed', worker: candidate.id, expected, unreadTokens, fetchedTokens, tokensAhead, memoryTokens: memory, scope: candidate.scope }
  }))
}

const scorePlain = (candidates: readonly PlainCandidate[], now: number): readonly Scored[] => {
  const roomy = withRoom(candidates, ({ slots }) => ({ slots, memoryTokens: Infinity }), 0, now)
  return scorePlainCandidates(roomy, now).map(({ choice: { candidate, expected }, score }) => ({
    score: score + crowdCost(candidate.load, now) / Math.max(1, candidate.slots),
    placed: { kind: 'placed', worker: candidate.id, expected, unreadTokens: 0, fetchedTokens: 0, tokensAhead: 0, memoryTokens: 0 }
  }))
}

/**
 * Chooses the worker of a request.
 *
 * @param query - the request and the workers of the group that may get it, with what the coordinator has placed there
 * @param hash - hash functions
 * @param random - source of the choice among nearly equal workers
 * @param now - present time, in ms
 * @returns the decision; undefined if the group has no candidate
 */
export const placeInGroup = (query: GroupQuery, hash: Hash, random: Random, now: number): GroupDecision | undefined => {
  if (query.candidates.length === 0) return undefined
  const scored = query.kind === 'model' ? scoreModel(query.input, query.candidates, hash, now) : scorePlain(query.candidates, now)
  if (scored.length === 0) return { kind: 'noRoom', wait: Math.min(...query.candidates.map(({ load }) => timeToRoom(load, now))) }
  const best = Math.min(...scored.map(({ score }) => score))
  const limit = best + Math.max(nearlyEqual, Math.abs(best) * nearlyEqualShare)
  const nearBest = scored.filter(({ score }) => score <= limit)
  return nearBest[random.below(nearBest.length)].placed
}
