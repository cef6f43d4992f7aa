/**
 * Circuit breaker of one endpoint. A refused connection, or two weaker failures,
 * open it; an open circuit is retried after an exponential backoff with jitter.
 */
import type { Random } from '../random.js'
import type { DispatchOutcome } from './endpointsTypes.js'

/** State of one endpoint's circuit breaker. */
export interface CircuitBreaker {
  /** Weighted count of recent failures, reduced by successful responses. */
  failures: number
  /** Consecutive openings, counted up to 10; each one doubles the backoff. */
  consecutiveOpenings: number
  open: boolean
  /** Time from which an open circuit may be retried, in ms. */
  retryAt: number
}

/** Outcome of a dispatch or a probe that the circuit breaker counts. */
export type CircuitOutcome = DispatchOutcome | 'unreachable'

/** Weight of recent failures at which the circuit opens. */
const openThreshold = 2
/** Weight of each kind of failure; a refused connection opens the circuit at once. */
const failureWeights = { refused: 2, unreachable: 1, cut: 1, timeout: 1 } as const
/** Reduction per successful response; below 1, so that an endpoint that fails half its requests opens too. */
const successCredit = 0.5
/** Backoff after the first opening, in ms, before jitter. */
const initialBackoff = 250
/** Upper limit of the backoff, in ms, before jitter. */
const maxBackoff = 15_000

/** Creates a closed circuit without failures. */
export const closedCircuit = (): CircuitBreaker => ({ failures: 0, consecutiveOpenings: 0, open: false, retryAt: 0 })

const openCircuit = (circuit: CircuitBreaker, now: number, random: Random): void => {
  const backoff = Math.min(maxBackoff, initialBackoff * 2 ** circuit.consecutiveOpenings)
  circuit.open = true
  circuit.consecutiveOpenings = Math.min(circuit.consecutiveOpenings + 1, 10)
  circuit.retryAt = now + backoff * (0.5 + random.unit())
}

/**
 * Records the outcome of a dispatch or a failed probe. Outcomes that arrive during
 * the backoff of an open circuit are ignored.
 *
 * @param circuit - the endpoint's circuit, changed in place
 * @param outcome - the result to count
 * @param now - the present time in ms
 * @param random - source of the backoff's jitter
 */
export const recordOutcome = (circuit: CircuitBreaker, outcome: CircuitOutcome, now: number, random: Random): void => {
  if (circuit.open && now < circuit.retryAt) return
  if (outcome === 'answered') {
    circuit.failures = Math.max(0, circuit.failures - successCredit)
    circuit.open = false
    if (circuit.failures === 0) circuit.consecutiveOpenings = 0
    return
  }
  circuit.failures = Math.min(openThreshold, circuit.failures + failureWeights[outcome])
  if (circuit.open || circuit.failures >= openThreshold) openCircuit(circuit, now, random)
}

/**
 * Records a successful probe. After the backoff of an open circuit it closes the
 * circuit on trial: one more failure opens it again.
 *
 * @param circuit - the endpoint's circuit, changed in place
 * @param now - the present time in ms
 */
export const recordProbeSuccess = (circuit: CircuitBreaker, now: number): void => {
  if (!circuit.open) return
  if (now < circuit.retryAt) return
  circuit.open = false
  circuit.failures = openThreshold - failureWeights.cut
}
