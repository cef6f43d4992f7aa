/** Enumerates the cases of a scenario. */
import { faults } from './matrixTypes.js'
import type { Injection, Scenario, Violation } from './matrixTypes.js'

/** Every applicable fault at every step. */
export const singleInjections = (scenario: Scenario): readonly Injection[] =>
  scenario.steps.flatMap(step => faults.filter(fault => scenario.applicability(step, fault).applies).map(fault => ({ step, fault })))

/** A case that broke a promise. */
export interface Failure {
  readonly injections: readonly Injection[]
  readonly seed: number
  readonly violations: readonly Violation[]
}

/**
 * Runs cases.
 *
 * @param scenario - what to run
 * @param cases - the injections of each case
 * @param seeds - each case runs with each seed
 * @param variant - `sound` or a broken variant
 * @returns the cases that broke a promise
 */
export const failuresOf = (scenario: Scenario, cases: ReadonlyArray<readonly Injection[]>, seeds: readonly number[], variant = 'sound'): readonly Failure[] =>
  cases.flatMap(injections => seeds.map(seed => ({ injections, seed, violations: scenario.run({ injections, seed, variant }) })))
    .filter(({ violations }) => violations.length > 0)
