/**
 * Enumerates the cases of a scenario from its steps and faults, runs them and
 * counts what held. Nothing is listed by hand: a new step or fault brings its
 * cases with it, and a step that no fault applies to is reported as a defect.
 */
import type { Random } from '../../src/random.js'
import { faults } from './matrixTypes.js'
import type { Fault, Injection, Plan, PromiseName, Scenario, Violation } from './matrixTypes.js'

/** The variant without a deliberate defect. */
export const soundVariant = 'sound'

/** A step and fault that have no meaning together. */
export interface Exclusion {
  readonly injection: Injection
  readonly reason: string
}

/** What became of one case. */
export type CaseResult =
  | { readonly kind: 'held' }
  | { readonly kind: 'violated', readonly violations: readonly Violation[] }
  /** The scenario itself threw; counted as a failure of each of its promises. */
  | { readonly kind: 'threw', readonly error: unknown }

/** One case with its result. */
export interface CaseRun {
  readonly scenario: Scenario
  readonly plan: Plan
  readonly result: CaseResult
}

/** A broken variant and the first case that caught it. */
export interface VariantRun {
  readonly scenario: Scenario
  readonly variant: string
  readonly promise: PromiseName
  /** Cases run until the variant was caught, or all of them. */
  readonly tried: number
  readonly caughtBy?: Plan
}

/** The applicable single injections of a scenario, and the others with their reasons. */
export interface Enumeration {
  readonly injections: readonly Injection[]
  readonly exclusions: readonly Exclusion[]
  /** Steps that no fault applies to. */
  readonly uncoveredSteps: readonly string[]
}

/**
 * Enumerates every fault at every step.
 *
 * @param scenario - the protocol under test
 * @returns what applies, what does not, and steps without any case
 */
export const enumerateInjections = (scenario: Scenario): Enumeration => {
  const injections: Injection[] = []
  const exclusions: Exclusion[] = []
  for (const step of scenario.steps) {
    for (const fault of faults) {
      const injection = { step, fault }
      const verdict = scenario.applicability(step, fault)
      if (verdict.applies) injections.push(injection)
      else exclusions.push({ injection, reason: verdict.reason })
    }
  }
  const covered = new Set(injections.map(injection => injection.step))
  return { injections, exclusions, uncoveredSteps: scenario.steps.filter(step => !covered.has(step)) }
}

/**
 * Plans with one fault each, after one plan with none.
 *
 * @param scenario - the protocol under test
 * @param seed - seed of each run
 * @param variant - `sound` or a broken variant
 */
export const singlePlans = (scenario: Scenario, seed: number, variant = soundVariant): Plan[] => [
  { injections: [], seed, variant },
  ...enumerateInjections(scenario).injections.map(injection => ({ injections: [injection], seed, variant }))
]

/**
 * Plans with two faults each: every unordered pair, the same injection twice included.
 *
 * @param scenario - the protocol under test
 * @param seed - seed of each run
 * @param variant - `sound` or a broken variant
 */
export const pairPlans = (scenario: Scenario, seed: number, variant = soundVariant): Plan[] => {
  const { injections } = enumerateInjections(scenario)
  return injections.flatMap((first, index) =>
    injections.slice(index).map(second => ({ injections: [first, second], seed, variant })))
}

/**
 * Draws plans without replacement.
 *
 * @param plans - what to draw from
 * @param count - how many at most
 * @param random - source of the draw
 */
export const samplePlans = (plans: readonly Plan[], count: number, random: Random): Plan[] => {
  const rest = [...plans]
  const drawn: Plan[] = []
  while (drawn.length < count && rest.length > 0) {
    const index = random.below(rest.length)
    drawn.push(rest[index])
    rest[index] = rest[rest.length - 1]
    rest.pop()
  }
  return drawn
}

/**
 * Plans of one to `longest` injections at random, each with its own seed.
 *
 * @param scenario - the protocol under test
 * @param count - how many
 * @param longest - injections of the longest plan
 * @param random - source of the draw
 */
export const randomPlans = (scenario: Scenario, count: number, longest: number, random: Random): Plan[] => {
  const { injections } = enumerateInjections(scenario)
  return Array.from({ length: count }, () => ({
    injections: Array.from({ length: 1 + random.below(longest) }, () => injections[random.below(injections.length)]),
    seed: random.below(2 ** 30),
    variant: soundVariant
  }))
}

/**
 * Runs one case.
 *
 * @param scenario - the protocol under test
 * @param plan - faults, seed and variant
 */
export const runCase = (scenario: Scenario, plan: Plan): CaseRun => {
  try {
    const violations = scenario.run(plan)
    const result: CaseResult = violations.length === 0 ? { kind: 'held' } : { kind: 'violated', violations }
    return { scenario, plan, result }
  } catch (error) {
    return { scenario, plan, result: { kind: 'threw', error } }
  }
}

/**
 * Looks for a case that catches a broken variant with the promise it must break.
 *
 * @param scenario - the protocol under test
 * @param variant - a name of `scenario.variants`
 * @param seeds - seeds to try; singles of every seed go before pairs
 * @param pairs - pairs to try of the first seed, drawn by `random`
 * @param random - source of the draw
 */
export const runVariant = (scenario: Scenario, variant: string, seeds: readonly number[], pairs: number, random: Random): VariantRun => {
  const promise = scenario.variants[variant]
  const plans = [
    ...seeds.flatMap(seed => singlePlans(scenario, seed, variant)),
    ...samplePlans(pairPlans(scenario, seeds[0], variant), pairs, random)
  ]
  const caught = plans.findIndex(plan => catches(scenario, plan, promise))
  if (caught < 0) return { scenario, variant, promise, tried: plans.length }
  return { scenario, variant, promise, tried: caught + 1, caughtBy: plans[caught] }
}

const catches = (scenario: Scenario, plan: Plan, promise: PromiseName): boolean => {
  const { result } = runCase(scenario, plan)
  return result.kind === 'violated' && result.violations.some(violation => violation.promise === promise)
}

/**
 * The command that replays a case.
 *
 * @param run - the case
 */
export const replayCommand = ({ scenario, plan }: { readonly scenario: Scenario, readonly plan: Plan }): string => {
  const [first, second, ...more] = plan.injections
  const parts = ['npm run matrix --', `--scenario ${scenario.name}`]
  if (first !== undefined) parts.push(`--step ${first.step}`, `--fault ${first.fault}`)
  if (second !== undefined) parts.push(`--second-step ${second.step}`, `--second-fault ${second.fault}`)
  for (const { step, fault } of more) parts.push(`--more ${step}:${fault}`)
  if (plan.injections.length === 0) parts.push('--no-fault')
  if (plan.variant !== soundVariant) parts.push(`--variant ${plan.variant}`)
  return [...parts, `--seed ${plan.seed}`].join(' ')
}

/** Counts of one cell of the table. */
export interface CaseCounts {
  readonly ran: number
  readonly passed: number
  readonly failed: number
  readonly excluded: number
}

/** Column of the plans without a fault. */
export const noFault = 'none'

/** A row of the table: one promise under one fault. */
export interface TableRow extends CaseCounts {
  readonly promise: PromiseName
  readonly fault: Fault | typeof noFault
}

/**
 * Whether a case broke a promise; a scenario that threw broke all of them.
 *
 * @param run - the case
 * @param promise - one of its scenario's promises
 */
export const violatesPromise = ({ result }: CaseRun, promise: PromiseName): boolean => {
  switch (result.kind) {
    case 'held': return false
    case 'threw': return true
    case 'violated': return result.violations.some(violation => violation.promise === promise)
  }
}

const faultsOf = (plan: Plan): readonly (Fault | typeof noFault)[] =>
  plan.injections.length === 0 ? [noFault] : [...new Set(plan.injections.map(injection => injection.fault))]

/**
 * Counts cases by promise and fault. A case with two faults counts under each.
 *
 * @param runs - the cases
 * @param scenarios - whose exclusions are counted apart
 */
export const tabulate = (runs: readonly CaseRun[], scenarios: readonly Scenario[]): TableRow[] => {
  const rows = new Map<string, TableRow>()
  const add = (promise: PromiseName, fault: Fault | typeof noFault, change: Partial<CaseCounts>): void => {
    const id = `${promise}/${fault}`
    const row = rows.get(id) ?? { promise, fault, ran: 0, passed: 0, failed: 0, excluded: 0 }
    rows.set(id, {
      ...row,
      ran: row.ran + (change.ran ?? 0),
      passed: row.passed + (change.passed ?? 0),
      failed: row.failed + (change.failed ?? 0),
      excluded: row.excluded + (change.excluded ?? 0)
    })
  }
  for (const run of runs) {
    for (const promise of run.scenario.promises) {
      const failed = violatesPromise(run, promise)
      for (const fault of faultsOf(run.plan)) add(promise, fault, { ran: 1, passed: failed ? 0 : 1, failed: failed ? 1 : 0 })
    }
  }
  for (const scenario of scenarios) {
    const { exclusions } = enumerateInjections(scenario)
    for (const promise of scenario.promises) {
      for (const { injection } of exclusions) add(promise, injection.fault, { excluded: 1 })
    }
  }
  return [...rows.values()]
}
