/** Computes the cost of one node at the design size, by feature, from the measurements and the lines fitted through them. */
import type { Point } from './fit.js'
import { fit, valueAt } from './fit.js'
import { claimedShare, entriesPerWorkspace, designSize, secondsPerDay } from './designSize.js'
import { formatNumber } from './markdown.js'
import type { Measurements } from './measurements.js'

/** The cost of one feature on one node: a row of the table. */
export interface NodeCost {
  readonly name: string
  /** The state that the node keeps for the feature. */
  readonly state: string
  /** Messages that the node sends per second. */
  readonly messages: number
  /** Bytes per second, sent and received together. */
  readonly bytes: number
  /** Processor time in microseconds per second. */
  readonly processor: number
  /** Memory in bytes. */
  readonly memory: number
  /** The source files that determine the cost, in Markdown. */
  readonly file: string
}

const ticksPerSecond = 20
/** Maximum number of workers whose cache events an instance follows, as in `cacheDefaults`. */
const followedWorkers = 32
/** Maximum memory of the cache index in bytes, as in `cacheDefaults`. */
const cacheBytes = 8 * 1_024 * 1_024
/** Time between tokens of a stream that the design is required to sustain, in seconds. */
const secondsPerToken = 0.042

/** Fits a line through a figure of the rows and returns its value at a size. */
const fittedValue = <Row>(rows: readonly Row[], sizeOf: (row: Row) => number, valueOf: (row: Row) => number, size: number): number =>
  valueAt(fit(rows.map((row): Point => ({ at: sizeOf(row), value: valueOf(row) }))), size)

const last = <Row>(rows: readonly Row[]): Row => rows[rows.length - 1]

/** The share of one node in the design size. */
const perNode = {
  requests: designSize.requestsPerSecond / designSize.nodes,
  tokens: designSize.tokensPerSecond / designSize.nodes,
  workspaces: designSize.workspaces * entriesPerWorkspace / designSize.nodes,
  blocks: designSize.blocks / designSize.nodes,
  /** Cache events per second if each event is sent to one node only. */
  eventsEach: designSize.eventsPerSecond / designSize.nodes,
  /** Cache events per second of the workers that one node follows. */
  eventsFollowed: followedWorkers * designSize.eventsPerSecond / designSize.workers
}

const membership = ({ members }: Measurements): NodeCost => {
  const { messages, bytes, processor, heap } = last(members)
  return { name: 'membership', state: `${designSize.nodes} instances`, messages, bytes, processor, memory: heap, file: '`src/membership/prober.ts`, `rumorQueue.ts`: probes that carry changes' }
}

const endpoints = ({ endpointsByInstances }: Measurements): NodeCost => {
  const { messages, bytes, processor, heap } = last(endpointsByInstances)
  return { name: 'endpoint registry', state: `${designSize.workers} endpoints, 60 in use`, messages, bytes, processor, memory: heap, file: '`src/endpoints/sharing.ts`: one owner probes, followers hear' }
}

const config = ({ propagation, fleets }: Measurements): NodeCost => {
  const { restBytes, publishBytes } = propagation[2]
  const { messages } = last(fleets)
  return { name: 'configuration', state: 'rules of 890 workspaces (in the whole node)', messages: messages.config, bytes: restBytes + publishBytes * designSize.changesPerDay / secondsPerDay, processor: 0, memory: 0, file: '`src/config/configGossip.ts`, `configPatch.ts`: versions pushed as differences; processor and memory are in the whole node' }
}

const claims = (all: Measurements): NodeCost => {
  const cost = last(all.claims)
  const calls = claimedShare * designSize.requestsPerSecond / designSize.nodes
  return {
    name: 'claims',
    state: `${formatNumber(calls)} calls/s, 5% of all`,
    messages: calls * cost.messagesPerCall,
    bytes: cost.meanBytes,
    processor: calls * cost.processorPerCall + ticksPerSecond * cost.processorPerTick,
    memory: cost.heapGrowth / cost.nodes,
    file: '`src/claims/claimsHolder.ts`, `claimsPartition.ts`: holders in front of log partitions'
  }
}

const limits = (all: Measurements): NodeCost => {
  const value = (valueOf: (cost: Measurements['limits'][number]) => number): number => fittedValue(all.limits, cost => cost.at, valueOf, perNode.workspaces)
  return {
    name: 'limits',
    state: `${formatNumber(perNode.workspaces)} workspaces`,
    messages: value(cost => cost.messages),
    bytes: value(cost => cost.bytes),
    processor: value(cost => cost.processor),
    memory: value(cost => cost.heap),
    file: '`src/limits/shareLedger.ts`: parts lent between three entries'
  }
}

/**
 * Bytes of a cache event in JSON and its processor time in the binary, including parsing, in
 * microseconds: the slopes between two rates of events. Both are 0 if processes were not measured.
 */
const eventCosts = ({ processes }: Measurements): { readonly bytes: number, readonly processor: number } => {
  const withEvents = processes.filter(({ events }) => events > 0)
  if (withEvents.length === 0) return { bytes: 0, processor: 0 }
  return {
    bytes: Math.max(0, fit(withEvents.map(cost => ({ at: cost.events, value: cost.eventBytes }))).slope),
    processor: Math.max(0, fit(withEvents.map(cost => ({ at: cost.events, value: cost.processor }))).slope)
  }
}

const cache = (all: Measurements): NodeCost => {
  const event = eventCosts(all)
  return {
    name: 'cache events, 32 workers followed (as built)',
    state: `${formatNumber(perNode.eventsFollowed)} events/s; ${formatNumber(cacheBytes)} bytes hold ${formatNumber(cacheBytes / 64 * 3)} of ${formatNumber(followedWorkers * designSize.blocks / designSize.workers)} blocks`,
    messages: 0,
    bytes: perNode.eventsFollowed * event.bytes,
    processor: perNode.eventsFollowed * event.processor,
    memory: cacheBytes,
    file: '`src/cache/cacheMachine.ts` (`maxFollowed`, `maxBytes`), `src/adapters/endpointEvents.ts`'
  }
}

const wholeNode = (all: Measurements): NodeCost => {
  const fleet = last(all.fleets)
  const measuredParts = last(all.members).processor + last(all.endpointsByInstances).processor
  return {
    name: 'the rest of a whole node (configuration, orders, ticks)',
    state: 'settings, rules, metrics',
    messages: 0,
    bytes: 0,
    processor: Math.max(0, fleet.processor - measuredParts),
    memory: Math.max(0, fleet.heap - last(all.members).heap - last(all.endpointsByInstances).heap),
    file: '`src/node/nodeMachine.ts`'
  }
}

const probing = (all: Measurements): NodeCost => {
  const withoutEvents = all.processes.filter(({ events, workers }) => events === 0 && workers > 0)
  const processorPerProbe = Math.max(0, fit(withoutEvents.map(cost => ({ at: cost.probes, value: cost.processor }))).slope)
  const probesPerSecond = last(all.endpointsByInstances).probes
  return { name: 'probes over HTTP', state: `${formatNumber(probesPerSecond)} probes/s`, messages: probesPerSecond, bytes: 0, processor: probesPerSecond * processorPerProbe, memory: 0, file: '`src/adapters/endpointHttp.ts`; bytes not measured' }
}

const runtime = ({ processes }: Measurements): NodeCost => {
  const idle = processes.find(({ name }) => name === 'entry, idle')
  return { name: 'Node.js and the binary, idle', state: 'one process, no worker', messages: 0, bytes: 0, processor: idle?.processor ?? 0, memory: idle?.resident ?? 0, file: '`scripts/build.mjs`, `src/processes/entry.ts`' }
}

/** Returns the rows of the control plane. */
export const controlCosts = (all: Measurements): readonly NodeCost[] =>
  [membership, endpoints, probing, config, claims, limits, cache, wholeNode, runtime].map(costOf => costOf(all))

/** Returns the sum of rows. */
export const totalCost = (rows: readonly NodeCost[]): NodeCost => {
  const sum = (valueOf: (row: NodeCost) => number): number => rows.reduce((total, row) => total + valueOf(row), 0)
  return { name: '**all of control**', state: '', messages: sum(row => row.messages), bytes: sum(row => row.bytes), processor: sum(row => row.processor), memory: sum(row => row.memory), file: '' }
}

/** The cost of a part of request handling on one node: a row of the table. */
export type TrafficCost = Pick<NodeCost, 'name' | 'state' | 'processor' | 'memory' | 'file'>

/** Returns the rows of request handling, which is not part of the control plane. */
export const trafficCosts = (all: Measurements): readonly TrafficCost[] => {
  const request = fit(all.requests.map(({ tokens, processor }) => ({ at: tokens, value: processor })))
  const stream = fit(all.requests.map(({ tokens, heap }) => ({ at: tokens, value: heap })))
  const tokensPerRequest = designSize.tokensPerSecond / designSize.requestsPerSecond
  const openStreams = perNode.requests * tokensPerRequest * secondsPerToken
  const choice = fittedValue(all.choices, point => point.at, point => point.value, designSize.workers)
  const event = fittedValue(all.events, point => point.at, point => point.value, perNode.blocks)
  return [
    { name: 'requests, without their tokens', state: `${formatNumber(perNode.requests)} requests/s`, processor: perNode.requests * request.intercept, memory: 0, file: '`src/requests/requestsMachine.ts`' },
    { name: 'of these, the choice of a worker', state: `${formatNumber(choice)} µs each`, processor: perNode.requests * choice, memory: 0, file: '`src/routing/routingMachine.ts`' },
    { name: 'tokens in the core', state: `${formatNumber(perNode.tokens)} tokens/s`, processor: perNode.tokens * request.slope, memory: openStreams * Math.max(0, valueAt(stream, tokensPerRequest / 2)), file: '`src/requests/modelStream.ts`, `src/streams/streamRelay.ts`' },
    { name: 'for comparison: every cache event to one node only, in the core', state: `${formatNumber(perNode.eventsEach)} events/s, ${formatNumber(perNode.blocks)} blocks`, processor: perNode.eventsEach * event, memory: fittedValue(all.blocks, point => point.at, point => point.value, perNode.blocks), file: '`src/cache/workerBlocks.ts`, `blockSet.ts`; not how it is built' }
  ]
}
