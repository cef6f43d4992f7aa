/** Enumerates and runs the cases of a scenario, for the specs of single scenarios. */
import { faults } from './matrixTypes.js'
import type { Injection, Scenario, Violation } from './matrixTypes.js'

/**
 * Enumerates every applicable fault at every step.
 *
 * @param scenario - the protocol under test
 * @returns the injections
 */
export const singleInjections = (scenario: Scenario): readonly Injection[] =>
  scenario.steps.flatMap(step => faults.filter(fault => scenario.applicability(step, fault).applies).map(fault => ({ step, fault })))

/** A case in which a checker found a violation. */
export interface Failure {
  readonly injections: readonly Injection[]
  readonly seed: number
  readonly violations: readonly Violation[]
}

/**
 * Runs cases and returns those that fail.
 *
 * @param scenario - the protocol under test
 * @param cases - the injections of each case
 * @param seeds - seeds with which each case runs
 * @param variant - `sound` or a broken variant
 * @returns the cases with a violation
 */
export const failuresOf = (scenario: Scenario, cases: ReadonlyArray<readonly Injection[]>, seeds: readonly number[], variant = 'sound'): readonly Failure[] =>
  cases.flatMap(injections => seeds.map(seed => ({ injections, seed, violations: scenario.run({ injections, seed, variant }) })))
    .filter(({ violations }) => violations.length > 0)
