/** Line patches between two texts: computed by Myers' shortest edit script algorithm (1986) and applied. */
import type { Hunk, Patch } from './configTypes.js'

/** Maximum number of edited lines of the shortest edit script; beyond it, one hunk replaces the whole differing range. */
const maxEdits = 400

/** The lines that remain without the common prefix and suffix of two texts; ends are exclusive. */
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

/** Returns, for each number of edits, the furthest-reaching points on the diagonals before that edit; undefined if more than `maxEdits` edits are needed. */
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

/** Backtracks through the trace and returns the single-line edits in ascending order. */
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

/** Merges edits of adjacent lines into one hunk. */
const mergeAdjacent = (edits: readonly Hunk[]): Hunk[] => {
  const merged: Hunk[] = []
  for (const edit of edits) {
    const last = merged.at(-1)
    if (last !== undefined && last.at + last.remove === edit.at) {
      merged[merged.length - 1] = { at: last.at, remove: last.remove + edit.remove, insert: [...last.insert, ...edit.insert] }
    } else merged.push(edit)
  }
  return merged
}

/**
 * Computes a patch between two texts.
 *
 * @param before - the old lines
 * @param after - the new lines
 * @returns a patch that turns `before` into `after`, empty if they are equal
 */
export const diffLines = (before: readonly string[], after: readonly string[]): Patch => {
  const { start, beforeEnd, afterEnd } = differingRange(before, after)
  if (start === beforeEnd && start === afterEnd) return []
  const oldLines = before.slice(start, beforeEnd)
  const newLines = after.slice(start, afterEnd)
  const trace = traceEdits(oldLines, newLines)
  if (trace === undefined) return [{ at: start, remove: oldLines.length, insert: newLines }]
  return mergeAdjacent(editsOf(trace, oldLines, newLines)).map(hunk => ({ ...hunk, at: hunk.at + start }))
}

/**
 * Applies a patch to a text.
 *
 * @param lines - the old lines
 * @param patch - the patch
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
