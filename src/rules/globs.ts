/** Globs whose only special character is `*`, which matches any run of characters. */

/**
 * Whether a glob has a `*`.
 *
 * @param glob - the pattern
 * @returns false if it matches only itself
 */
export const isGlob = (glob: string): boolean => glob.includes('*')

/**
 * Matches a text in linear time for ordinary globs.
 *
 * @param glob - the pattern
 * @param text - the text
 * @returns whether the whole text matches
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
 * Whether every text of `narrow` is matched by `wide`.
 *
 * @param wide - the wider pattern
 * @param narrow - the narrower pattern
 * @returns true only if it covers it
 */
export const globCovers = (wide: string, narrow: string): boolean => globMatches(wide, narrow)

/**
 * Whether some text matches both globs.
 *
 * @param left - a pattern
 * @param right - a pattern
 * @returns true if they overlap
 */
export const globsOverlap = (left: string, right: string): boolean => {
  if (left === right || left === '*' || right === '*') return true
  if (!isGlob(left)) return globMatches(right, left)
  if (!isGlob(right)) return globMatches(left, right)
  return patternsMeet(left, right)
}

/** Row by row: `row[j]` tells whether the rest of `left` meets the rest of `right` from `j`. */
const patternsMeet = (left: string, right: string): boolean => {
  let below: boolean[] = Array.from({ length: right.length + 1 }, () => false)
  for (let i = left.length; i >= 0; i--) {
    const row: boolean[] = Array.from({ length: right.length + 1 }, () => false)
    for (let j = right.length; j >= 0; j--) row[j] = cellMeets(left, right, i, j, row, below)
    below = row
  }
  return below[0]
}

const cellMeets = (left: string, right: string, i: number, j: number, row: boolean[], below: boolean[]): boolean => {
  const a = left[i]
  const b = right[j]
  if (a === undefined && b === undefined) return true
  if (a === '*') return below[j] || (b !== undefined && row[j + 1])
  if (b === '*') return row[j + 1] || (a !== undefined && below[j])
  return a !== undefined && a === b && below[j + 1]
}
