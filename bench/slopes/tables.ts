/** The tables of the page, from the measurements. */
import type { Point } from './fit.js'
import { fit } from './fit.js'
import { budget, letter } from './letter.js'
import { against, digits, megabytes, table } from './markdown.js'
import type { FeatureCost } from './memberLosses.js'
import type { Measurements } from './measurements.js'
import { rolesOf, sumOf, trafficOf } from './roles.js'

const slopeOf = <Row>(rows: readonly Row[], at: (row: Row) => number, value: (row: Row) => number): string => {
  const { slope, intercept } = fit(rows.map((row): Point => ({ at: at(row), value: value(row) })))
  return `${digits(intercept)} + ${digits(slope)} n`
}

const costColumns = ['messages/s', 'bytes/s, both ways', 'µs of processor in a second', 'heap, MB']
const costCells = ({ messages, bytes, processor, heap }: FeatureCost): readonly (string | number)[] => [messages, bytes, processor, megabytes(heap)]

const costTable = (heading: string, unit: string, costs: readonly FeatureCost[]): string => {
  const line = ['least squares', ...([cost => cost.messages, cost => cost.bytes, cost => cost.processor, cost => cost.heap / 1_048_576] as readonly ((cost: FeatureCost) => number)[])
    .map(value => slopeOf(costs, ({ at }) => at, value))]
  return table(heading, [unit, ...costColumns], [...costs.map(cost => [cost.at, ...costCells(cost)]), line])
}

const pointTable = (heading: string, unit: string, of: string, points: readonly Point[]): string =>
  table(heading, [unit, of], [...points.map(({ at, value }) => [at, value]), ['least squares', slopeOf(points, ({ at }) => at, ({ value }) => value)]])

const roleTables = (all: Measurements): readonly string[] => {
  const rows = rolesOf(all)
  const sum = sumOf(rows)
  const columns = ['feature', 'state at a node', 'messages/s', 'bytes/s', 'processor, µs/s', 'memory, MB', 'carried by', 'bytes against 23 KB/s', 'processor against 1.2%', 'memory against 64 MB']
  const cells = (row: typeof sum): readonly (string | number)[] => [
    row.name, row.state, row.messages, row.bytes, row.processor, megabytes(row.memory), row.file,
    against(row.bytes, budget.bytes), against(row.processor, budget.processor), against(row.memory, budget.memory)
  ]
  const traffic = trafficOf(all)
  return [
    table('One node at the size of the letter, by feature of control', columns, [...rows, sum].map(cells)),
    table('One node at the size of the letter, traffic itself (not control)', ['part', 'at a node', 'processor, µs/s', 'part of a core', 'memory, MB', 'carried by'], traffic.map(row =>
      [row.name, row.state, row.processor, `${digits(row.processor / 10_000)}%`, megabytes(row.memory), row.file]))
  ]
}

const fleetTable = ({ fleets }: Measurements): string => {
  const features = [...new Set(fleets.flatMap(({ messages }) => Object.keys(messages)))]
  const sum = (rates: Readonly<Record<string, number>>): number => Object.values(rates).reduce((total, rate) => total + rate, 0)
  return table('Whole nodes at rest in one virtual time: 600 workers, rules of 890 workspaces, no requests',
    ['instances', ...features.map(feature => `${feature}, messages/s`), 'bytes/s, both ways', 'probes/s', 'log operations/s', 'µs of processor in a second', 'heap, MB', 'first publish in force, ms', 'second publish in force, ms'],
    fleets.map(fleet => [fleet.nodes, ...features.map(feature => fleet.messages[feature] ?? 0), sum(fleet.bytes), fleet.probes, fleet.logOperations, fleet.processor, megabytes(fleet.heap), ...fleet.force]))
}

const forceTable = ({ force }: Measurements): string => table('Configuration: time to force, against 4 s',
  ['instances', 'cannot reach the log', 'messages lost', 'publishes accepted of 6', 'worst time to force, ms', 'against 4 s', 'bytes/s at rest, both ways', 'bytes of a publish at a node'],
  force.map(({ size, logAway, loss, accepted, delays, restBytes, publishBytes }) => {
    const worst = Math.max(...delays)
    return [size, `${100 * logAway}%`, `${100 * loss}%`, accepted, worst, against(worst, budget.force), restBytes, publishBytes]
  }))

const claimsTable = ({ claims }: Measurements): string => table('Claims, by instances and calls that may not be repeated',
  ['instances', 'calls/s', 'appends/s of the fleet', 'log reads/s of the fleet', 'messages per call', 'bytes/s of a node, mean', 'of the busiest node', 'µs per call, whole fleet', 'µs per tick of a node'],
  claims.map(cost => [cost.nodes, cost.calls, cost.appends, cost.reads, cost.messagesPerCall, cost.meanBytes, cost.mostBytes, cost.processorPerCall, cost.processorPerTick]))

const processTable = ({ processes }: Measurements): string => table('Processes, read from /proc',
  ['process', 'workers', 'resident, MB', 'anonymous, MB', 'resident against 64 MB', 'µs of processor in a second', 'probes/s', 'cache events/s', 'bytes/s of event bodies'],
  processes.map(cost => [cost.name, cost.workers, megabytes(cost.resident), megabytes(cost.anonymous), against(cost.resident, budget.memory), cost.processor, cost.probes, cost.events, cost.eventBytes]))

const lossTable = ({ losses }: Measurements): string => table(`Losses at ${letter.nodes} instances, membership alone`,
  ['what happens', 'instances', 'known to all after, ms', 'bytes/s of a node meanwhile', 'µs of processor in a second meanwhile'],
  losses.map(({ name, lost, known, bytes, processor }) => [name, lost, known, bytes, processor]))

/**
 * All tables as markdown.
 *
 * @param all - the measurements
 */
export const tablesOf = (all: Measurements): string => [
  ...roleTables(all),
  processTable(all),
  fleetTable(all),
  forceTable(all),
  lossTable(all),
  costTable('Membership, by instances (n)', 'instances', all.members),
  costTable('Endpoint registry, by instances (n): 600 workers, 60 used by each', 'instances', all.endpointsByInstances),
  costTable('Endpoint registry, by workers (n): 40 instances, 20 workers used by each', 'workers', all.endpointsByWorkers),
  costTable('Endpoint registry, by workers used by each instance (n): 40 instances, 600 workers', 'used', all.endpointsByUse),
  costTable('Limits, by workspaces that an entry serves (n): 160 entries, 20 requests/s each', 'workspaces', all.limits),
  claimsTable(all),
  pointTable('A cache event in the core, by blocks known of its worker (n)', 'blocks', 'µs', all.events),
  pointTable('Block sets, by blocks (n)', 'blocks', 'bytes', all.blocks),
  pointTable('Choice of a worker with its bookkeeping, by workers (n)', 'workers', 'µs', all.choices),
  table('A request in the core with 600 workers, by tokens of its answer (n)', ['tokens', 'µs', 'heap of an open stream, bytes'],
    [...all.requests.map(({ tokens, processor, heap }) => [tokens, processor, heap]),
      ['least squares', slopeOf(all.requests, ({ tokens }) => tokens, ({ processor }) => processor), slopeOf(all.requests, ({ tokens }) => tokens, ({ heap }) => heap)]])
].join('\n')
