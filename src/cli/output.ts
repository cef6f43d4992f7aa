/** Output of the command line: results on standard output, messages on standard error. */

/** Process exit codes, listed in the help text. */
export const exitCodes = { done: 0, refused: 1, usage: 2, unreachable: 3 } as const

/** Text appended to the help of every command. */
export const exitCodeHelp = `
Exit codes: 0 success; 1 check failed or request refused; 2 invalid usage; 3 the instance could not be reached.
Results go to standard output (one JSON document with --json), messages to standard error.`

/**
 * Prints a result to standard output.
 *
 * @param text - text without the final line break
 */
export const print = (text: string): void => {
  process.stdout.write(`${text}\n`)
}

/**
 * Prints an error message to standard error.
 *
 * @param text - text without the final line break
 */
export const printError = (text: string): void => {
  process.stderr.write(`${text}\n`)
}

/**
 * Prints a result as JSON or as readable text.
 *
 * @param json - whether `--json` was given
 * @param value - result to print as JSON
 * @param formatText - returns the result as readable text; called only without `--json`
 */
export const printResult = (json: boolean | undefined, value: unknown, formatText: () => string): void =>
  print(json === true ? JSON.stringify(value) : formatText())
