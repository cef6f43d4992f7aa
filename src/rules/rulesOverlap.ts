/** Checks of selectors against each other: whether they can match the same query, and whether one includes the other. */
import { globCovers, globsOverlap } from './globs.js'
import { selectorFields } from './rulesPrecedence.js'
import type { Selector } from './rulesTypes.js'

/**
 * Whether one selector has a model and the other a service: they cannot match the same query,
 * as a query has either a model or a service.
 */
const excludeEachOther = (left: Selector, right: Selector): boolean =>
  (left.model !== undefined && right.service !== undefined) || (left.service !== undefined && right.model !== undefined)

/**
 * Checks whether a query can match both selectors.
 *
 * @param left - a selector
 * @param right - another selector
 * @returns true if some query matches both
 */
export const selectorsOverlap = (left: Selector, right: Selector): boolean =>
  !excludeEachOther(left, right) &&
  selectorFields.every(field => {
    const [a, b] = [left[field], right[field]]
    return a === undefined || b === undefined || globsOverlap(a, b)
  })

/**
 * Checks whether every query that matches `narrow` also matches `wide`.
 *
 * @param wide - the selector expected to be wider
 * @param narrow - the selector expected to be narrower
 * @returns true if `wide` includes `narrow`
 */
export const selectorCovers = (wide: Selector, narrow: Selector): boolean =>
  selectorFields.every(field => {
    const [a, b] = [wide[field], narrow[field]]
    return a === undefined || (b !== undefined && globCovers(a, b))
  })
