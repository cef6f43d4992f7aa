/**
 * Structured logs on standard output, one JSON object per line. Writing never
 * blocks, and its buffer is bounded: while the consumer of the output is too
 * slow, lines are dropped and counted.
 */
import { createLogger as createBunyan } from 'bunyan'
import type Bunyan from 'bunyan'

/** The logger methods that the program uses. */
export type Logger = Pick<Bunyan, 'debug' | 'info' | 'warn' | 'error'>

/** Minimum severity of the lines that are written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Destination of log lines: the members of a writable stream that are used. */
export interface LogOutput {
  readonly writableLength: number
  readonly write: (line: string) => unknown
}

/** Writes to an output with a bounded buffer. */
export interface BoundedOutput {
  readonly write: (line: string) => void
  /** Number of lines dropped so far. */
  readonly dropped: () => number
}

/** Lines are dropped while more than this number of bytes is buffered in the output. */
const maxBacklogBytes = 1_048_576

/**
 * Bounds the buffer of an output by dropping lines while it is full.
 *
 * @param output - destination of the lines
 * @returns the bounded output
 */
export const boundOutput = (output: LogOutput): BoundedOutput => {
  let dropped = 0
  return {
    write: line => {
      if (output.writableLength > maxBacklogBytes) dropped++
      else output.write(line)
    },
    dropped: () => dropped
  }
}

const standardOutput = boundOutput(process.stdout)

/** Returns the number of log lines that this process has dropped so far. */
export const droppedLines = standardOutput.dropped

/**
 * Creates the logger of a process.
 *
 * @param instance - name of the instance, included in every line
 * @param level - minimum severity of the lines that are written
 * @returns the logger
 */
export const createLogger = (instance: string, level: LogLevel): Logger =>
  createBunyan({ name: 'wasabireel', instance, level, streams: [{ type: 'stream', level, stream: standardOutput as unknown as NodeJS.WritableStream }] })
