/** Takes all measurements, the large ones last. */
import type { Hash } from '../../src/hash.js'
import { runPropagationTrial } from '../../test/matrix/configPropagation.js'
import type { PropagationResult } from '../../test/matrix/configPropagation.js'
import { measureProcesses } from './binary.js'
import type { ProcessCost } from './binary.js'
import { measureClaims } from './claimsRun.js'
import type { ClaimsCost } from './claimsRun.js'
import { measureBlocks, measureChoice, measureEndpoints, measureEvents, measureLimits } from './features.js'
import type { Point } from './fit.js'
import { startMembers } from './memberLosses.js'
import type { FeatureCost, Loss } from './memberLosses.js'
import { measureRequests } from './requestPath.js'
import type { RequestCost } from './requestPath.js'
import { measureFleet } from './wholeFleet.js'
import type { FleetCost } from './wholeFleet.js'

/** A trial of publishing with part of the fleet cut off from the log. */
export interface Force extends PropagationResult {
  readonly size: number
  readonly logAway: number
  readonly loss: number
}

type EndpointsCost = ReturnType<typeof measureEndpoints>

/** All that was measured. */
export interface Measurements {
  readonly processes: readonly ProcessCost[]
  readonly members: readonly FeatureCost[]
  readonly endpointsByInstances: readonly EndpointsCost[]
  readonly endpointsByWorkers: readonly EndpointsCost[]
  readonly endpointsByUse: readonly EndpointsCost[]
  readonly limits: readonly FeatureCost[]
  readonly claims: readonly ClaimsCost[]
  readonly force: readonly Force[]
  readonly events: readonly Point[]
  readonly blocks: readonly Point[]
  readonly choices: readonly Point[]
  readonly requests: readonly RequestCost[]
  readonly fleets: readonly FleetCost[]
  readonly losses: readonly Loss[]
}

const idsWhere = (size: number, holds: (index: number) => boolean): string[] =>
  Array.from({ length: size }, (_, index) => index).filter(holds).map(index => `n${index}`)

const measureLosses = (hash: Hash, size: number): Loss[] => {
  const fleet = startMembers(hash, size)
  const rack = idsWhere(size, index => index % 20 === 1)
  const dataCentre = idsWhere(size, index => index % 4 === 2)
  return [
    fleet.lose('one instance fails', ['n7']),
    fleet.restore('it comes back', ['n7']),
    fleet.lose('a rack fails', rack),
    fleet.restore('it comes back', rack),
    fleet.lose('a data centre fails', dataCentre),
    fleet.restore('it comes back', dataCentre),
    fleet.part('halves apart for five minutes, then joined', 300_000)
  ]
}

/**
 * Measures everything.
 *
 * @param hash - hash functions
 * @param note - told what is measured next
 */
export const measureAll = async (hash: Hash, note: (what: string) => void): Promise<Measurements> => {
  const each = <Input, Output>(what: string, inputs: readonly Input[], action: (input: Input) => Output): Output[] => inputs.map(input => {
    note(`${what} ${JSON.stringify(input)}`)
    return action(input)
  })
  note('processes')
  const processes = await measureProcesses()
  return {
    processes,
    requests: each('requests, tokens', [16, 64, 256], tokens => measureRequests(hash, 600, tokens)),
    choices: each('choice, workers', [24, 100, 300, 600], workers => measureChoice(hash, workers)),
    events: each('events, blocks', [1_000, 10_000, 93_000, 175_000], measureEvents),
    blocks: each('blocks', [12_000, 93_000, 175_000, 700_000], measureBlocks),
    members: each('membership, instances', [8, 40, 160, 320], size => startMembers(hash, size).cost()),
    limits: each('limits, workspaces of an entry', [2, 4, 8, 16], density => measureLimits(hash, density)),
    endpointsByInstances: each('endpoints, instances', [8, 40, 160, 320], size => measureEndpoints(hash, size, size, 600, 60)),
    endpointsByWorkers: each('endpoints, workers', [20, 100, 300, 600], workers => measureEndpoints(hash, workers, 40, workers, Math.min(20, workers))),
    endpointsByUse: each('endpoints, used', [20, 60, 200, 600], used => measureEndpoints(hash, used, 40, 600, used)),
    claims: each('claims, instances and rate', [[40, 44], [320, 178], [320, 355]] as const, ([nodes, rate]) => measureClaims(nodes, rate)),
    force: each('force, instances, log away, loss', [[8, 0, 0], [80, 0.5, 0], [320, 0, 0], [320, 0.5, 0.2], [320, 0.99, 0]] as const, ([size, logAway, loss]) =>
      ({ size, logAway, loss, ...runPropagationTrial(hash, { size, seed: 5, tick: 50, publishes: 6, interval: 6_000, logAway, loss, lines: 60, rest: 20_000 }) })),
    fleets: each('whole nodes, instances', [8, 40, 160, 320], nodes => measureFleet(hash, nodes, 600, 890)),
    losses: each('losses, instances', [320], size => measureLosses(hash, size)).flat()
  }
}
