/**
 * Fault-matrix scenario of the whole request path, run on the real core:
 * callers, streams, bookings, a leaving worker, new weights and a draining
 * instance, with every fault at every step. The broken variants change inputs
 * or effects of the core.
 */
import type { Hash } from '../../src/hash.js'
import type { NodeEffect, NodeInput } from '../../src/node/nodeTypes.js'
import type { FleetHooks } from '../fakes/fakeFleet.js'
import { checkWorld } from './requestChecks.js'
import { injectRequestFaults, requestFaults, requestSteps, type RequestStep } from './requestFaults.js'
import { runWorld, type World } from './requestWorld.js'
import type { PromiseName, Scenario } from './matrixTypes.js'

type Tamper = (world: World, node: string, input: NodeInput) => NodeInput

/** Deliberate defects, each with the promise that it violates. */
const variants = {
  /** A cut call is treated as never sent, so it is dispatched again at another endpoint. */
  repeatsCutCalls: 'atMostOnce',
  /** Event positions are ignored: each event is taken as the next one. */
  ignoresPositions: 'streamWhole',
  /** The request id of an answer is ignored. */
  ignoresRequestIds: 'ownAnswer',
  /** An error with an unknown outcome is reported as not run. */
  claimsNotRun: 'notRunTrue',
  /** The leaving state in worker reports is ignored. */
  ignoresLeaving: 'leavingNoNewWork',
  /** An instance stops as soon as its drain starts. */
  cutsOnDrain: 'gracefulShutdown',
  /** A restarted instance receives neither peer messages nor log records. */
  startsAlone: 'noColdStart'
} as const satisfies Record<string, PromiseName>

type Variant = keyof typeof variants

const nextPositions = new WeakMap<World, Map<string, number>>()

const renumber = (world: World, node: string, input: Extract<NodeInput, { kind: 'endpoint.chunk' }>): NodeInput => {
  const positions = nextPositions.get(world) ?? new Map<string, number>()
  const name = `${node}/${input.attempt}`
  const position = positions.get(name) ?? 0
  nextPositions.set(world, positions.set(name, position + 1))
  return { ...input, position }
}

/** Replaces the request id of an event by the stream id in its data, which always matches the event. */
const useInnerId = (input: Extract<NodeInput, { kind: 'endpoint.chunk' }>): NodeInput =>
  ({ ...input, requestId: (JSON.parse(input.data) as { id: string }).id })

const reportNotRun = (effect: NodeEffect): NodeEffect =>
  effect.kind === 'caller.answer' && typeof effect.body === 'string' ? { ...effect, body: effect.body.replace('"outcome":"unknown"', '"outcome":"not_run"') } : effect

const tampers: Readonly<Partial<Record<Variant, Tamper>>> = {
  repeatsCutCalls: (_world, _node, input) => input.kind === 'endpoint.failed' ? { ...input, sent: false } : input,
  ignoresPositions: (world, node, input) => input.kind === 'endpoint.chunk' ? renumber(world, node, input) : input,
  ignoresRequestIds: (_world, _node, input) => input.kind === 'endpoint.chunk' ? useInnerId(input) : input,
  ignoresLeaving: (_world, _node, input) => input.kind === 'endpoint.report' ? { ...input, leaving: false } : input,
  startsAlone: (world, node, input) => {
    if (!world.observations.faultedNodes.has(node)) return input
    if (input.kind === 'peer.message') return { kind: 'tick' }
    if (input.kind !== 'log.records') return input
    const { owner, token, stream } = input
    return { kind: 'log.failed', owner, token, stream, failure: 'unavailable' }
  },
  cutsOnDrain: (world, node, input) => {
    if (input.kind === 'drain.start') world.fleet.crash(node)
    return input
  }
}

const hooksForVariant = (variant: string, faults: Partial<FleetHooks>, world: () => World): Partial<FleetHooks> => {
  if (variant === 'claimsNotRun') return { ...faults, tamperEffect: reportNotRun }
  const tamper = tampers[variant as Variant]
  return tamper === undefined ? faults : { ...faults, tamperInput: (node, input) => tamper(world(), node, input) }
}

/**
 * Creates the request scenario.
 *
 * @param hash - hash functions
 * @returns the scenario, for the fault matrix
 */
export const createRequestScenario = (hash: Hash): Scenario => ({
  name: 'request',
  steps: requestSteps,
  promises: ['streamWhole', 'ownAnswer', 'notRunTrue', 'atMostOnce', 'leavingNoNewWork', 'gracefulShutdown', 'noColdStart', 'configForward'],
  variants,
  applicability: (step, fault) => {
    const row = requestFaults[step as RequestStep]
    return row.actions[fault] === undefined ? { applies: false, reason: row.otherwise } : { applies: true }
  },
  run: ({ injections, seed, variant }) => {
    const inject = injectRequestFaults(injections, seed)
    return checkWorld(runWorld(hash, seed, world => hooksForVariant(variant, inject(world), world)))
  }
})
