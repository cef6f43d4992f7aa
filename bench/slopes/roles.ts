/** What one node costs at the size to design for, by feature, worked out from the slopes. */
import type { Point } from './fit.js'
import { fit, valueAt } from './fit.js'
import { claimedPart, entriesPerWorkspace, letter, secondsPerDay } from './letter.js'
import { digits } from './markdown.js'
import type { Measurements } from './measurements.js'

/** One feature at one node. */
export interface Role {
  readonly name: string
  readonly state: string
  readonly messages: number
  readonly bytes: number
  readonly processor: number
  readonly memory: number
  readonly file: string
}

const ticksPerSecond = 20
/** Workers that an instance follows at most, as `cacheDefaults` says. */
const followed = 32
const cacheBytes = 8 * 1_024 * 1_024
/** Seconds between tokens that the letter asks for. */
const gapBetweenTokens = 0.042

const at = <Row>(rows: readonly Row[], place: (row: Row) => number, value: (row: Row) => number, where: number): number =>
  valueAt(fit(rows.map((row): Point => ({ at: place(row), value: value(row) }))), where)

const last = <Row>(rows: readonly Row[]): Row => rows[rows.length - 1]

const perNode = {
  requests: letter.requestsPerSecond / letter.nodes,
  tokens: letter.tokensPerSecond / letter.nodes,
  workspaces: letter.workspaces * entriesPerWorkspace / letter.nodes,
  blocks: letter.blocks / letter.nodes,
  eventsEach: letter.eventsPerSecond / letter.nodes,
  eventsFollowed: followed * letter.eventsPerSecond / letter.workers
}

const membership = ({ members }: Measurements): Role => {
  const { messages, bytes, processor, heap } = last(members)
  return { name: 'membership', state: `${letter.nodes} instances`, messages, bytes, processor, memory: heap, file: '`src/membership/prober.ts`, `rumorQueue.ts`: probes that carry changes' }
}

const endpoints = ({ endpointsByInstances }: Measurements): Role => {
  const { messages, bytes, processor, heap } = last(endpointsByInstances)
  return { name: 'endpoint registry', state: `${letter.workers} endpoints, 60 in use`, messages, bytes, processor, memory: heap, file: '`src/endpoints/sharing.ts`: one owner probes, followers hear' }
}

const config = ({ force, fleets }: Measurements): Role => {
  const { restBytes, publishBytes } = force[2]
  const { messages } = last(fleets)
  return { name: 'configuration', state: 'rules of 890 workspaces (in the whole node)', messages: messages.config, bytes: restBytes + publishBytes * letter.changesPerDay / secondsPerDay, processor: 0, memory: 0, file: '`src/config/configSpreader.ts`, `configPatch.ts`: versions pushed as differences; processor and memory are in the whole node' }
}

const claims = (all: Measurements): Role => {
  const cost = last(all.claims)
  const calls = claimedPart * letter.requestsPerSecond / letter.nodes
  return {
    name: 'claims',
    state: `${digits(calls)} calls/s, 5% of all`,
    messages: calls * cost.messagesPerCall,
    bytes: cost.meanBytes,
    processor: calls * cost.processorPerCall + ticksPerSecond * cost.processorPerTick,
    memory: cost.heapGrowth / cost.nodes,
    file: '`src/claims/claimsHolder.ts`, `claimsPartition.ts`: holders in front of log partitions'
  }
}

const limits = (all: Measurements): Role => {
  const value = (of: (cost: Measurements['limits'][number]) => number): number => at(all.limits, cost => cost.at, of, perNode.workspaces)
  return {
    name: 'limits',
    state: `${digits(perNode.workspaces)} workspaces`,
    messages: value(cost => cost.messages),
    bytes: value(cost => cost.bytes),
    processor: value(cost => cost.processor),
    memory: value(cost => cost.heap),
    file: '`src/limits/shareLedger.ts`: parts lent between three entries'
  }
}

/** Bytes of a cache event in JSON, and its processor time in the binary with parsing, from two rates of events. */
const eventCosts = ({ processes }: Measurements): { readonly bytes: number, readonly processor: number } => {
  const busy = processes.filter(({ events }) => events > 0)
  if (busy.length === 0) return { bytes: 0, processor: 0 }
  return {
    bytes: Math.max(0, fit(busy.map(cost => ({ at: cost.events, value: cost.eventBytes }))).slope),
    processor: Math.max(0, fit(busy.map(cost => ({ at: cost.events, value: cost.processor }))).slope)
  }
}

const cache = (all: Measurements): Role => {
  const event = eventCosts(all)
  return {
    name: 'cache events, 32 workers followed (as built)',
    state: `${digits(perNode.eventsFollowed)} events/s; ${digits(cacheBytes)} bytes hold ${digits(cacheBytes / 64 * 3)} of ${digits(followed * letter.blocks / letter.workers)} blocks`,
    messages: 0,
    bytes: perNode.eventsFollowed * event.bytes,
    processor: perNode.eventsFollowed * event.processor,
    memory: cacheBytes,
    file: '`src/cache/cacheMachine.ts` (`maxFollowed`, `maxBytes`), `src/adapters/endpointEvents.ts`'
  }
}

const wholeNode = (all: Measurements): Role => {
  const fleet = last(all.fleets)
  const parts = last(all.members).processor + last(all.endpointsByInstances).processor
  return {
    name: 'the rest of a whole node (configuration, orders, ticks)',
    state: 'settings, rules, metrics',
    messages: 0,
    bytes: 0,
    processor: Math.max(0, fleet.processor - parts),
    memory: Math.max(0, fleet.heap - last(all.members).heap - last(all.endpointsByInstances).heap),
    file: '`src/node/nodeMachine.ts`'
  }
}

const probing = (all: Measurements): Role => {
  const quiet = all.processes.filter(({ events, workers }) => events === 0 && workers > 0)
  const each = Math.max(0, fit(quiet.map(cost => ({ at: cost.probes, value: cost.processor }))).slope)
  const rate = last(all.endpointsByInstances).probes
  return { name: 'probes over HTTP', state: `${digits(rate)} probes/s`, messages: rate, bytes: 0, processor: rate * each, memory: 0, file: '`src/adapters/endpointHttp.ts`; bytes not measured' }
}

const runtime = ({ processes }: Measurements): Role => {
  const idle = processes.find(({ name }) => name === 'entry, idle')
  return { name: 'Node.js and the binary, idle', state: 'one process, no worker', messages: 0, bytes: 0, processor: idle?.processor ?? 0, memory: idle?.resident ?? 0, file: '`scripts/build.mjs`, `src/processes/entry.ts`' }
}

/** The rows of control. */
export const rolesOf = (all: Measurements): readonly Role[] =>
  [membership, endpoints, probing, config, claims, limits, cache, wholeNode, runtime].map(role => role(all))

/** Everything together. */
export const sumOf = (rows: readonly Role[]): Role => {
  const sum = (of: (row: Role) => number): number => rows.reduce((total, row) => total + of(row), 0)
  return { name: '**all of control**', state: '', messages: sum(row => row.messages), bytes: sum(row => row.bytes), processor: sum(row => row.processor), memory: sum(row => row.memory), file: '' }
}

/** A part of the traffic itself. */
export type Traffic = Pick<Role, 'name' | 'state' | 'processor' | 'memory' | 'file'>

/** The rows of traffic. */
export const trafficOf = (all: Measurements): readonly Traffic[] => {
  const request = fit(all.requests.map(({ tokens, processor }) => ({ at: tokens, value: processor })))
  const stream = fit(all.requests.map(({ tokens, heap }) => ({ at: tokens, value: heap })))
  const length = letter.tokensPerSecond / letter.requestsPerSecond
  const open = perNode.requests * length * gapBetweenTokens
  const choice = at(all.choices, point => point.at, point => point.value, letter.workers)
  const event = at(all.events, point => point.at, point => point.value, perNode.blocks)
  return [
    { name: 'requests, without their tokens', state: `${digits(perNode.requests)} requests/s`, processor: perNode.requests * request.intercept, memory: 0, file: '`src/requests/requestsMachine.ts`' },
    { name: 'of these, the choice of a worker', state: `${digits(choice)} µs each`, processor: perNode.requests * choice, memory: 0, file: '`src/routing/routingMachine.ts`' },
    { name: 'tokens in the core', state: `${digits(perNode.tokens)} tokens/s`, processor: perNode.tokens * request.slope, memory: open * Math.max(0, valueAt(stream, length / 2)), file: '`src/requests/modelStream.ts`, `src/streams/streamRelay.ts`' },
    { name: 'for comparison: every cache event to one node only, in the core', state: `${digits(perNode.eventsEach)} events/s, ${digits(perNode.blocks)} blocks`, processor: perNode.eventsEach * event, memory: at(all.blocks, point => point.at, point => point.value, perNode.blocks), file: '`src/cache/workerBlocks.ts`, `blockSet.ts`; not how it is built' }
  ]
}
