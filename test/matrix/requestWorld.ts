/**
 * One run of the request scenario: callers of one deployment, a worker that
 * leaves, new weights and an instance that drains, with faults on top.
 */
import type { Hash } from '../../src/hash.js'
import type { NodeEffect } from '../../src/node/nodeTypes.js'
import { booking, chat, type Conversation, type ReceivedAnswer } from '../fakes/fakeCaller.js'
import { epoch, idempotencyKeyAt, rulesFor, deploymentLayouts, startDeployment } from '../fakes/deployments.js'
import { noFaultHooks, type FakeFleet, type FleetHooks } from '../fakes/fakeFleet.js'

/** What was seen besides the fakes' own records. */
export interface Observations {
  /** Instances that were made to fail, hang or restart. */
  readonly faultedNodes: Set<string>
  /** Conversations whose connection the test itself broke. */
  readonly closedByTest: Set<Conversation>
  readonly answers: { readonly conversation: Conversation, readonly heard: ReceivedAnswer, readonly node: string, readonly begun: number, readonly at: number }[]
  /** Versions in force, by start of an instance. */
  readonly versions: Map<string, number[]>
  readonly drainedAt: number
  readonly leavingAt: number
}

/** A finished or running run. */
export interface World {
  readonly fleet: FakeFleet
  readonly chats: readonly Conversation[]
  readonly bookings: readonly Conversation[]
  /** Sent to each instance after all faults, and answered on the first try if it serves. */
  readonly probes: readonly Conversation[]
  readonly observations: Observations
}

/** Names of the run's parts. */
export const topology = {
  nodes: deploymentLayouts.harrowgate.dataCentres.map(dataCentre => `${dataCentre}-e1`),
  engines: deploymentLayouts.harrowgate.dataCentres.map(dataCentre => `${dataCentre}-w1`),
  drained: 'nm-nottingham-e1',
  leaving: 'nm-nottingham-w1'
} as const

/** Times after the epoch, in ms; no fault strikes after `quiet`, and all have healed at `probe`. */
export const times = { leave: 1_400, drain: 1_500, weights: 1_800, faultsEnd: 6_000, probe: 11_000, end: 14_500 } as const

const tokens = 20
const trial = 'nm-derby-e1'

/** Begun at these times, in ms after the epoch, at these instances. */
const chatOrders = [
  { at: 1_050, node: 0 },
  { at: 1_300, node: 1 },
  { at: 1_420, node: 2 },
  { at: 1_750, node: 0 },
  { at: 5_600, node: 1 },
  { at: 5_620, node: 0 },
  { at: 5_640, node: 1 },
  { at: 5_660, node: 0 },
  { at: 5_680, node: 1 }
] as const

const bookingOrders = [
  { at: 1_100, node: 0, key: 1 },
  { at: 1_460, node: 2, key: 2 },
  { at: 1_700, node: 1, key: 3 },
  // The caller of the first booking asks again elsewhere.
  { at: 3_000, node: 1, key: 1 }
] as const

const promptFor = (name: string): string[] => [`guidance of ${name} `.repeat(30), `listing of ${name}`]

/**
 * The prompt's text as an engine sees it.
 *
 * @param conversation - a chat
 */
export const promptOf = (conversation: Conversation): string => promptFor(conversation.name).join('\n')

/** Tokens of every chat. */
export const chatTokens = tokens

const watch = (sightings: Observations, fleet: () => FakeFleet, begun: Map<Conversation, number>): Pick<FleetHooks, 'onHeard'> & { readonly onEffect: FleetHooks['onEffect'] } => ({
  onHeard: (conversation, heard, node) => {
    const now = fleet().time.now()
    sightings.answers.push({ conversation, heard, node, begun: begun.get(conversation) ?? 0, at: now })
    begun.set(conversation, now)
  },
  onEffect: (node: string, effect: NodeEffect) => {
    if (effect.kind !== 'node.changed' || effect.change.kind !== 'configInForce') return
    const start = `${node}/${fleet().nodes.get(node)?.starts}`
    sightings.versions.set(start, [...(sightings.versions.get(start) ?? []), effect.change.version])
  }
})

/** Hooks that a fault plan adds to a run. */
export type CreateFaultHooks = (world: () => World) => Partial<FleetHooks>

const schedule = (fleet: FakeFleet, at: number, action: () => void): void => fleet.time.at(epoch + at, action)

const scheduleEvents = (fleet: FakeFleet): void => {
  schedule(fleet, times.leave, () => {
    const engine = fleet.engines.get(topology.leaving)
    if (engine !== undefined) engine.leaving = true
  })
  schedule(fleet, times.drain, () => fleet.feed(topology.drained, { kind: 'drain.start' }))
  schedule(fleet, times.weights, () => fleet.publish(trial, 1, rulesFor(deploymentLayouts.harrowgate.workspaces, '8'), 'Ines'))
}

/**
 * Runs the scenario.
 *
 * @param hash - hash functions
 * @param seed - of all chance
 * @param disturbance - the faults
 * @param note - gets the transcript, a line at a time
 * @returns the run, over
 */
export const runWorld = (hash: Hash, seed: number, disturbance: CreateFaultHooks, note: (line: string) => void = () => {}): World => {
  const sightings: Observations = { faultedNodes: new Set(), closedByTest: new Set(), answers: [], versions: new Map(), drainedAt: epoch + times.drain, leavingAt: epoch + times.leave }
  const begun = new Map<Conversation, number>()
  const holder: { world?: World } = {}
  const current = (): World => holder.world as World
  const faults = disturbance(current)
  const watching = watch(sightings, () => current().fleet, begun)
  let armed = false
  const hooks: FleetHooks = {
    ...noFaultHooks,
    ...faults,
    onInput: (node, input) => { if (armed) faults.onInput?.(node, input) },
    onEffect: (node, effect) => {
      if (armed) {
        watching.onEffect(node, effect)
        faults.onEffect?.(node, effect)
      }
    },
    logFault: (node, effect) => armed ? faults.logFault?.(node, effect) ?? 'none' : 'none',
    peerDelivery: (from, to) => armed ? faults.peerDelivery?.(from, to) ?? 'deliver' : 'deliver',
    tamperInput: (node, input) => armed ? faults.tamperInput?.(node, input) ?? input : input,
    tamperEffect: effect => armed ? faults.tamperEffect?.(effect) ?? effect : effect,
    listFault: () => armed ? faults.listFault?.() ?? 'none' : 'none',
    onHeard: watching.onHeard,
    note
  }
  const fleet = startDeployment(hash, 'harrowgate', seed, hooks, 'drafter@7,drafter@8')
  const chats = chatOrders.map(({ node }, index) => chat({ name: `chat${index + 1}@${node}`, workspace: 'listings', prompt: promptFor(`chat${index + 1}@${node}`), tokens, stream: index !== 1 }))
  const bookings = bookingOrders.map(({ node, key }, index) => booking(`booking${index + 1}@${node}`, 'viewings', idempotencyKeyAt(epoch + 1_000, key)))
  const probes = topology.nodes.slice(0, 2).map((_, node) => chat({ name: `probe${node + 1}@${node}`, workspace: 'listings', prompt: promptFor(`probe${node + 1}@${node}`), tokens }))
  const world: World = { fleet, chats, bookings, probes, observations: sightings }
  holder.world = world
  armed = true
  const begin = (at: number, conversation: Conversation, node: number): void => schedule(fleet, at, () => {
    begun.set(conversation, fleet.time.now())
    fleet.call(conversation, topology.nodes[node])
  })
  chats.forEach((conversation, index) => begin(chatOrders[index].at, conversation, chatOrders[index].node))
  bookings.forEach((conversation, index) => begin(bookingOrders[index].at, conversation, bookingOrders[index].node))
  probes.forEach((conversation, node) => begin(times.probe, conversation, node))
  scheduleEvents(fleet)
  fleet.time.runUntil(epoch + times.end)
  return world
}
