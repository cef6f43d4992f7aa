/** Formats the results of the demonstration as tables. */
import { z } from 'zod'
import type { Fleet, ServerProcess } from './fleet.js'
import type { Tally } from './workload.js'

/** The results of one deployment. */
export interface Outcome {
  readonly title: string
  readonly tally: Tally
  /** Number of runs by idempotency key, from the services' own record. */
  readonly runs: ReadonlyMap<string, number>
}

const recordSchema = z.object({ record: z.array(z.object({ key: z.string().optional() })) })

/** Fetches the calls that a service stand-in has run. */
const recordOf = async ({ origin }: ServerProcess): Promise<z.infer<typeof recordSchema>['record']> => {
  const response = await fetch(`http://${origin.host}:${origin.port}/record`)
  return recordSchema.parse(await response.json()).record
}

/**
 * Counts the service calls that the services ran, from their own record.
 *
 * @param fleet - a running deployment
 * @returns number of runs by idempotency key
 */
export const countRuns = async (fleet: Fleet): Promise<ReadonlyMap<string, number>> => {
  const runs = new Map<string, number>()
  for (const records of await Promise.all(fleet.services.map(recordOf))) {
    for (const { key } of records) if (key !== undefined) runs.set(key, (runs.get(key) ?? 0) + 1)
  }
  return runs
}

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const ms = (value: number): string => Number.isNaN(value) ? '-' : `${Math.round(value)} ms`

const requestRow = ({ title, tally }: Outcome): readonly string[] => {
  const generations = tally.answered.map(({ generation }) => generation)
  const complete = tally.answered.filter(({ exact }) => exact).length
  const firstTokens = generations.flatMap(({ firstTokenTime }) => firstTokenTime ?? [])
  const prompt = sum(generations.map(({ promptTokens }) => promptTokens))
  const cached = sum(generations.map(({ cachedTokens }) => cachedTokens))
  return [
    title,
    String(generations.length),
    String(complete),
    `${(100 * cached / Math.max(1, prompt)).toFixed(1)} %`,
    ms(percentile(firstTokens, 0.5)),
    ms(percentile(firstTokens, 0.95)),
    `${sum(tally.answered.map(({ recomputedTokens }) => recomputedTokens))} of ${prompt}`,
    String(generations.filter(({ resumes }) => resumes > 0).length),
    String(generations.length - complete)
  ]
}

const bookingRow = ({ title, tally, runs }: Outcome): readonly string[] => {
  const runCount = (key: string): number => runs.get(key) ?? 0
  const withOutcome = (outcome: string): typeof tally.called => tally.called.filter(({ result }) => result.outcome === outcome)
  return [
    title,
    String(tally.called.length),
    String(withOutcome('ran').length),
    String(withOutcome('not_run').length),
    String(withOutcome('unknown').length),
    String(withOutcome('ran').filter(({ key }) => runCount(key) === 0).length),
    String([...runs.values()].filter(count => count > 1).length),
    String(withOutcome('not_run').filter(({ key }) => runCount(key) > 0).length)
  ]
}

const table = (rows: readonly (readonly string[])[]): string => {
  const widths = rows[0].map((_, column) => Math.max(...rows.map(row => row[column].length)))
  const line = (row: readonly string[]): string =>
    row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]) : cell.padStart(widths[column])).join('  ')
  return [line(rows[0]), widths.map(width => '-'.repeat(width)).join('  '), ...rows.slice(1).map(line)].join('\n')
}

/**
 * Formats the results as tables with a legend.
 *
 * @param outcomes - one for each deployment
 * @returns plain text of several lines
 */
export const formatReport = (outcomes: readonly Outcome[]): string => [
  'Model requests',
  table([
    ['deployment', 'requests', 'complete answers', 'hit rate', 'first token p50', 'p95', 'recomputed tokens', 'resumed elsewhere', 'lost'],
    ...outcomes.map(requestRow)
  ]),
  '',
  'Bookings, which may run at most once (lost and duplicated by the services\' own record)',
  table([
    ['deployment', 'bookings', 'reported "ran"', 'reported "not run"', 'reported "unknown"', 'lost', 'duplicated', 'false "not run"'],
    ...outcomes.map(bookingRow)
  ]),
  '',
  'complete answers: every token arrived, in order, exactly as the engine generates them for this prompt',
  'hit rate: share of prompt tokens that the chosen engine had in its cache',
  'recomputed tokens: prompt tokens that an engine computed although some engine had computed them before',
  'resumed elsewhere: streams that were interrupted, for example because their instance was killed, and resumed at another instance',
  'lost: no complete answer; for a booking, reported "ran" without a run'
].join('\n')
