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

/** How narrow a selector is: a weight for each of `selectorFields`. */
export type Specificity = readonly number[]

/**
 * Weighs a selector.
 *
 * @param selector - the selector
 * @returns its weights, to be compared in order
 */
export const specificityOf = (selector: Selector): Specificity => selectorFields.map(field => weightOf(selector[field]))

/**
 * Compares weights.
 *
 * @param left - weights of a selector
 * @param right - weights of a selector
 * @returns below 0 if `left` is the more specific, above 0 if `right` is
 */
export const compareWeights = (left: Specificity, right: Specificity): number => {
  for (let index = 0; index < left.length; index++) {
    if (left[index] !== right[index]) return right[index] - left[index]
  }
  return 0
}

/**
 * Compares how narrow two selectors are.
 *
 * @param left - a selector
 * @param right - a selector
 * @returns below 0 if `left` is the more specific, above 0 if `right` is
 */
export const compareSpecificity = (left: Selector, right: Selector): number =>
  compareWeights(specificityOf(left), specificityOf(right))

/** What decided between two lines. */
export type PrecedenceReason = 'moreSpecific' | 'ownsWorkspace' | 'earlierLine'

/** The outcome of a comparison: below 0 if the left line wins. */
export interface Precedence {
  readonly order: number
  readonly reason: PrecedenceReason
}

/**
 * Compares by ownership of the workspace.
 *
 * @param left - where a line stands
 * @param right - where a line stands
 * @param owner - the team that owns the workspace
 * @returns below 0 if only `left` is the owner's, above 0 if only `right` is
 */
export const compareOwnership = (left: RuleOrigin, right: RuleOrigin, owner: string | undefined): number =>
  Number(right.team === owner) - Number(left.team === owner)

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
  const ownership = compareOwnership(left.origin, right.origin, owner)
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
