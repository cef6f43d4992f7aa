/** Whether two selectors can match the same query, and whether one takes in the other. */
import { globCovers, globsOverlap } from './globs.js'
import { selectorFields } from './rulesPrecedence.js'
import type { Selector } from './rulesTypes.js'

/** A selector on models matches model requests only, one on services service calls only. */
const excludeEachOther = (left: Selector, right: Selector): boolean =>
  (left.model !== undefined && right.service !== undefined) || (left.service !== undefined && right.model !== undefined)

/**
 * Whether some query matches both selectors.
 *
 * @param left - a selector
 * @param right - a selector
 * @returns true if they overlap
 */
export const selectorsOverlap = (left: Selector, right: Selector): boolean =>
  !excludeEachOther(left, right) &&
  selectorFields.every(field => {
    const [a, b] = [left[field], right[field]]
    return a === undefined || b === undefined || globsOverlap(a, b)
  })

/**
 * Whether every query that matches `narrow` also matches `wide`.
 *
 * @param wide - the wider selector
 * @param narrow - the narrower selector
 * @returns true only if it does
 */
export const selectorCovers = (wide: Selector, narrow: Selector): boolean =>
  selectorFields.every(field => {
    const [a, b] = [wide[field], narrow[field]]
    return a === undefined || (b !== undefined && globCovers(a, b))
  })
