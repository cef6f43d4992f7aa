/** Glob matching. The only special character is `*`, which matches any number of characters, including none and `/`. */

/**
 * Checks whether a pattern has a `*`.
 *
 * @param glob - the pattern
 * @returns false if the pattern matches only the identical text
 */
export const isGlob = (glob: string): boolean => glob.includes('*')

/**
 * Checks whether a text matches a glob. The check takes linear time for ordinary globs.
 *
 * @param glob - the pattern
 * @param text - the text
 * @returns true if the whole text matches
 */
export const globMatches = (glob: string, text: string): boolean => {
  if (glob === '*') return true
  if (!isGlob(glob)) return glob === text
  const parts = glob.split('*')
  const head = parts[0]
  const tail = parts[parts.length - 1]
  if (text.length < head.length + tail.length) return false
  if (!text.startsWith(head) || !text.endsWith(tail)) return false
  const end = text.length - tail.length
  let at = head.length
  for (const part of parts.slice(1, -1)) {
    const found = text.indexOf(part, at)
    if (found < 0 || found + part.length > end) return false
    at = found + part.length
  }
  return true
}

/**
 * Checks whether every text that matches `narrow` also matches `wide`. It matches `narrow` as a
 * literal text, in which a `*` can only be covered by a `*` of `wide`.
 *
 * @param wide - the pattern expected to be wider
 * @param narrow - the pattern expected to be narrower
 * @returns true only if `wide` covers `narrow`
 */
export const globCovers = (wide: string, narrow: string): boolean => globMatches(wide, narrow)

/**
 * Checks whether some text matches both globs.
 *
 * @param left - a pattern
 * @param right - another pattern
 * @returns true if the patterns overlap
 */
export const globsOverlap = (left: string, right: string): boolean => {
  if (left === right || left === '*' || right === '*') return true
  if (!isGlob(left)) return globMatches(right, left)
  if (!isGlob(right)) return globMatches(left, right)
  return patternsOverlap(left, right)
}

/**
 * Dynamic programming over suffixes, in time proportional to the product of the lengths: `row[j]` is
 * whether the suffix of `left` from `i` overlaps the suffix of `right` from `j`; `nextRow` is the row of `i + 1`.
 */
const patternsOverlap = (left: string, right: string): boolean => {
  let nextRow: boolean[] = Array.from({ length: right.length + 1 }, () => false)
  for (let i = left.length; i >= 0; i--) {
    const row: boolean[] = Array.from({ length: right.length + 1 }, () => false)
    for (let j = right.length; j >= 0; j--) row[j] = suffixesOverlap(left, right, i, j, row, nextRow)
    nextRow = row
  }
  return nextRow[0]
}

const suffixesOverlap = (left: string, right: string, i: number, j: number, row: boolean[], nextRow: boolean[]): boolean => {
  const a = left[i]
  const b = right[j]
  if (a === undefined && b === undefined) return true
  if (a === '*') return nextRow[j] || (b !== undefined && row[j + 1])
  if (b === '*') return row[j + 1] || (a !== undefined && nextRow[j])
  return a !== undefined && a === b && nextRow[j + 1]
}
