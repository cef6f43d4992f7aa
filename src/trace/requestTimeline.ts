/**
 * Puts the log lines of one request, from several instances, into its story:
 * its own lines in order, and what was believed of its workers around them.
 */
import { z } from 'zod'

const lineSchema = z.looseObject({
  time: z.string(),
  instance: z.string(),
  msg: z.string(),
  id: z.string().optional(),
  worker: z.string().optional()
})

/** One log line. */
export type LogLine = z.infer<typeof lineSchema>

/** Lines about a worker this long before a request's first line and after its last belong to its story, in ms. */
const surroundings = 2_000

/** Lines that say what is believed of a worker. */
const beliefs: ReadonlySet<string> = new Set(['workerDoubted', 'workerProbed', 'workerChanged', 'loading', 'loaded'])

/**
 * Reads one line of a log; what stands before the JSON object is passed over.
 *
 * @param text - the line
 * @returns the line, or undefined if it is none of ours
 */
export const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    return lineSchema.safeParse(JSON.parse(text.slice(start))).data
  } catch {
    return undefined
  }
}

const timeOf = ({ time }: LogLine): number => Date.parse(time)

/**
 * Finds the story of a request.
 *
 * @param id - the caller's id of the request
 * @param lines - of all instances, in any order
 * @returns its lines in order of time; empty if it is not named
 */
export const requestTimeline = (id: string, lines: readonly LogLine[]): readonly LogLine[] => {
  const own = lines.filter(line => line.id === id)
  if (own.length === 0) return []
  const workers = new Set(own.flatMap(({ worker }) => worker ?? []))
  const from = Math.min(...own.map(timeOf)) - surroundings
  const to = Math.max(...own.map(timeOf)) + surroundings
  const around = lines.filter(line => beliefs.has(line.msg) && workers.has(line.worker ?? '') && timeOf(line) >= from && timeOf(line) <= to)
  return [...own, ...around].sort((left, right) => timeOf(left) - timeOf(right))
}

const shown: ReadonlySet<string> = new Set(['time', 'instance', 'msg', 'name', 'hostname', 'pid', 'level', 'v', 'id'])

/** Words a line for a person: when, where, what, and its fields. */
export const formatLogLine = (line: LogLine): string => {
  const fields = Object.entries(line).filter(([key]) => !shown.has(key)).map(([key, value]) => `${key}=${String(value)}`)
  return [line.time, line.instance, line.msg, ...fields].join(' ')
}
