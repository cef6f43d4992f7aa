/**
 * Chooses the worker of a plain request by the shortest expected response time.
 * The choice is made for a load in which many instances send short requests to
 * a few workers with few slots. The expected time is estimated from the
 * instance's own requests, the load counts in responses and each worker's own
 * speed; a worker that fails is avoided even if it responds fast.
 */
import { paceAt } from './workerPace.js'
import { peerRequests, isPresumedReachable, type WorkerLoad } from './workerLoad.js'

/** A worker that a plain request may be sent to. */
export interface PlainCandidate {
  readonly id: string
  readonly load: WorkerLoad
  /** Requests that the worker can run at once. */
  readonly slots: number
  /** Whether the worker is in the instance's own data centre. */
  readonly sameDataCentre: boolean
}

/** The chosen worker and the expected time of its response, in ms. */
export interface PlainChoice {
  readonly candidate: PlainCandidate
  readonly expected: number
}

/** Response time that is assumed until one has been measured, in ms. */
const defaultServiceTime = 30
/** Additional network time of a worker in another data centre, in ms. */
const remoteOverhead = 2
/** Relative increase of the service time of a worker whose slots are all taken; it grows linearly with the share of taken slots. */
const fullLoadSlowdown = 0.4
/** Weight of the share of failures, in multiples of the expected time. */
const failureWeight = 12

/** A candidate's expected response time and its score, in ms. */
export interface ScoredPlainChoice {
  readonly choice: PlainChoice
  readonly score: number
}

const expectedTimeAt = ({ load, slots, sameDataCentre }: PlainCandidate, now: number): number => {
  const serviceTime = (load.serviceTime || defaultServiceTime) * paceAt(load.pace, now)
  const ahead = load.flights.size + peerRequests(load, now)
  const excess = Math.max(0, ahead + 1 - slots)
  return (sameDataCentre ? 0 : remoteOverhead) + serviceTime * (1 + fullLoadSlowdown * Math.min(1, ahead / slots) + excess / slots)
}

const scoreAt = (candidate: PlainCandidate, expected: number): number => expected * (1 + failureWeight * candidate.load.failures)

/** Scores candidates as `placePlainRequest` does, at `now` (ms), for a choice that weighs more than the score. */
export const scorePlainCandidates = (candidates: readonly PlainCandidate[], now: number): readonly ScoredPlainChoice[] =>
  candidates.map(candidate => {
    const expected = expectedTimeAt(candidate, now)
    return { choice: { candidate, expected }, score: scoreAt(candidate, expected) }
  })

/**
 * Chooses the worker with the shortest expected response time, increased by its share of failures.
 *
 * @param candidates - live workers that have not been tried yet
 * @param now - present time in ms
 * @returns the best choice, or undefined if there is no candidate; suspected workers are chosen only if all are
 */
export const placePlainRequest = (candidates: readonly PlainCandidate[], now: number): PlainChoice | undefined => {
  const reachable = candidates.filter(({ load }) => isPresumedReachable(load))
  let best: PlainChoice | undefined
  let bestScore = Infinity
  for (const candidate of reachable.length > 0 ? reachable : candidates) {
    const expected = expectedTimeAt(candidate, now)
    const score = scoreAt(candidate, expected)
    if (score >= bestScore) continue
    best = { candidate, expected }
    bestScore = score
  }
  return best
}
