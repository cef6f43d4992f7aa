/**
 * Types of the fault matrix. Every scenario is run with every fault at every one of its
 * steps, singly and in pairs, and its checkers read what the fakes recorded.
 */

/** All kinds of fault that the matrix injects. */
export const faults = [
  'crash', 'restartEmpty', 'freeze', 'cutBefore', 'cutAfter', 'late', 'duplicate', 'crossed',
  'gap', 'outage', 'slow', 'lostAck', 'lapsedLease', 'racingPublishers', 'herdRestart'
] as const

/** A kind of fault. */
export type Fault = typeof faults[number]

/** The promises of the router, in the order of docs/PROOF.md. */
export const promises = [
  'cacheTruth', 'streamWhole', 'noColdStart', 'ownAnswer', 'notRunTrue',
  'atMostOnce', 'leavingNoNewWork', 'gracefulShutdown', 'configForward'
] as const

/** The name of a promise, an invariant that must hold under every fault. */
export type PromiseName = typeof promises[number]

/** One fault at one step. */
export interface Injection {
  readonly step: string
  readonly fault: Fault
}

/** The faults, seed and variant of one case. */
export interface Plan {
  readonly injections: readonly Injection[]
  readonly seed: number
  /** `sound`, or the name of a deliberately broken variant. */
  readonly variant: string
}

/** A violation of a promise that a checker found. */
export interface Violation {
  readonly promise: PromiseName
  readonly detail: string
}

/** Whether a fault can occur at a step, and if not, why. */
export type Applicability = { readonly applies: true } | { readonly applies: false, readonly reason: string }

/** A protocol under test with its steps, checkers and broken variants. */
export interface Scenario {
  readonly name: string
  readonly steps: readonly string[]
  /** Promises that the scenario's checkers verify. */
  readonly promises: readonly PromiseName[]
  /** Broken variants, each with the promise whose checker must catch it. */
  readonly variants: Readonly<Record<string, PromiseName>>
  readonly applicability: (step: string, fault: Fault) => Applicability
  /** Runs the protocol with the plan's faults and returns the violations found. */
  readonly run: (plan: Plan) => readonly Violation[]
}
