/** The number of descriptors that this process may open, as far as the system states it. */
import { readFileSync } from 'node:fs'

const limitPattern = /^Max open files\s+(\d+)/m

/**
 * Finds the limit in the system's description of the limits of a process.
 *
 * @param text - the description
 * @returns the limit; undefined if there is none
 */
export const parseDescriptorLimit = (text: string): number | undefined => {
  const found = limitPattern.exec(text)
  return found === null ? undefined : Number(found[1])
}

/** Reads the limit of this process; undefined if there is none or the system does not state it. */
export const readDescriptorLimit = (): number | undefined => {
  try {
    return parseDescriptorLimit(readFileSync('/proc/self/limits', 'utf8'))
  } catch {
    return undefined
  }
}
