/** The command `npm run matrix`: runs the fault matrix, or replays one of its cases. */
import { Command, InvalidArgumentError } from 'commander'
import { loadHash } from '../../src/hash.js'
import { createRandom } from '../../src/random.js'
import { violatesPromise, enumerateInjections, pairPlans, randomPlans, replayCommand, runCase, runVariant, samplePlans, singlePlans, soundVariant, tabulate } from './matrixRunner.js'
import type { CaseRun } from './matrixRunner.js'
import { faults, promises } from './matrixTypes.js'
import type { Fault, Injection, Plan, Scenario } from './matrixTypes.js'
import { createScenarios } from './scenarios.js'

interface Options {
  readonly scenario?: string
  readonly step?: string
  readonly fault?: Fault
  readonly secondStep?: string
  readonly secondFault?: Fault
  readonly more?: readonly Injection[]
  readonly noFault?: boolean
  readonly seed: number
  readonly seeds: number
  readonly variant: string
  readonly pairs?: number | true
  readonly random: number
}

/** Pairs of faults tried for each broken variant. */
const variantPairs = 2000
/** Maximum number of faults in a random case. */
const maxRandomFaults = 4
/** Seeds tried for each broken variant. */
const seedsPerVariant = 4

const parseCount = (text: string): number => {
  const count = Number(text)
  if (!Number.isInteger(count) || count < 0) throw new InvalidArgumentError('Must be a whole number, 0 or more.')
  return count
}

const parseFault = (text: string): Fault => {
  const known = faults.find(fault => fault === text)
  if (known === undefined) throw new InvalidArgumentError(`Must be one of ${faults.join(', ')}.`)
  return known
}

const parseMore = (text: string, previous: readonly Injection[] = []): readonly Injection[] => {
  const [step, fault] = text.split(':')
  return [...previous, { step, fault: parseFault(fault ?? '') }]
}

const program = new Command('matrix')
  .description('Runs every fault at every step of every protocol and prints the results by promise and fault.')
  .option('--scenario <name>', 'run only this protocol')
  .option('--step <step>', 'run only faults at this step')
  .option('--fault <fault>', 'run only this fault', parseFault)
  .option('--second-step <step>', 'step of a second fault in the same run')
  .option('--second-fault <fault>', 'the second fault', parseFault)
  .option('--more <step:fault>', 'a further fault in the same run; can be repeated', parseMore)
  .option('--no-fault', 'run only without a fault')
  .option('--seed <seed>', 'seed of each run', parseCount, 1)
  .option('--seeds <count>', 'number of seeds to run, starting with --seed', parseCount, 1)
  .option('--variant <name>', 'run a deliberately broken variant', soundVariant)
  .option('--pairs [count]', 'also run pairs of faults: all, or this many drawn at random', parseCount)
  .option('--random <count>', 'number of runs with random faults for each protocol', parseCount, 0)

const injectionsOf = (options: Options): Injection[] => {
  const injections: Injection[] = []
  if (options.step !== undefined && options.fault !== undefined) injections.push({ step: options.step, fault: options.fault })
  if (options.secondStep !== undefined && options.secondFault !== undefined) injections.push({ step: options.secondStep, fault: options.secondFault })
  return [...injections, ...options.more ?? []]
}

const isReplay = (options: Options): boolean =>
  options.fault === undefined ? false : options.step !== undefined

const plansOf = (scenario: Scenario, options: Options, withoutFault: boolean): Plan[] => {
  const { seed, variant } = options
  if (withoutFault) return [{ injections: [], seed, variant }]
  if (isReplay(options)) return [{ injections: injectionsOf(options), seed, variant }]
  const random = createRandom(seed)
  const pairs = pairPlans(scenario, seed, variant)
  const isSelected = (plan: Plan): boolean => plan.injections.length === 0 || plan.injections.some(injection =>
    (options.step ?? injection.step) === injection.step && (options.fault ?? injection.fault) === injection.fault)
  const selectedPairs = options.pairs === undefined ? [] : options.pairs === true ? pairs : samplePlans(pairs, options.pairs, random)
  return [...singlePlans(scenario, seed, variant), ...selectedPairs, ...randomPlans(scenario, options.random, maxRandomFaults, random)].filter(isSelected)
}

const seedsOf = ({ seed, seeds }: Options): number[] => Array.from({ length: seeds }, (_, index) => seed + index)

const printTable = (runs: readonly CaseRun[], scenarios: readonly Scenario[]): void => {
  console.log('promise            fault               ran  passed  failed  not applicable')
  const rows = tabulate(runs, scenarios)
  for (const promise of promises) {
    for (const row of rows.filter(each => each.promise === promise)) {
      const counts = [row.ran, row.passed, row.failed].map(count => String(count).padStart(8)).join('')
      console.log(`${promise.padEnd(19)}${row.fault.padEnd(15)}${counts}${String(row.excluded).padStart(16)}`)
    }
  }
}

const printExclusions = (scenarios: readonly Scenario[]): void => {
  const reasons = new Map<string, number>()
  for (const { exclusions } of scenarios.map(enumerateInjections)) {
    for (const { reason } of exclusions) reasons.set(reason, (reasons.get(reason) ?? 0) + 1)
  }
  console.log('\nnot applicable, by reason:')
  for (const [reason, count] of reasons) console.log(`${String(count).padStart(6)}  ${reason}`)
}

const printFailure = (run: CaseRun): void => {
  console.log(`\nFAILED ${replayCommand(run)}`)
  if (run.result.kind === 'threw') console.log(run.result.error)
  if (run.result.kind === 'violated') {
    for (const { promise, detail } of run.result.violations) console.log(`  ${promise}: ${detail}`)
  }
}

const checkVariants = (scenarios: readonly Scenario[], seed: number): number => {
  const seeds = Array.from({ length: seedsPerVariant }, (_, index) => seed + index)
  const runs = scenarios.flatMap(scenario => Object.keys(scenario.variants).map(variant =>
    runVariant(scenario, variant, seeds, variantPairs, createRandom(seed))))
  console.log('\nbroken variants:')
  for (const { scenario, variant, promise, tried, caughtBy } of runs) {
    const found = caughtBy === undefined ? 'NOT CAUGHT' : `caught at case ${tried}: ${replayCommand({ scenario, plan: caughtBy })}`
    console.log(`  ${scenario.name}/${variant} must break ${promise}: ${found}`)
  }
  return runs.filter(run => run.caughtBy === undefined).length
}

const main = async (): Promise<number> => {
  program.parse()
  const { fault: faultOption, ...rest } = program.opts<Omit<Options, 'fault'> & { readonly fault?: Fault | boolean }>()
  const options: Options = { ...rest, fault: typeof faultOption === 'string' ? faultOption : undefined }
  const withoutFault = faultOption === false
  const scenarios = createScenarios(await loadHash()).filter(scenario => scenario.name === (options.scenario ?? scenario.name))
  if (scenarios.length === 0) program.error(`unknown scenario: ${options.scenario}`)
  const uncoveredSteps = scenarios.flatMap(scenario => enumerateInjections(scenario).uncoveredSteps.map(step => `${scenario.name}/${step}`))
  const runs = scenarios.flatMap(scenario => seedsOf(options).flatMap(seed => plansOf(scenario, { ...options, seed }, withoutFault)).map(plan => runCase(scenario, plan)))
  const failures = runs.filter(run => run.scenario.promises.some(promise => violatesPromise(run, promise)))
  const isFullRun = !withoutFault && !isReplay(options) && options.variant === soundVariant
  printTable(runs, isFullRun ? scenarios : [])
  if (isFullRun) printExclusions(scenarios)
  const uncaught = isFullRun && options.step === undefined && options.fault === undefined ? checkVariants(scenarios, options.seed) : 0
  failures.forEach(printFailure)
  for (const step of uncoveredSteps) console.log(`\nFAILED no fault applies to step ${step}`)
  console.log(`\n${runs.length} cases ran, ${runs.length - failures.length} passed, ${failures.length} failed; ${uncoveredSteps.length} steps without a case; ${uncaught} variants not caught`)
  return failures.length + uncoveredSteps.length + uncaught === 0 ? 0 : 1
}

main().then(code => { process.exitCode = code })
