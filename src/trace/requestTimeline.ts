/**
 * Builds the timeline of one request from the log lines of several instances:
 * the lines of the request itself and, around them, the lines about changes in
 * the estimated state of its workers, in order of time.
 */
import { z } from 'zod'

const lineSchema = z.looseObject({
  time: z.string(),
  instance: z.string(),
  msg: z.string(),
  id: z.string().optional(),
  worker: z.string().optional()
})

/** One structured log line. */
export type LogLine = z.infer<typeof lineSchema>

/** Time before the first and after the last line of a request within which lines about its workers are included, in ms. */
const margin = 2_000

/** Log events about the estimated state of a worker. */
const workerStateEvents: ReadonlySet<string> = new Set(['workerDoubted', 'workerProbed', 'workerChanged', 'loading', 'loaded'])

/**
 * Parses one line of a log. Text before the JSON object, such as a prefix added
 * by a log collector, is skipped.
 *
 * @param text - the line
 * @returns the log line, or undefined if the text is not a log line of an instance
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
 * Selects the lines that belong to the timeline of a request.
 *
 * @param id - the request id
 * @param lines - log lines of all instances, in any order
 * @returns the lines in order of time; empty if no line has this id
 */
export const requestTimeline = (id: string, lines: readonly LogLine[]): readonly LogLine[] => {
  const ownLines = lines.filter(line => line.id === id)
  if (ownLines.length === 0) return []
  const workers = new Set(ownLines.flatMap(({ worker }) => worker ?? []))
  const from = Math.min(...ownLines.map(timeOf)) - margin
  const to = Math.max(...ownLines.map(timeOf)) + margin
  const workerLines = lines.filter(line => workerStateEvents.has(line.msg) && workers.has(line.worker ?? '') && timeOf(line) >= from && timeOf(line) <= to)
  return [...ownLines, ...workerLines].sort((left, right) => timeOf(left) - timeOf(right))
}

const omittedFields: ReadonlySet<string> = new Set(['time', 'instance', 'msg', 'name', 'hostname', 'pid', 'level', 'v', 'id'])

/**
 * Formats a log line for display.
 *
 * @param line - the log line
 * @returns time, instance and event name, followed by the remaining fields as `key=value`
 */
export const formatLogLine = (line: LogLine): string => {
  const fields = Object.entries(line).filter(([key]) => !omittedFields.has(key)).map(([key, value]) => `${key}=${String(value)}`)
  return [line.time, line.instance, line.msg, ...fields].join(' ')
}
