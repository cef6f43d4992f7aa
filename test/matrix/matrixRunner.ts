/**
 * Enumerates the cases of a scenario from its steps and faults, runs them and
 * counts passes and failures. No case is listed by hand: a new step or fault adds its
 * cases automatically, and a step to which no fault applies is reported as a defect.
 */
import type { Random } from '../../src/random.js'
import { faults } from './matrixTypes.js'
import type { Fault, Injection, Plan, PromiseName, Scenario, Violation } from './matrixTypes.js'

/** The variant without a deliberate defect. */
export const soundVariant = 'sound'

/** A fault that cannot occur at a step, with the reason. */
export interface Exclusion {
  readonly injection: Injection
  readonly reason: string
}

/** The result of one case. */
export type CaseResult =
  | { readonly kind: 'held' }
  | { readonly kind: 'violated', readonly violations: readonly Violation[] }
  /** The scenario threw an error; counted as a violation of each of its promises. */
  | { readonly kind: 'threw', readonly error: unknown }

/** One case with its result. */
export interface CaseRun {
  readonly scenario: Scenario
  readonly plan: Plan
  readonly result: CaseResult
}

/** A broken variant and the first case that detected it, if any. */
export interface VariantRun {
  readonly scenario: Scenario
  readonly variant: string
  readonly promise: PromiseName
  /** Number of cases run: up to the one that detected the variant, or all. */
  readonly tried: number
  readonly caughtBy?: Plan
}

/** The applicable injections of a scenario, and the excluded ones with their reasons. */
export interface Enumeration {
  readonly injections: readonly Injection[]
  readonly exclusions: readonly Exclusion[]
  /** Steps to which no fault applies. */
  readonly uncoveredSteps: readonly string[]
}

/**
 * Enumerates every fault at every step.
 *
 * @param scenario - the protocol under test
 * @returns the injections that apply, those that do not, and the steps without any case
 */
export const enumerateInjections = (scenario: Scenario): Enumeration => {
  const injections: Injection[] = []
  const exclusions: Exclusion[] = []
  for (const step of scenario.steps) {
    for (const fault of faults) {
      const injection = { step, fault }
      const applicability = scenario.applicability(step, fault)
      if (applicability.applies) injections.push(injection)
      else exclusions.push({ injection, reason: applicability.reason })
    }
  }
  const covered = new Set(injections.map(injection => injection.step))
  return { injections, exclusions, uncoveredSteps: scenario.steps.filter(step => !covered.has(step)) }
}

/**
 * Creates a plan without a fault, followed by the plans with one fault each.
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
 * Creates the plans with two faults each: every unordered pair, including an injection paired with itself.
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
 * @param plans - the plans to draw from
 * @param count - maximum number of plans
 * @param random - source of the draw
 */
export const samplePlans = (plans: readonly Plan[], count: number, random: Random): Plan[] => {
  const remaining = [...plans]
  const drawn: Plan[] = []
  while (drawn.length < count && remaining.length > 0) {
    const index = random.below(remaining.length)
    drawn.push(remaining[index])
    remaining[index] = remaining[remaining.length - 1]
    remaining.pop()
  }
  return drawn
}

/**
 * Creates plans of one to `maxInjections` random injections, each with its own seed.
 *
 * @param scenario - the protocol under test
 * @param count - number of plans
 * @param maxInjections - maximum number of injections in a plan
 * @param random - source of the draw
 */
export const randomPlans = (scenario: Scenario, count: number, maxInjections: number, random: Random): Plan[] => {
  const { injections } = enumerateInjections(scenario)
  return Array.from({ length: count }, () => ({
    injections: Array.from({ length: 1 + random.below(maxInjections) }, () => injections[random.below(injections.length)]),
    seed: random.below(2 ** 30),
    variant: soundVariant
  }))
}

/**
 * Runs one case; an error that the scenario throws becomes its result.
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
 * Runs cases of a broken variant until one detects it by a violation of the promise that it must break.
 *
 * @param scenario - the protocol under test
 * @param variant - a name of `scenario.variants`
 * @param seeds - seeds to try; the single faults of every seed run before the pairs
 * @param pairs - number of pairs to try with the first seed, drawn by `random`
 * @param random - source of the draw
 */
export const runVariant = (scenario: Scenario, variant: string, seeds: readonly number[], pairs: number, random: Random): VariantRun => {
  const promise = scenario.variants[variant]
  const plans = [
    ...seeds.flatMap(seed => singlePlans(scenario, seed, variant)),
    ...samplePlans(pairPlans(scenario, seeds[0], variant), pairs, random)
  ]
  const detectedAt = plans.findIndex(plan => detects(scenario, plan, promise))
  if (detectedAt < 0) return { scenario, variant, promise, tried: plans.length }
  return { scenario, variant, promise, tried: detectedAt + 1, caughtBy: plans[detectedAt] }
}

const detects = (scenario: Scenario, plan: Plan, promise: PromiseName): boolean => {
  const { result } = runCase(scenario, plan)
  return result.kind === 'violated' && result.violations.some(violation => violation.promise === promise)
}

/**
 * Returns the command that replays a case.
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

/** Numbers of cases in one row of the table. */
export interface CaseCounts {
  readonly ran: number
  readonly passed: number
  readonly failed: number
  readonly excluded: number
}

/** Name that the table uses for plans without a fault. */
export const noFault = 'none'

/** A row of the table: the cases of one promise under one fault. */
export interface TableRow extends CaseCounts {
  readonly promise: PromiseName
  readonly fault: Fault | typeof noFault
}

/**
 * Returns whether a case violated a promise; a scenario that threw violated all of its promises.
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
 * Counts cases by promise and fault. A case with several faults counts once under each kind of fault.
 *
 * @param runs - the cases
 * @param scenarios - the scenarios whose exclusions are counted
 */
export const tabulate = (runs: readonly CaseRun[], scenarios: readonly Scenario[]): TableRow[] => {
  const rows = new Map<string, TableRow>()
  const add = (promise: PromiseName, fault: Fault | typeof noFault, increments: Partial<CaseCounts>): void => {
    const id = `${promise}/${fault}`
    const row = rows.get(id) ?? { promise, fault, ran: 0, passed: 0, failed: 0, excluded: 0 }
    rows.set(id, {
      ...row,
      ran: row.ran + (increments.ran ?? 0),
      passed: row.passed + (increments.passed ?? 0),
      failed: row.failed + (increments.failed ?? 0),
      excluded: row.excluded + (increments.excluded ?? 0)
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
