/**
 * Which of two lines wins. The most specific selector wins; between equals, the
 * line of the team that owns the workspace; between equals still, the line that
 * stands first. `deny` and `once` hold wherever they match, and the lowest of
 * all matching limits holds.
 */
import { globMatches, isGlob } from './globs.js'
import type { RuleOrigin, RuleQuery, Selector } from './rulesTypes.js'

/** The fields of a selector, from the one that weighs most. */
export const selectorFields = ['workspace', 'model', 'service', 'adapter', 'method', 'path'] as const

/** The name of a selector's field. */
export type SelectorField = typeof selectorFields[number]

/** A selector with where it stands. */
export interface Selection {
  readonly selector: Selector
  readonly origin: RuleOrigin
}

/** Exact names count as longer than any glob. */
const exactWeight = 100_000

const weightOf = (glob: string | undefined): number => {
  if (glob === undefined) return 0
  return isGlob(glob) ? glob.replaceAll('*', '').length : exactWeight
}

/**
 * Compares how narrow two selectors are.
 *
 * @param left - a selector
 * @param right - a selector
 * @returns below 0 if `left` is the more specific, above 0 if `right` is
 */
export const compareSpecificity = (left: Selector, right: Selector): number => {
  for (const field of selectorFields) {
    const difference = weightOf(right[field]) - weightOf(left[field])
    if (difference !== 0) return difference
  }
  return 0
}

/** What decided between two lines. */
export type PrecedenceReason = 'moreSpecific' | 'ownsWorkspace' | 'earlierLine'

/** The outcome of a comparison: below 0 if the left line wins. */
export interface Precedence {
  readonly order: number
  readonly reason: PrecedenceReason
}

/**
 * Compares two lines for a workspace.
 *
 * @param left - a line
 * @param right - a line
 * @param owner - the team that owns the workspace
 * @returns which wins and why
 */
export const comparePrecedence = (left: Selection, right: Selection, owner: string | undefined): Precedence => {
  const specificity = compareSpecificity(left.selector, right.selector)
  if (specificity !== 0) return { order: specificity, reason: 'moreSpecific' }
  const ownership = Number(right.origin.team === owner) - Number(left.origin.team === owner)
  if (ownership !== 0) return { order: ownership, reason: 'ownsWorkspace' }
  return { order: left.origin.line - right.origin.line, reason: 'earlierLine' }
}

const fieldMatches = (glob: string | undefined, value: string | undefined): boolean =>
  glob === undefined || (value !== undefined && globMatches(glob, value))

/**
 * Whether a selector admits a query.
 *
 * @param selector - the selector
 * @param query - the query, with its method in upper case and its path normalised
 * @returns true if every field matches
 */
export const selects = (selector: Selector, query: RuleQuery): boolean =>
  fieldMatches(selector.model, query.model) &&
  fieldMatches(selector.service, query.service) &&
  fieldMatches(selector.adapter, query.adapter) &&
  fieldMatches(selector.method, query.method) &&
  fieldMatches(selector.path, query.path) &&
  fieldMatches(selector.workspace, query.workspace)
