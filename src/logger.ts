/** Structured logs on standard error: one line for each change of state. */
import { createLogger as createBunyan } from 'bunyan'
import type Bunyan from 'bunyan'

/** The part of the logger that the program uses. */
export type Logger = Pick<Bunyan, 'debug' | 'info' | 'warn' | 'error'>

/** Least severe line that is written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/**
 * Creates the logger of a process.
 *
 * @param instance - name of the instance, on every line
 * @param level - least severe line that is written
 * @returns the logger
 */
export const createLogger = (instance: string, level: LogLevel): Logger =>
  createBunyan({ name: 'wasabireel', instance, level, stream: process.stderr })
