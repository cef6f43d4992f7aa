import { loadHash } from '../../src/hash.js'
import { createCacheScenario } from './cacheScenario.js'
import type { Injection, Scenario, Violation } from './matrixTypes.js'
import { faults } from './matrixTypes.js'

const injectionsOf = ({ steps, applicability }: Scenario): Injection[] => steps.flatMap(step =>
  faults.filter(fault => applicability(step, fault).applies).map(fault => ({ step, fault })))

const run = (scenario: Scenario, injections: readonly Injection[], variant = 'sound'): readonly Violation[] =>
  scenario.run({ injections, seed: 1, variant })

describe('the cache scenario', () => {
  it('has no violation under any single fault', async () => {
    const scenario = createCacheScenario(await loadHash())
    expect(run(scenario, [])).toEqual([])
    for (const injection of injectionsOf(scenario)) expect({ injection, seen: run(scenario, [injection]) }).toEqual({ injection, seen: [] })
  })

  it('has no violation under any pair of faults', async () => {
    const scenario = createCacheScenario(await loadHash())
    const all = injectionsOf(scenario)
    for (const [index, first] of all.entries()) {
      for (const second of all.slice(index + 1)) {
        const pair = [first, second]
        expect({ pair, seen: run(scenario, pair) }).toEqual({ pair, seen: [] })
      }
    }
  })

  it('detects every broken variant', async () => {
    const scenario = createCacheScenario(await loadHash())
    for (const [variant, promise] of Object.entries(scenario.variants)) {
      expect({ variant, caught: run(scenario, [], variant).some(violation => violation.promise === promise) }).toEqual({ variant, caught: true })
    }
  })
})
