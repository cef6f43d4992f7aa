/**
 * Structured logs on standard output: one JSON object a line. Writing never
 * blocks and is bounded: while the reader of the output is behind, lines are
 * dropped and counted.
 */
import { createLogger as createBunyan } from 'bunyan'
import type Bunyan from 'bunyan'

/** The part of the logger that the program uses. */
export type Logger = Pick<Bunyan, 'debug' | 'info' | 'warn' | 'error'>

/** Least severe line that is written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Where lines go: the part of a writable stream that is used. */
export interface LogOutput {
  readonly writableLength: number
  readonly write: (line: string) => unknown
}

/** A bounded way to an output. */
export interface BoundedOutput {
  readonly write: (line: string) => void
  /** Lines dropped so far. */
  readonly dropped: () => number
}

/** Bytes that wait for the reader at which lines are dropped. */
const backlogLimit = 1_048_576

/**
 * Bounds what waits for an output.
 *
 * @param output - where lines go
 */
export const boundOutput = (output: LogOutput): BoundedOutput => {
  let dropped = 0
  return {
    write: line => {
      if (output.writableLength > backlogLimit) dropped++
      else output.write(line)
    },
    dropped: () => dropped
  }
}

const standardOutput = boundOutput(process.stdout)

/** Lines of this process that were dropped. */
export const droppedLines = standardOutput.dropped

/**
 * Creates the logger of a process.
 *
 * @param instance - name of the instance, on every line
 * @param level - least severe line that is written
 * @returns the logger
 */
export const createLogger = (instance: string, level: LogLevel): Logger =>
  createBunyan({ name: 'wasabireel', instance, level, streams: [{ type: 'stream', level, stream: standardOutput as unknown as NodeJS.WritableStream }] })
