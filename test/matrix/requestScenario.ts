/**
 * The whole request path on the real core: callers, streams, bookings, a
 * leaving worker, new weights and a draining instance, with every fault at
 * every step. The broken variants tamper with what the core hears or says.
 */
import type { Hash } from '../../src/hash.js'
import type { NodeEffect, NodeInput } from '../../src/node/nodeTypes.js'
import type { FleetHooks } from '../fakes/fakeFleet.js'
import { checkWorld } from './requestChecks.js'
import { injectRequestFaults, requestFaults, requestSteps, type RequestStep } from './requestFaults.js'
import { runWorld, type World } from './requestWorld.js'
import type { PromiseName, Scenario } from './matrixTypes.js'

type Tamper = (world: World, node: string, input: NodeInput) => NodeInput

/** Deliberate defects, each with the promise that it breaks. */
const variants = {
  /** A cut call counts as never sent, so it is sent elsewhere. */
  repeatsCutCalls: 'atMostOnce',
  /** Positions are ignored: each event counts as the next one. */
  ignoresPositions: 'streamWhole',
  /** The id on an answer is ignored. */
  ignoresRequestIds: 'ownAnswer',
  /** A cut call is answered as not run. */
  claimsNotRun: 'notRunTrue',
  /** Workers' word that they leave is ignored. */
  ignoresLeaving: 'leavingNoNewWork',
  /** A draining instance stops at once. */
  cutsOnDrain: 'gracefulShutdown',
  /** A restarted instance neither hears its peers nor the log. */
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

/** An event names its own stream's id inside; the broken variant believes that one. */
const ignoreId = (input: Extract<NodeInput, { kind: 'endpoint.chunk' }>): NodeInput =>
  ({ ...input, requestId: (JSON.parse(input.data) as { id: string }).id })

const sayNotRun = (effect: NodeEffect): NodeEffect =>
  effect.kind === 'caller.answer' && typeof effect.body === 'string' ? { ...effect, body: effect.body.replace('"outcome":"unknown"', '"outcome":"not_run"') } : effect

const tampers: Readonly<Partial<Record<Variant, Tamper>>> = {
  repeatsCutCalls: (_world, _node, input) => input.kind === 'endpoint.failed' ? { ...input, sent: false } : input,
  ignoresPositions: (world, node, input) => input.kind === 'endpoint.chunk' ? renumber(world, node, input) : input,
  ignoresRequestIds: (_world, _node, input) => input.kind === 'endpoint.chunk' ? ignoreId(input) : input,
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

const hooksOf = (variant: string, faults: Partial<FleetHooks>, world: () => World): Partial<FleetHooks> => {
  if (variant === 'claimsNotRun') return { ...faults, tamperEffect: sayNotRun }
  const tamper = tampers[variant as Variant]
  return tamper === undefined ? faults : { ...faults, tamperInput: (node, input) => tamper(world(), node, input) }
}

/**
 * Builds the scenario.
 *
 * @param hash - hash functions
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
    return checkWorld(runWorld(hash, seed, world => hooksOf(variant, inject(world), world)))
  }
})
