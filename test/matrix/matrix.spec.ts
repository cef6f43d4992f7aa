import fc from 'fast-check'
import { loadHash } from '../../src/hash.js'
import type { Hash } from '../../src/hash.js'
import { createRandom } from '../../src/random.js'
import { violatesPromise, enumerateInjections, pairPlans, replayCommand, runCase, runVariant, samplePlans, singlePlans, soundVariant, tabulate } from './matrixRunner.js'
import type { CaseRun } from './matrixRunner.js'
import type { Plan, Scenario } from './matrixTypes.js'
import { createScenarios, scenarioFactories } from './scenarios.js'

const seed = 1
/** Pairs of faults drawn for each scenario of a single feature. */
const sampledPairs = 250
/** Pairs for the scenario of complete instances, whose run costs fifty times as much as one of a single feature; `npm run matrix -- --pairs` runs all pairs. */
const sampledPairsOfInstances = 40
/** Pairs of faults tried for each broken variant. */
const variantPairs = 500
/** Random cases of each scenario of a single feature, and of complete instances. */
const randomRuns = 60
const randomRunsOfInstances = 12
/** Maximum number of faults in a random case. */
const maxRandomFaults = 4

/** A counter that must not lose an increment; its broken variant loses one if the connection is cut before the request. */
const createCounterScenario = (): Scenario => ({
  name: 'counter',
  steps: ['send', 'store'],
  promises: ['atMostOnce', 'configForward'],
  variants: { forgetful: 'configForward' },
  applicability: (step, fault) => fault === 'cutBefore' || (step === 'store' && fault === 'duplicate')
    ? { applies: true }
    : { applies: false, reason: `${fault} does not occur in memory` },
  run: plan => plan.variant === 'forgetful' && plan.injections.some(injection => injection.fault === 'cutBefore')
    ? [{ promise: 'configForward', detail: 'lost an increment' }]
    : []
})

const failuresOf = (scenario: Scenario, plans: readonly Plan[]): string[] =>
  plans.map(plan => runCase(scenario, plan)).filter(run => run.result.kind !== 'held').map(describeFailure)

const runsInstances = (scenario: Scenario): boolean => scenario.name === 'request'

const describeFailure = (run: CaseRun): string => {
  if (run.result.kind === 'threw') return `${replayCommand(run)} threw ${String(run.result.error)}`
  return `${replayCommand(run)} ${JSON.stringify(run.result)}`
}

describe('matrix runner', () => {
  it('enumerates every fault at every step, with a reason for each exclusion', () => {
    const { injections, exclusions, uncoveredSteps } = enumerateInjections(createCounterScenario())
    expect(injections.map(({ step, fault }) => `${step}/${fault}`)).toEqual(['send/cutBefore', 'store/cutBefore', 'store/duplicate'])
    expect(exclusions).toHaveLength(27)
    expect(uncoveredSteps).toEqual([])
  })

  it('reports a step to which no fault applies', () => {
    const scenario: Scenario = { ...createCounterScenario(), steps: ['send', 'store', 'rest'], applicability: step => step === 'rest' ? { applies: false, reason: 'idle' } : { applies: true } }
    expect(enumerateInjections(scenario).uncoveredSteps).toEqual(['rest'])
  })

  it('pairs every injection with itself and with each later one', () => {
    expect(singlePlans(createCounterScenario(), seed)).toHaveLength(4)
    expect(pairPlans(createCounterScenario(), seed)).toHaveLength(6)
  })

  it('reports which case detects a broken variant, or that none does', () => {
    const detected = runVariant(createCounterScenario(), 'forgetful', [seed], 0, createRandom(seed))
    expect(detected.caughtBy?.injections).toEqual([{ step: 'send', fault: 'cutBefore' }])
    const undetectable: Scenario = { ...createCounterScenario(), variants: { blind: 'atMostOnce' } }
    expect(runVariant(undetectable, 'blind', [seed], 0, createRandom(seed)).caughtBy).toBeUndefined()
  })

  it('counts a scenario that throws as a violation of each promise', () => {
    const scenario: Scenario = { ...createCounterScenario(), run: () => { throw new RangeError('out of range') } }
    const run = runCase(scenario, singlePlans(scenario, seed)[1])
    expect(scenario.promises.map(promise => violatesPromise(run, promise))).toEqual([true, true])
  })

  it('counts cases by promise and fault, with exclusions counted separately', () => {
    const scenario = createCounterScenario()
    const runs = singlePlans(scenario, seed, 'forgetful').map(plan => runCase(scenario, plan))
    expect(tabulate(runs, [scenario])).toContainEqual({ promise: 'configForward', fault: 'cutBefore', ran: 2, passed: 0, failed: 2, excluded: 0 })
    expect(tabulate(runs, [scenario])).toContainEqual({ promise: 'atMostOnce', fault: 'duplicate', ran: 1, passed: 1, failed: 0, excluded: 1 })
  })

  it('prints the command that replays a case', () => {
    const scenario = createCounterScenario()
    const plan: Plan = { injections: [{ step: 'send', fault: 'cutBefore' }, { step: 'store', fault: 'duplicate' }], seed: 9, variant: 'forgetful' }
    expect(replayCommand({ scenario, plan })).toBe('npm run matrix -- --scenario counter --step send --fault cutBefore --second-step store --second-fault duplicate --variant forgetful --seed 9')
  })
})

describe.each([createCounterScenario, ...scenarioFactories].map((factory, index) => ({ factory, index })))('fault matrix, scenario $index', ({ factory }) => {
  let hash: Hash
  let scenario: Scenario

  beforeAll(async () => {
    hash = await loadHash()
    scenario = factory(hash)
  })

  it('has a case for each of its steps', () => {
    expect(enumerateInjections(scenario).uncoveredSteps).toEqual([])
  })

  it('keeps its promises without a fault and with each single fault', () => {
    expect(failuresOf(scenario, singlePlans(scenario, seed))).toEqual([])
  })

  it('keeps its promises with a sample of the pairs of faults', () => {
    expect(failuresOf(scenario, samplePlans(pairPlans(scenario, seed), runsInstances(scenario) ? sampledPairsOfInstances : sampledPairs, createRandom(seed)))).toEqual([])
  })

  it('keeps its promises with random sequences of faults', () => {
    const injection = fc.constantFrom(...enumerateInjections(scenario).injections)
    const plan = fc.record({ injections: fc.array(injection, { minLength: 1, maxLength: maxRandomFaults }), seed: fc.nat(2 ** 30), variant: fc.constant(soundVariant) })
    fc.assert(fc.property(plan, each => failuresOf(scenario, [each]).length === 0), { seed, numRuns: runsInstances(scenario) ? randomRunsOfInstances : randomRuns })
  })

  it('detects every broken variant', () => {
    const missed = Object.keys(scenario.variants)
      .map(variant => runVariant(scenario, variant, [seed, seed + 1], variantPairs, createRandom(seed)))
      .filter(run => run.caughtBy === undefined)
    expect(missed.map(run => run.variant)).toEqual([])
  })
})

it('gives each scenario a unique name', async () => {
  const names = createScenarios(await loadHash()).map(scenario => scenario.name)
  expect(new Set(names).size).toBe(names.length)
})
