import { loadHash } from '../../src/hash.js'
import type { Scenario } from './matrixTypes.js'
import { endpointsScenario } from './endpointsScenario.js'
import { failuresOf, singleInjections } from './scenarioCases.js'

describe('endpoint registry under faults', () => {
  let scenario: Scenario
  beforeAll(async () => {
    scenario = endpointsScenario(await loadHash())
  })

  it('keeps its guarantees without faults and with every single fault', () => {
    const cases = [[], ...singleInjections(scenario).map(injection => [injection])]
    expect(failuresOf(scenario, cases, [1])).toEqual([])
  })

  it('detects every deliberately broken variant', () => {
    const crossed = singleInjections(scenario).filter(({ fault }) => fault === 'crossed')
    const cases = [[], ...crossed.map(injection => [injection])]
    for (const [variant, promise] of Object.entries(scenario.variants)) {
      const broken = failuresOf(scenario, cases, [1], variant).flatMap(({ violations }) => violations.map(violation => violation.promise))
      expect([variant, [...new Set(broken)]]).toEqual([variant, expect.arrayContaining([promise])])
    }
  })
})
