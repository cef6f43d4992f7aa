/** Notices that a settings file has changed, also between its first reading and the first look. */
import type { Result } from 'neverthrow'
import type { UnreadableFile } from './textFile.js'

/** What is watched. */
export interface WatchedFile {
  readonly read: () => Result<string, UnreadableFile>
  /** Takes the new text. */
  readonly onChange: (text: string) => void
}

/**
 * Creates the watch.
 *
 * @param file - the file
 * @param initialText - its text as it was read at the start
 * @returns looks once; a file that cannot be read counts as unchanged
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
