/** Where the command line writes: results to standard output, messages to standard error. */

/** Exit codes, stated in the help. */
export const exitCodes = { done: 0, refused: 1, usage: 2, unreachable: 3 } as const

/** The text shown under every command's help. */
export const exitCodeHelp = `
Exit codes: 0 done; 1 checked and found wrong, or refused; 2 wrong use; 3 the instance could not be reached.
Results go to standard output (one JSON document with --json), messages to standard error.`

/**
 * Writes a result.
 *
 * @param text - lines for a person
 */
export const print = (text: string): void => {
  process.stdout.write(`${text}\n`)
}

/**
 * Writes a message.
 *
 * @param text - lines for a person
 */
export const printError = (text: string): void => {
  process.stderr.write(`${text}\n`)
}

/**
 * Writes a result as a person or a program wants it.
 *
 * @param json - whether `--json` was given
 * @param value - the result
 * @param formatText - the same for a person
 */
export const printResult = (json: boolean | undefined, value: unknown, formatText: () => string): void =>
  print(json === true ? JSON.stringify(value) : formatText())
