/** Notices that a settings file has changed, also between its first reading and the first look. */
import type { Result } from 'neverthrow'
import type { UnreadableFile } from './textFile.js'

/** What is watched. */
export interface SettingsFile {
  readonly read: () => Result<string, UnreadableFile>
  /** Takes the new text. */
  readonly changed: (text: string) => void
}

/**
 * Creates the watch.
 *
 * @param file - the file
 * @param loaded - its text as it was read at the start
 * @returns looks once; a file that cannot be read counts as unchanged
 */
export const watchSettings = ({ read, changed }: SettingsFile, loaded: string): () => void => {
  let known = loaded
  return () => {
    const text = read().unwrapOr(known)
    if (text === known) return
    known = text
    changed(text)
  }
}
