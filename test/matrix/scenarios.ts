/** The scenarios of the fault matrix, one for each protocol. */
import type { Hash } from '../../src/hash.js'
import { createCacheScenario } from './cacheScenario.js'
import { createClaimsScenario } from './claimsScenario.js'
import { configScenario } from './configScenario.js'
import { endpointsScenario } from './endpointsScenario.js'
import { membershipScenario } from './membershipScenario.js'
import { ordersScenario } from './ordersScenario.js'
import { createRequestScenario } from './requestScenario.js'
import type { Scenario } from './matrixTypes.js'

/** Creates a scenario from hash functions that are already loaded, since loading is asynchronous and runs are not. */
export type ScenarioFactory = (hash: Hash) => Scenario

/** A factory for every protocol under test. */
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
 * Creates every scenario.
 *
 * @param hash - the hash functions
 * @returns the scenarios
 */
export const createScenarios = (hash: Hash): Scenario[] => scenarioFactories.map(factory => factory(hash))
