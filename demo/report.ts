/** The tables that the demonstration ends with. */
import { z } from 'zod'
import type { Fleet, ServerProcess } from './fleet.js'
import type { Tally } from './workload.js'

/** What one deployment showed. */
export interface Outcome {
  readonly title: string
  readonly tally: Tally
  /** Runs by idempotency key, from the services' own record. */
  readonly runs: ReadonlyMap<string, number>
}

const recordSchema = z.object({ record: z.array(z.object({ key: z.string().optional() })) })

const recordOf = async ({ origin }: ServerProcess): Promise<z.infer<typeof recordSchema>['record']> => {
  const response = await fetch(`http://${origin.host}:${origin.port}/record`)
  return recordSchema.parse(await response.json()).record
}

/**
 * Counts what the services ran.
 *
 * @param fleet - a running deployment
 * @returns runs by idempotency key
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
  const whole = tally.answered.filter(({ exact }) => exact).length
  const firstTokens = generations.flatMap(({ firstTokenTime }) => firstTokenTime ?? [])
  const prompt = sum(generations.map(({ promptTokens }) => promptTokens))
  const cached = sum(generations.map(({ cachedTokens }) => cachedTokens))
  return [
    title,
    String(generations.length),
    String(whole),
    `${(100 * cached / Math.max(1, prompt)).toFixed(1)} %`,
    ms(percentile(firstTokens, 0.5)),
    ms(percentile(firstTokens, 0.95)),
    `${sum(tally.answered.map(({ recomputedTokens }) => recomputedTokens))} of ${prompt}`,
    String(generations.filter(({ resumes }) => resumes > 0).length),
    String(generations.length - whole)
  ]
}

const bookingRow = ({ title, tally, runs }: Outcome): readonly string[] => {
  const ranOf = (key: string): number => runs.get(key) ?? 0
  const told = (outcome: string): typeof tally.called => tally.called.filter(({ result }) => result.outcome === outcome)
  return [
    title,
    String(tally.called.length),
    String(told('ran').length),
    String(told('not_run').length),
    String(told('unknown').length),
    String(told('ran').filter(({ key }) => ranOf(key) === 0).length),
    String([...runs.values()].filter(count => count > 1).length),
    String(told('not_run').filter(({ key }) => ranOf(key) > 0).length)
  ]
}

const table = (rows: readonly (readonly string[])[]): string => {
  const widths = rows[0].map((_, column) => Math.max(...rows.map(row => row[column].length)))
  const line = (row: readonly string[]): string =>
    row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]) : cell.padStart(widths[column])).join('  ')
  return [line(rows[0]), widths.map(width => '-'.repeat(width)).join('  '), ...rows.slice(1).map(line)].join('\n')
}

/**
 * Writes the tables.
 *
 * @param outcomes - one for each deployment
 * @returns text for a person
 */
export const describe = (outcomes: readonly Outcome[]): string => [
  'Model requests',
  table([
    ['deployment', 'requests', 'whole answers', 'hit rate', 'first token p50', 'p95', 'recomputed tokens', 'taken up elsewhere', 'lost'],
    ...outcomes.map(requestRow)
  ]),
  '',
  'Bookings, which may run at most once (lost and doubled by the services\' own record)',
  table([
    ['deployment', 'bookings', 'told "ran"', 'told "not run"', 'told "unknown"', 'lost', 'doubled', 'untrue "not run"'],
    ...outcomes.map(bookingRow)
  ]),
  '',
  'whole answers: every token came, in order, exactly as the engine makes them for this prompt',
  'hit rate: share of prompt tokens that the chosen engine still had in its cache',
  'recomputed tokens: prompt tokens that some engine had computed before and one had to compute again',
  'taken up elsewhere: streams whose instance died and that went on at another one',
  'lost: no whole answer; for a booking, told "ran" without a run'
].join('\n')
