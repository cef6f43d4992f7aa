/** Reads the text files that are passed to commands. */
import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'

/** Failure to read a file. */
export interface UnreadableFile {
  readonly kind: 'unreadableFile'
  readonly file: string
  /** Error code of the system, such as `ENOENT`. */
  readonly reason: string
}

/**
 * Reads a UTF-8 text file.
 *
 * @param file - path of the file
 * @returns the text, or the failure to read it
 */
export const readTextFile = (file: string): Result<string, UnreadableFile> => {
  try {
    return ok(readFileSync(file, 'utf8'))
  } catch (error) {
    return err({ kind: 'unreadableFile', file, reason: (error as NodeJS.ErrnoException).code ?? 'unknown' })
  }
}

/**
 * Formats the failure to read a file as an error message.
 *
 * @param failure - failure to format
 * @returns one line with the file and the error code
 */
export const describeUnreadable = ({ file, reason }: UnreadableFile): string => `${file}: cannot be read (${reason})`
