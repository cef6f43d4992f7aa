/** Line differences between two texts, by Myers' shortest edit script (1986). */
import type { Hunk, Patch } from './configTypes.js'

/** Edits beyond which one hunk replaces the whole differing range. */
const maxEdits = 400

interface Range {
  readonly start: number
  readonly beforeEnd: number
  readonly afterEnd: number
}

const differingRange = (before: readonly string[], after: readonly string[]): Range => {
  let start = 0
  while (start < before.length && start < after.length && before[start] === after[start]) start++
  let beforeEnd = before.length
  let afterEnd = after.length
  while (beforeEnd > start && afterEnd > start && before[beforeEnd - 1] === after[afterEnd - 1]) {
    beforeEnd--
    afterEnd--
  }
  return { start, beforeEnd, afterEnd }
}

/** Furthest reach on each diagonal after each number of edits, or undefined if too many are needed. */
const traceEdits = (before: readonly string[], after: readonly string[]): Int32Array[] | undefined => {
  const size = before.length + after.length
  const reach = new Int32Array(2 * Math.min(size, maxEdits) + 3)
  const middle = (reach.length - 1) / 2
  const trace: Int32Array[] = []
  for (let edits = 0; edits <= Math.min(size, maxEdits); edits++) {
    trace.push(reach.slice())
    for (let diagonal = -edits; diagonal <= edits; diagonal += 2) {
      const down = diagonal === -edits || (diagonal !== edits && reach[middle + diagonal - 1] < reach[middle + diagonal + 1])
      let x = down ? reach[middle + diagonal + 1] : reach[middle + diagonal - 1] + 1
      while (x < before.length && x - diagonal < after.length && before[x] === after[x - diagonal]) x++
      reach[middle + diagonal] = x
      if (x >= before.length && x - diagonal >= after.length) return trace
    }
  }
  return undefined
}

/** Walks back from the ends and lists single edits, last first. */
const editsOf = (trace: readonly Int32Array[], before: readonly string[], after: readonly string[]): Hunk[] => {
  const edits: Hunk[] = []
  let x = before.length
  let y = after.length
  for (let count = trace.length - 1; count > 0; count--) {
    const reach = trace[count]
    const middle = (reach.length - 1) / 2
    const diagonal = x - y
    const down = diagonal === -count || (diagonal !== count && reach[middle + diagonal - 1] < reach[middle + diagonal + 1])
    const previous = down ? diagonal + 1 : diagonal - 1
    x = reach[middle + previous]
    y = x - previous
    edits.push(down ? { at: x, remove: 0, insert: [after[y]] } : { at: x, remove: 1, insert: [] })
  }
  return edits.reverse()
}

const joinAdjacent = (edits: readonly Hunk[]): Hunk[] => {
  const joined: Hunk[] = []
  for (const edit of edits) {
    const last = joined.at(-1)
    if (last !== undefined && last.at + last.remove === edit.at) {
      joined[joined.length - 1] = { at: last.at, remove: last.remove + edit.remove, insert: [...last.insert, ...edit.insert] }
    } else joined.push(edit)
  }
  return joined
}

/**
 * Finds the differences between two texts.
 *
 * @param before - the old lines
 * @param after - the new lines
 * @returns hunks that turn `before` into `after`
 */
export const diffLines = (before: readonly string[], after: readonly string[]): Patch => {
  const { start, beforeEnd, afterEnd } = differingRange(before, after)
  if (start === beforeEnd && start === afterEnd) return []
  const old = before.slice(start, beforeEnd)
  const fresh = after.slice(start, afterEnd)
  const trace = traceEdits(old, fresh)
  if (trace === undefined) return [{ at: start, remove: old.length, insert: fresh }]
  return joinAdjacent(editsOf(trace, old, fresh)).map(hunk => ({ ...hunk, at: hunk.at + start }))
}

/**
 * Applies differences.
 *
 * @param lines - the old lines
 * @param patch - the differences
 * @returns the new lines, or undefined if the hunks overlap or reach beyond the text
 */
export const applyPatch = (lines: readonly string[], patch: Patch): string[] | undefined => {
  const result: string[] = []
  let at = 0
  for (const hunk of patch) {
    if (hunk.at < at || hunk.at + hunk.remove > lines.length) return undefined
    for (; at < hunk.at; at++) result.push(lines[at])
    for (const line of hunk.insert) result.push(line)
    at += hunk.remove
  }
  for (; at < lines.length; at++) result.push(lines[at])
  return result
}
