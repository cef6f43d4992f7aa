/** Takes all measurements of the capacity benchmark, the largest last. */
import type { Hash } from '../../src/hash.js'
import { runPropagationTrial } from '../../test/matrix/configPropagation.js'
import type { PropagationResult } from '../../test/matrix/configPropagation.js'
import { measureProcesses } from './processCost.js'
import type { ProcessCost } from './processCost.js'
import { measureClaims } from './claimsRun.js'
import type { ClaimsCost } from './claimsRun.js'
import { measureBlockSet, measureChoice, measureEndpoints, measureCacheEvents, measureLimits } from './features.js'
import type { Point } from './fit.js'
import { startMembershipFleet } from './membershipFleet.js'
import type { FeatureCost, ConvergenceCost } from './membershipFleet.js'
import { measureRequests } from './requestPath.js'
import type { RequestCost } from './requestPath.js'
import { measureFleet } from './wholeFleet.js'
import type { FleetCost } from './wholeFleet.js'

/** The result of a propagation trial in which part of the fleet may be cut off from the log. */
export interface PropagationCost extends PropagationResult {
  /** Number of instances. */
  readonly size: number
  /** Share of the instances that cannot reach the log. */
  readonly logAway: number
  /** Share of the messages between instances that are lost. */
  readonly loss: number
}

type EndpointsCost = ReturnType<typeof measureEndpoints>

/** The results of all measurements; each array has one element for each measured size. */
export interface Measurements {
  readonly processes: readonly ProcessCost[]
  readonly members: readonly FeatureCost[]
  readonly endpointsByInstances: readonly EndpointsCost[]
  readonly endpointsByWorkers: readonly EndpointsCost[]
  /** By the number of workers that each instance uses. */
  readonly endpointsByUse: readonly EndpointsCost[]
  /** By the number of workspaces that each instance serves. */
  readonly limits: readonly FeatureCost[]
  readonly claims: readonly ClaimsCost[]
  readonly propagation: readonly PropagationCost[]
  /** Time of one cache event in microseconds, by the known blocks of its worker. */
  readonly events: readonly Point[]
  /** Size of a block set in bytes, by blocks. */
  readonly blocks: readonly Point[]
  /** Time to choose a worker in microseconds, by workers. */
  readonly choices: readonly Point[]
  readonly requests: readonly RequestCost[]
  readonly fleets: readonly FleetCost[]
  /** Failures, recoveries and a partition, with membership alone. */
  readonly membershipChanges: readonly ConvergenceCost[]
}

const selectIds = (size: number, isSelected: (index: number) => boolean): string[] =>
  Array.from({ length: size }, (_, index) => index).filter(isSelected).map(index => `n${index}`)

const measureMembershipChanges = (hash: Hash, size: number): ConvergenceCost[] => {
  const fleet = startMembershipFleet(hash, size)
  const rack = selectIds(size, index => index % 20 === 1)
  const dataCentre = selectIds(size, index => index % 4 === 2)
  return [
    fleet.fail('one instance fails', ['n7']),
    fleet.restore('it comes back', ['n7']),
    fleet.fail('a rack fails', rack),
    fleet.restore('it comes back', rack),
    fleet.fail('a data centre fails', dataCentre),
    fleet.restore('it comes back', dataCentre),
    fleet.partition('halves apart for five minutes, then joined', 300_000)
  ]
}

/**
 * Takes all measurements.
 *
 * @param hash - hash functions
 * @param logProgress - called before each measurement with its name
 * @returns the results
 */
export const measureAll = async (hash: Hash, logProgress: (name: string) => void): Promise<Measurements> => {
  const measureEach = <Input, Output>(name: string, inputs: readonly Input[], action: (input: Input) => Output): Output[] => inputs.map(input => {
    logProgress(`${name} ${JSON.stringify(input)}`)
    return action(input)
  })
  logProgress('processes')
  const processes = await measureProcesses()
  return {
    processes,
    requests: measureEach('requests, tokens', [16, 64, 256], tokens => measureRequests(hash, 600, tokens)),
    choices: measureEach('choice, workers', [24, 100, 300, 600], workers => measureChoice(hash, workers)),
    events: measureEach('events, blocks', [1_000, 10_000, 93_000, 175_000], measureCacheEvents),
    blocks: measureEach('blocks', [12_000, 93_000, 175_000, 700_000], measureBlockSet),
    members: measureEach('membership, instances', [8, 40, 160, 320], size => startMembershipFleet(hash, size).cost()),
    limits: measureEach('limits, workspaces of an entry', [2, 4, 8, 16], density => measureLimits(hash, density)),
    endpointsByInstances: measureEach('endpoints, instances', [8, 40, 160, 320], size => measureEndpoints(hash, size, size, 600, 60)),
    endpointsByWorkers: measureEach('endpoints, workers', [20, 100, 300, 600], workers => measureEndpoints(hash, workers, 40, workers, Math.min(20, workers))),
    endpointsByUse: measureEach('endpoints, used', [20, 60, 200, 600], used => measureEndpoints(hash, used, 40, 600, used)),
    claims: measureEach('claims, instances and rate', [[40, 44], [320, 178], [320, 355]] as const, ([nodes, rate]) => measureClaims(nodes, rate)),
    propagation: measureEach('configuration propagation, instances, log away, loss', [[8, 0, 0], [80, 0.5, 0], [320, 0, 0], [320, 0.5, 0.2], [320, 0.99, 0]] as const, ([size, logAway, loss]) =>
      ({ size, logAway, loss, ...runPropagationTrial(hash, { size, seed: 5, tick: 50, publishes: 6, interval: 6_000, logAway, loss, lines: 60, rest: 20_000 }) })),
    fleets: measureEach('whole nodes, instances', [8, 40, 160, 320], nodes => measureFleet(hash, nodes, 600, 890)),
    membershipChanges: measureEach('membership changes, instances', [320], size => measureMembershipChanges(hash, size)).flat()
  }
}
