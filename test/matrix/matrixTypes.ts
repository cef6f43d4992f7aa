/**
 * The fault matrix: every scenario is run with every fault at every one of its
 * steps, singly and in pairs, and its checkers read the fakes' own record.
 */

/** The faults of the brief. */
export const faults = [
  'crash', 'restartEmpty', 'freeze', 'cutBefore', 'cutAfter', 'late', 'duplicate', 'crossed',
  'gap', 'outage', 'slow', 'lostAck', 'lapsedLease', 'racingPublishers', 'herdRestart'
] as const

/** A kind of fault. */
export type Fault = typeof faults[number]

/** The promises of the brief, in its order. */
export const promises = [
  'cacheTruth', 'streamWhole', 'noColdStart', 'ownAnswer', 'notRunTrue',
  'atMostOnce', 'leavingNoNewWork', 'gracefulShutdown', 'configForward'
] as const

/** A promise that must always hold. */
export type PromiseName = typeof promises[number]

/** One fault at one step. */
export interface Injection {
  readonly step: string
  readonly fault: Fault
}

/** What one case runs. */
export interface Plan {
  readonly injections: readonly Injection[]
  readonly seed: number
  /** `sound`, or the name of a deliberately broken variant. */
  readonly variant: string
}

/** A promise seen broken. */
export interface Violation {
  readonly promise: PromiseName
  readonly detail: string
}

/** Whether a fault has a meaning at a step. */
export type Applicability = { readonly applies: true } | { readonly applies: false, readonly reason: string }

/** A protocol under test. */
export interface Scenario {
  readonly name: string
  readonly steps: readonly string[]
  readonly promises: readonly PromiseName[]
  /** Broken variants, each with the promise whose checker must catch it. */
  readonly variants: Readonly<Record<string, PromiseName>>
  readonly applicability: (step: string, fault: Fault) => Applicability
  readonly run: (plan: Plan) => readonly Violation[]
}
