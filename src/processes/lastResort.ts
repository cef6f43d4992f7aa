/**
 * Handles errors that no other code catches, such as rejected promises of
 * callbacks. Requests do not share the state of a callback, so the process goes
 * on; the errors are counted and logged.
 */

/** The part of a process that reports such errors. */
export interface ErrorSource {
  readonly on: (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void) => unknown
}

/**
 * Reports the errors that are not caught elsewhere, so that they do not end the process.
 *
 * @param source - the process
 * @param report - receives each error with its place
 */
export const reportUncaughtErrors = (source: ErrorSource, report: (place: string, error: unknown) => void): void => {
  source.on('uncaughtException', error => report('uncaughtException', error))
  source.on('unhandledRejection', error => report('unhandledRejection', error))
}
