/** Files that a command is given. */
import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'

/** A file that cannot be read. */
export interface UnreadableFile {
  readonly kind: 'unreadableFile'
  readonly file: string
  /** The system's code, such as `ENOENT`. */
  readonly reason: string
}

/**
 * Reads a text file.
 *
 * @param file - its name
 * @returns the text, or why it cannot be read
 */
export const readTextFile = (file: string): Result<string, UnreadableFile> => {
  try {
    return ok(readFileSync(file, 'utf8'))
  } catch (error) {
    return err({ kind: 'unreadableFile', file, reason: (error as NodeJS.ErrnoException).code ?? 'unknown' })
  }
}

/**
 * Words the failure for a person.
 *
 * @param failure - the failure
 * @returns one line
 */
export const describeUnreadable = ({ file, reason }: UnreadableFile): string => `${file}: cannot be read (${reason})`
