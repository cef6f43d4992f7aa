/** Formats the tables that the capacity benchmark prints. */
import type { Point } from './fit.js'
import { fit } from './fit.js'
import { nodeBudget, designSize } from './designSize.js'
import { compareToBudget, formatNumber, formatMegabytes, formatTable } from './markdown.js'
import type { FeatureCost } from './membershipFleet.js'
import type { Measurements } from './measurements.js'
import { controlCosts, totalCost, trafficCosts } from './nodeCost.js'

/** Fits a line through a figure of the rows and formats it as `intercept + slope n`. */
const leastSquares = <Row>(rows: readonly Row[], at: (row: Row) => number, value: (row: Row) => number): string => {
  const { slope, intercept } = fit(rows.map((row): Point => ({ at: at(row), value: value(row) })))
  return `${formatNumber(intercept)} + ${formatNumber(slope)} n`
}

const costColumns = ['messages/s', 'bytes/s, both ways', 'µs of processor in a second', 'heap, MB']
const costCells = ({ messages, bytes, processor, heap }: FeatureCost): readonly (string | number)[] => [messages, bytes, processor, formatMegabytes(heap)]

const costTable = (heading: string, sizeName: string, costs: readonly FeatureCost[]): string => {
  const fitted = ['least squares', ...([cost => cost.messages, cost => cost.bytes, cost => cost.processor, cost => cost.heap / 1_048_576] as readonly ((cost: FeatureCost) => number)[])
    .map(value => leastSquares(costs, ({ at }) => at, value))]
  return formatTable(heading, [sizeName, ...costColumns], [...costs.map(cost => [cost.at, ...costCells(cost)]), fitted])
}

const pointTable = (heading: string, sizeName: string, valueName: string, points: readonly Point[]): string =>
  formatTable(heading, [sizeName, valueName], [...points.map(({ at, value }) => [at, value]), ['least squares', leastSquares(points, ({ at }) => at, ({ value }) => value)]])

const nodeCostTables = (all: Measurements): readonly string[] => {
  const rows = controlCosts(all)
  const sum = totalCost(rows)
  const columns = ['feature', 'state at a node', 'messages/s', 'bytes/s', 'processor, µs/s', 'memory, MB', 'carried by', 'bytes against 23 KB/s', 'processor against 1.2%', 'memory against 64 MB']
  const cells = (row: typeof sum): readonly (string | number)[] => [
    row.name, row.state, row.messages, row.bytes, row.processor, formatMegabytes(row.memory), row.file,
    compareToBudget(row.bytes, nodeBudget.bytes), compareToBudget(row.processor, nodeBudget.processor), compareToBudget(row.memory, nodeBudget.memory)
  ]
  const traffic = trafficCosts(all)
  return [
    formatTable('One node at the size of the letter, by feature of control', columns, [...rows, sum].map(cells)),
    formatTable('One node at the size of the letter, traffic itself (not control)', ['part', 'at a node', 'processor, µs/s', 'part of a core', 'memory, MB', 'carried by'], traffic.map(row =>
      [row.name, row.state, row.processor, `${formatNumber(row.processor / 10_000)}%`, formatMegabytes(row.memory), row.file]))
  ]
}

const fleetTable = ({ fleets }: Measurements): string => {
  const features = [...new Set(fleets.flatMap(({ messages }) => Object.keys(messages)))]
  const sum = (rates: Readonly<Record<string, number>>): number => Object.values(rates).reduce((total, rate) => total + rate, 0)
  return formatTable('Whole nodes at rest in one virtual time: 600 workers, rules of 890 workspaces, no requests',
    ['instances', ...features.map(feature => `${feature}, messages/s`), 'bytes/s, both ways', 'probes/s', 'log operations/s', 'µs of processor in a second', 'heap, MB', 'first publish in force, ms', 'second publish in force, ms'],
    fleets.map(fleet => [fleet.nodes, ...features.map(feature => fleet.messages[feature] ?? 0), sum(fleet.bytes), fleet.probes, fleet.logOperations, fleet.processor, formatMegabytes(fleet.heap), ...fleet.publishDelays]))
}

const propagationTable = ({ propagation }: Measurements): string => formatTable('Configuration: time to force, against 4 s',
  ['instances', 'cannot reach the log', 'messages lost', 'publishes accepted of 6', 'worst time to force, ms', 'against 4 s', 'bytes/s at rest, both ways', 'bytes of a publish at a node'],
  propagation.map(({ size, logAway, loss, accepted, delays, restBytes, publishBytes }) => {
    const worstDelay = Math.max(...delays)
    return [size, `${100 * logAway}%`, `${100 * loss}%`, accepted, worstDelay, compareToBudget(worstDelay, nodeBudget.propagation), restBytes, publishBytes]
  }))

const claimsTable = ({ claims }: Measurements): string => formatTable('Claims, by instances and calls that may not be repeated',
  ['instances', 'calls/s', 'appends/s of the fleet', 'log reads/s of the fleet', 'messages per call', 'bytes/s of a node, mean', 'of the busiest node', 'µs per call, whole fleet', 'µs per tick of a node'],
  claims.map(cost => [cost.nodes, cost.calls, cost.appends, cost.reads, cost.messagesPerCall, cost.meanBytes, cost.busiestBytes, cost.processorPerCall, cost.processorPerTick]))

const processTable = ({ processes }: Measurements): string => formatTable('Processes, read from /proc',
  ['process', 'workers', 'resident, MB', 'anonymous, MB', 'resident against 64 MB', 'µs of processor in a second', 'probes/s', 'cache events/s', 'bytes/s of event bodies'],
  processes.map(cost => [cost.name, cost.workers, formatMegabytes(cost.resident), formatMegabytes(cost.anonymous), compareToBudget(cost.resident, nodeBudget.memory), cost.processor, cost.probes, cost.events, cost.eventBytes]))

const convergenceTable = ({ membershipChanges }: Measurements): string => formatTable(`Losses at ${designSize.nodes} instances, membership alone`,
  ['what happens', 'instances', 'known to all after, ms', 'bytes/s of a node meanwhile', 'µs of processor in a second meanwhile'],
  membershipChanges.map(({ name, lost, convergenceTime, bytes, processor }) => [name, lost, convergenceTime, bytes, processor]))

/**
 * Formats all tables as Markdown.
 *
 * @param all - the measurements
 * @returns the tables, each under a third-level heading
 */
export const tablesOf = (all: Measurements): string => [
  ...nodeCostTables(all),
  processTable(all),
  fleetTable(all),
  propagationTable(all),
  convergenceTable(all),
  costTable('Membership, by instances (n)', 'instances', all.members),
  costTable('Endpoint registry, by instances (n): 600 workers, 60 used by each', 'instances', all.endpointsByInstances),
  costTable('Endpoint registry, by workers (n): 40 instances, 20 workers used by each', 'workers', all.endpointsByWorkers),
  costTable('Endpoint registry, by workers used by each instance (n): 40 instances, 600 workers', 'used', all.endpointsByUse),
  costTable('Limits, by workspaces that an entry serves (n): 160 entries, 20 requests/s each', 'workspaces', all.limits),
  claimsTable(all),
  pointTable('A cache event in the core, by blocks known of its worker (n)', 'blocks', 'µs', all.events),
  pointTable('Block sets, by blocks (n)', 'blocks', 'bytes', all.blocks),
  pointTable('Choice of a worker with its bookkeeping, by workers (n)', 'workers', 'µs', all.choices),
  formatTable('A request in the core with 600 workers, by tokens of its answer (n)', ['tokens', 'µs', 'heap of an open stream, bytes'],
    [...all.requests.map(({ tokens, processor, heap }) => [tokens, processor, heap]),
      ['least squares', leastSquares(all.requests, ({ tokens }) => tokens, ({ processor }) => processor), leastSquares(all.requests, ({ tokens }) => tokens, ({ heap }) => heap)]])
].join('\n')
