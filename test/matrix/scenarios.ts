/** The scenarios of the fault matrix; each protocol adds its own line. */
import type { Hash } from '../../src/hash.js'
import { createCacheScenario } from './cacheScenario.js'
import { createClaimsScenario } from './claimsScenario.js'
import { configScenario } from './configScenario.js'
import { endpointsScenario } from './endpointsScenario.js'
import { membershipScenario } from './membershipScenario.js'
import { ordersScenario } from './ordersScenario.js'
import { createRequestScenario } from './requestScenario.js'
import type { Scenario } from './matrixTypes.js'

/** Builds a scenario; the hash functions load asynchronously, before any run. */
export type ScenarioFactory = (hash: Hash) => Scenario

/** Every protocol under test. */
export const scenarioFactories: readonly ScenarioFactory[] = [
  createClaimsScenario,
  configScenario,
  membershipScenario,
  endpointsScenario,
  ordersScenario,
  createCacheScenario,
  createRequestScenario
]

/**
 * Builds every scenario.
 *
 * @param hash - hash functions, loaded
 */
export const createScenarios = (hash: Hash): Scenario[] => scenarioFactories.map(factory => factory(hash))
