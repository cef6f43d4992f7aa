/**
 * A circuit breaker per endpoint: failures open it quickly, and an endpoint
 * with an open circuit is retried after a backoff with jitter.
 */
import type { Random } from '../random.js'
import type { DispatchOutcome } from './endpointsTypes.js'

/** The failures of one endpoint. */
export interface CircuitBreaker {
  /** Weight of recent failures; answers reduce it. */
  failures: number
  /** Consecutive openings; it doubles the backoff. */
  consecutiveOpenings: number
  open: boolean
  /** When an open circuit may be tried again, in ms. */
  retryAt: number
}

/** What counts for or against an endpoint. */
export type CircuitOutcome = DispatchOutcome | 'unreachable'

const openingWeight = 2
const weights = { refused: 2, unreachable: 1, cut: 1, timeout: 1 } as const
const answerWeight = 0.5
/** Backoff after the first opening, in ms. */
const firstBackoff = 250
/** Longest backoff, in ms. */
const longestBackoff = 15_000

/** A circuit without failures. */
export const closedCircuit = (): CircuitBreaker => ({ failures: 0, consecutiveOpenings: 0, open: false, retryAt: 0 })

const open = (circuit: CircuitBreaker, now: number, random: Random): void => {
  const backoff = Math.min(longestBackoff, firstBackoff * 2 ** circuit.consecutiveOpenings)
  circuit.open = true
  circuit.consecutiveOpenings = Math.min(circuit.consecutiveOpenings + 1, 10)
  circuit.retryAt = now + backoff * (0.5 + random.unit())
}

/**
 * Counts evidence of an endpoint's health.
 *
 * @param circuit - the endpoint's circuit, changed in place
 * @param evidence - how a dispatch or a probe went
 * @param now - the present time in ms
 * @param random - jitter of the backoff
 */
export const recordOutcome = (circuit: CircuitBreaker, evidence: CircuitOutcome, now: number, random: Random): void => {
  if (circuit.open && now < circuit.retryAt) return
  if (evidence === 'answered') {
    circuit.failures = Math.max(0, circuit.failures - answerWeight)
    circuit.open = false
    if (circuit.failures === 0) circuit.consecutiveOpenings = 0
    return
  }
  circuit.failures = Math.min(openingWeight, circuit.failures + weights[evidence])
  if (circuit.open || circuit.failures >= openingWeight) open(circuit, now, random)
}

/**
 * Counts an answered probe: it closes an open circuit for a trial, in which one
 * more failure opens it again.
 *
 * @param circuit - the endpoint's circuit, changed in place
 * @param now - the present time in ms
 */
export const recordProbeSuccess = (circuit: CircuitBreaker, now: number): void => {
  if (!circuit.open) return
  if (now < circuit.retryAt) return
  circuit.open = false
  circuit.failures = openingWeight - weights.cut
}
