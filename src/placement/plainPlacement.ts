/**
 * Chooses the worker of a plain request. It answers the load in which a few
 * workers with few slots serve short requests from many instances: the shortest
 * expected answer wins, counted from own requests, the counts in answers and
 * each worker's own speed, and a worker that fails is avoided though it is fast.
 */
import { peerRequests, isPresumedReachable, type WorkerLoad } from './workerLoad.js'

/** A worker that may be chosen. */
export interface PlainCandidate {
  readonly id: string
  readonly load: WorkerLoad
  readonly slots: number
  readonly sameDataCentre: boolean
}

/** The chosen worker and the expected time of its answer, in ms. */
export interface PlainChoice {
  readonly candidate: PlainCandidate
  readonly expected: number
}

/** Time of an answer until one told, in ms. */
const priorServiceTime = 30
const farOverhead = 2
/** A nearly full worker slows down by up to this part. */
const fullness = 0.4
/** Weight of the share of failures, in multiples of the expected time. */
const failureWeight = 12

const expectAt = ({ load, slots, sameDataCentre: near }: PlainCandidate, now: number): number => {
  const serviceTime = load.serviceTime || priorServiceTime
  const ahead = load.flights.size + peerRequests(load, now)
  const over = Math.max(0, ahead + 1 - slots)
  return (near ? 0 : farOverhead) + serviceTime * (1 + fullness * Math.min(1, ahead / slots) + over / slots)
}

/**
 * Chooses a worker.
 *
 * @param candidates - live workers that were not tried yet
 * @param now - present time in ms
 * @returns the best choice, or undefined if there is no candidate; doubted workers are chosen only if all are
 */
export const placePlainRequest = (candidates: readonly PlainCandidate[], now: number): PlainChoice | undefined => {
  const trusted = candidates.filter(({ load }) => isPresumedReachable(load))
  let best: PlainChoice | undefined
  let bestScore = Infinity
  for (const candidate of trusted.length > 0 ? trusted : candidates) {
    const expected = expectAt(candidate, now)
    const score = expected * (1 + failureWeight * candidate.load.failures)
    if (score >= bestScore) continue
    best = { candidate, expected }
    bestScore = score
  }
  return best
}
