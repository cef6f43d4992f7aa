/**
 * Detects changes of a file by comparing its text. A change between the initial
 * read and the first check is detected as well.
 */
import type { Result } from 'neverthrow'
import type { UnreadableFile } from './textFile.js'

/** A watched file and the handler of its changes. */
export interface WatchedFile {
  /** Reads the current text. */
  readonly read: () => Result<string, UnreadableFile>
  /** Called with the new text after each change. */
  readonly onChange: (text: string) => void
}

/**
 * Creates a watcher that checks the file each time the returned function is called.
 *
 * @param file - file to watch and the handler of its changes
 * @param initialText - text of the initial read, which later reads are compared with
 * @returns a function that checks the file once; an unreadable file counts as unchanged
 */
export const createFileWatcher = ({ read, onChange }: WatchedFile, initialText: string): () => void => {
  let lastText = initialText
  return () => {
    const text = read().unwrapOr(lastText)
    if (text === lastText) return
    lastText = text
    onChange(text)
  }
}
