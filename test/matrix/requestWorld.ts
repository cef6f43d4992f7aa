/**
 * Runs the request scenario once: callers of one deployment, a worker that
 * leaves, new weights and an instance that drains, with injected faults.
 */
import type { Hash } from '../../src/hash.js'
import type { NodeEffect } from '../../src/node/nodeTypes.js'
import { booking, chat, type Conversation, type ReceivedAnswer } from '../fakes/fakeCaller.js'
import { epoch, idempotencyKeyAt, rulesFor, deploymentLayouts, startDeployment } from '../fakes/deployments.js'
import { noFaultHooks, type FakeFleet, type FleetHooks } from '../fakes/fakeFleet.js'

/** Observations of a run that the fakes do not record themselves. */
export interface Observations {
  /** Instances that a fault crashed, froze or restarted. */
  readonly faultedNodes: Set<string>
  /** Conversations whose connection the test closed. */
  readonly closedByTest: Set<Conversation>
  /** Answers to callers, with the times in ms at which the exchange started (`startedAt`) and ended (`at`). */
  readonly answers: { readonly conversation: Conversation, readonly answer: ReceivedAnswer, readonly node: string, readonly startedAt: number, readonly at: number }[]
  /** Configuration versions in force, in order, by instance and number of its start. */
  readonly versions: Map<string, number[]>
  /** When the drained instance starts its drain, in ms. */
  readonly drainedAt: number
  /** When the leaving worker starts to report that it is leaving, in ms. */
  readonly leavingAt: number
}

/** A run of the scenario, in progress or finished. */
export interface World {
  readonly fleet: FakeFleet
  readonly chats: readonly Conversation[]
  readonly bookings: readonly Conversation[]
  /** One chat for each instance that is not drained, sent after all faults; a serving instance answers it on the first try. */
  readonly probes: readonly Conversation[]
  readonly observations: Observations
}

/** Ids of the instances and engines of the run, of the instance that drains and of the engine that leaves. */
export const topology = {
  nodes: deploymentLayouts.harrowgate.dataCentres.map(dataCentre => `${dataCentre}-e1`),
  engines: deploymentLayouts.harrowgate.dataCentres.map(dataCentre => `${dataCentre}-w1`),
  drained: 'nm-nottingham-e1',
  leaving: 'nm-nottingham-w1'
} as const

/** Times after the epoch, in ms; no fault is injected after `faultsEnd`, and all have ended at `probe`. */
export const times = { leave: 1_400, drain: 1_500, weights: 1_800, faultsEnd: 6_000, probe: 11_000, end: 14_500 } as const

const tokens = 20
const publisherNode = 'nm-derby-e1'

/** Start times of the chats, in ms after the epoch, and indexes of the instances that receive them. */
const chatSchedule = [
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

/** The same for the bookings; those with equal `key` share their idempotency key. */
const bookingSchedule = [
  { at: 1_100, node: 0, key: 1 },
  { at: 1_460, node: 2, key: 2 },
  { at: 1_700, node: 1, key: 3 },
  // The caller of the first booking repeats it at another instance.
  { at: 3_000, node: 1, key: 1 }
] as const

const promptFor = (name: string): string[] => [`guidance of ${name} `.repeat(30), `listing of ${name}`]

/**
 * Returns the prompt text that an engine receives for a chat.
 *
 * @param conversation - the chat
 */
export const promptOf = (conversation: Conversation): string => promptFor(conversation.name).join('\n')

/** Number of tokens in the answer to every chat. */
export const chatTokens = tokens

const createObservers = (observations: Observations, fleet: () => FakeFleet, startTimes: Map<Conversation, number>): Pick<FleetHooks, 'onAnswer'> & { readonly onEffect: FleetHooks['onEffect'] } => ({
  onAnswer: (conversation, answer, node) => {
    const now = fleet().time.now()
    observations.answers.push({ conversation, answer, node, startedAt: startTimes.get(conversation) ?? 0, at: now })
    startTimes.set(conversation, now)
  },
  onEffect: (node: string, effect: NodeEffect) => {
    if (effect.kind !== 'node.changed' || effect.change.kind !== 'configInForce') return
    const start = `${node}/${fleet().nodes.get(node)?.starts}`
    observations.versions.set(start, [...(observations.versions.get(start) ?? []), effect.change.version])
  }
})

/** Creates the hooks that a fault plan adds to a run. */
export type CreateFaultHooks = (world: () => World) => Partial<FleetHooks>

const schedule = (fleet: FakeFleet, at: number, action: () => void): void => fleet.time.at(epoch + at, action)

const scheduleEvents = (fleet: FakeFleet): void => {
  schedule(fleet, times.leave, () => {
    const engine = fleet.engines.get(topology.leaving)
    if (engine !== undefined) engine.leaving = true
  })
  schedule(fleet, times.drain, () => fleet.feed(topology.drained, { kind: 'drain.start' }))
  schedule(fleet, times.weights, () => fleet.publish(publisherNode, 1, rulesFor(deploymentLayouts.harrowgate.workspaces, '8'), 'Ines'))
}

/**
 * Runs the scenario.
 *
 * @param hash - hash functions
 * @param seed - seed of all random sources
 * @param createFaultHooks - creates the hooks that inject the faults
 * @param note - receives the transcript line by line
 * @returns the finished run
 */
export const runWorld = (hash: Hash, seed: number, createFaultHooks: CreateFaultHooks, note: (line: string) => void = () => {}): World => {
  const observations: Observations = { faultedNodes: new Set(), closedByTest: new Set(), answers: [], versions: new Map(), drainedAt: epoch + times.drain, leavingAt: epoch + times.leave }
  const startTimes = new Map<Conversation, number>()
  const holder: { world?: World } = {}
  const current = (): World => holder.world as World
  const faultHooks = createFaultHooks(current)
  const observers = createObservers(observations, () => current().fleet, startTimes)
  let started = false
  const hooks: FleetHooks = {
    ...noFaultHooks,
    ...faultHooks,
    onInput: (node, input) => { if (started) faultHooks.onInput?.(node, input) },
    onEffect: (node, effect) => {
      if (started) {
        observers.onEffect(node, effect)
        faultHooks.onEffect?.(node, effect)
      }
    },
    logFault: (node, effect) => started ? faultHooks.logFault?.(node, effect) ?? 'none' : 'none',
    peerDelivery: (from, to) => started ? faultHooks.peerDelivery?.(from, to) ?? 'deliver' : 'deliver',
    tamperInput: (node, input) => started ? faultHooks.tamperInput?.(node, input) ?? input : input,
    tamperEffect: effect => started ? faultHooks.tamperEffect?.(effect) ?? effect : effect,
    listFault: () => started ? faultHooks.listFault?.() ?? 'none' : 'none',
    onAnswer: observers.onAnswer,
    note
  }
  const fleet = startDeployment(hash, 'harrowgate', seed, hooks, 'drafter@7,drafter@8')
  const chats = chatSchedule.map(({ node }, index) => chat({ name: `chat${index + 1}@${node}`, workspace: 'listings', prompt: promptFor(`chat${index + 1}@${node}`), tokens, stream: index !== 1 }))
  const bookings = bookingSchedule.map(({ node, key }, index) => booking(`booking${index + 1}@${node}`, 'viewings', idempotencyKeyAt(epoch + 1_000, key)))
  const probes = topology.nodes.slice(0, 2).map((_, node) => chat({ name: `probe${node + 1}@${node}`, workspace: 'listings', prompt: promptFor(`probe${node + 1}@${node}`), tokens }))
  const world: World = { fleet, chats, bookings, probes, observations }
  holder.world = world
  started = true
  const scheduleCall = (at: number, conversation: Conversation, node: number): void => schedule(fleet, at, () => {
    startTimes.set(conversation, fleet.time.now())
    fleet.call(conversation, topology.nodes[node])
  })
  chats.forEach((conversation, index) => scheduleCall(chatSchedule[index].at, conversation, chatSchedule[index].node))
  bookings.forEach((conversation, index) => scheduleCall(bookingSchedule[index].at, conversation, bookingSchedule[index].node))
  probes.forEach((conversation, node) => scheduleCall(times.probe, conversation, node))
  scheduleEvents(fleet)
  fleet.time.runUntil(epoch + times.end)
  return world
}
