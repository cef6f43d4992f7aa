/** Formats the results of the policy bench as Markdown tables and pages. */
import type { Deployment } from './benchTypes.js'
import type { Figures } from './metrics.js'
import type { Results } from './results.js'
import { baselineNames, ownPolicyName } from './results.js'
import type { Verdict } from './verdicts.js'

/** A column of the workload tables. */
interface Column {
  readonly title: string
  readonly figure: keyof Figures
  readonly digits: number
}

const columns: readonly Column[] = [
  { title: 'hit rate', figure: 'hitRate', digits: 3 },
  { title: 'p50 ms', figure: 'ttftP50', digits: 0 },
  { title: 'p95 ms', figure: 'ttftP95', digits: 0 },
  { title: 'p99 ms', figure: 'ttftP99', digits: 0 },
  { title: 'recomputed ktok', figure: 'recomputed', digits: 0 },
  { title: 'worth served', figure: 'worthServed', digits: 3 },
  { title: 'on time', figure: 'onTime', digits: 3 },
  { title: 'retries', figure: 'retries', digits: 3 },
  { title: 'fairness', figure: 'fairness', digits: 3 },
  { title: 'refused: deadline', figure: 'refusedDeadline', digits: 0 },
  { title: 'fair share', figure: 'refusedFairShare', digits: 0 },
  { title: 'other', figure: 'refusedOther', digits: 0 }
]

const tableRow = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`

const tableHeader = (titles: readonly string[]): string[] => [tableRow(titles), tableRow(titles.map(() => '---'))]

const formatCell = (results: Results, deployment: string, workload: string, policy: string, { figure, digits }: Column): string => {
  const { mean, spread } = results.spread(deployment, workload, policy, figure)
  return spread === 0 ? mean.toFixed(digits) : `${mean.toFixed(digits)} ± ${spread.toFixed(digits)}`
}

/** Formats the table of one workload: figures by policy. */
export const workloadTable = (results: Results, deployment: string, workload: string): string => [
  ...tableHeader(['policy', ...columns.map(column => column.title)]),
  ...results.policies
    .filter(policy => results.figures(deployment, workload, policy).length > 0)
    .map(policy => tableRow([policy, ...columns.map(column => formatCell(results, deployment, workload, policy, column))]))
].join('\n')

const formatRatio = (results: Results, deployment: string, workload: string, baseline: string, figure: keyof Figures): string => {
  const other = results.mean(deployment, workload, baseline, figure)
  return other === 0 ? '-' : (results.mean(deployment, workload, ownPolicyName, figure) / other).toFixed(2)
}

/** Formats the ratio of the wasabireel policy to each baseline for one figure, by workload. */
export const ratioTable = (results: Results, deployment: string, figure: keyof Figures): string => [
  ...tableHeader(['workload', ...baselineNames]),
  ...results.workloads(deployment).map(workload =>
    tableRow([workload, ...baselineNames.map(baseline => formatRatio(results, deployment, workload, baseline, figure))]))
].join('\n')

/** Formats the verdicts as a table of bounds. */
export const verdictTable = (verdicts: readonly Verdict[]): string => [
  ...tableHeader(['bound', 'measured', '']),
  ...verdicts.map(({ bound, measured, met }) => tableRow([bound, measured, met ? 'met' : 'RED']))
].join('\n')

/** Formats hit rate, delivered cache events and index memory of the wasabireel policy and its variants with fewer events. */
export const cacheEventTable = (results: Results, deployment: string): string => [
  ...tableHeader(['policy', 'hit rate', 'events delivered', 'bytes per entry']),
  ...[ownPolicyName, 'levelEvents', 'answersOnly', 'stateless'].map(policy => tableRow([
    policy,
    results.mean(deployment, 'nested', policy, 'hitRate').toFixed(3),
    results.mean(deployment, 'nested', policy, 'eventsDelivered').toFixed(0),
    results.mean(deployment, 'nested', policy, 'cacheIndexBytes').toFixed(0)
  ]))
].join('\n')

/**
 * Formats the page of a deployment for docs/measurements.
 *
 * @param seeds - number of seeds per workload
 * @param command - command that produced the results, named on the page
 */
export const deploymentPage = (results: Results, deployment: Deployment, verdicts: readonly Verdict[], seeds: number, command: string): string => [
  `# Policy measurements: ${deployment.name}`,
  `Written by \`${command}\`; ${seeds} seeds, mean ± half the distance between largest and smallest. Trials in virtual time, not of the built binary.`,
  'Time to first token runs from the caller\'s first arrival; a call that gets none counts with the time at which its caller gives up, three times its target. Recomputed tokens are those that some worker had computed before. Worth served is the worth of calls answered within their target over all worth offered. Fairness is Jain\'s index over the workspaces\' parts answered on time.',
  '## Bounds',
  verdictTable(verdicts),
  '## Own figure over each baseline\'s: p99 of time to first token',
  ratioTable(results, deployment.name, 'ttftP99'),
  '## Own figure over each baseline\'s: worth served',
  ratioTable(results, deployment.name, 'worthServed'),
  '## Own figure over each baseline\'s: recomputed tokens',
  ratioTable(results, deployment.name, 'recomputed'),
  '## Own figure over each baseline\'s: hit rate',
  ratioTable(results, deployment.name, 'hitRate'),
  '## Knowledge of caches (nested)',
  cacheEventTable(results, deployment.name),
  ...results.workloads(deployment.name).flatMap(workload => [
    `## ${workload}`,
    `![${workload}](${deployment.name}-${workload}.svg)`,
    workloadTable(results, deployment.name, workload)
  ])
].join('\n\n') + '\n'
