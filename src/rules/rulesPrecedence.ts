/**
 * Precedence of rules. The rule with the more specific selector wins; if both are
 * equally specific, the rule of the team that owns the workspace; otherwise the rule
 * that comes first in the file. Precedence does not apply to `deny` and `once`, which
 * take effect wherever they match, nor to limits, of which the lowest matching one applies.
 */
import { globMatches, isGlob } from './globs.js'
import type { RuleOrigin, RuleQuery, Selector } from './rulesTypes.js'

/** The fields of a selector in descending order of significance for specificity. */
export const selectorFields = ['workspace', 'model', 'service', 'adapter', 'method', 'path'] as const

/** The name of a selector field. */
export type SelectorField = typeof selectorFields[number]

/** A selector with the origin of its rule: what is needed to determine the precedence of a rule. */
export interface RuleSelection {
  readonly selector: Selector
  readonly origin: RuleOrigin
}

/** Specificity of an exact value, in literal characters. It exceeds that of any glob, because lines are shorter than this. */
const exactWeight = 100_000

/** The specificity of one field: 0 if absent, else the number of literal characters of a glob, else `exactWeight`. */
const weightOf = (glob: string | undefined): number => {
  if (glob === undefined) return 0
  return isGlob(glob) ? glob.replaceAll('*', '').length : exactWeight
}

/** The specificity of a selector: one weight for each of `selectorFields`, compared lexicographically. */
export type Specificity = readonly number[]

/**
 * Computes the specificity of a selector.
 *
 * @param selector - the selector
 * @returns its weights in the order of `selectorFields`
 */
export const specificityOf = (selector: Selector): Specificity => selectorFields.map(field => weightOf(selector[field]))

/**
 * Compares two specificities lexicographically.
 *
 * @param left - the specificity of a selector
 * @param right - the specificity of another selector
 * @returns below 0 if `left` is the more specific, above 0 if `right` is
 */
export const compareWeights = (left: Specificity, right: Specificity): number => {
  for (let index = 0; index < left.length; index++) {
    if (left[index] !== right[index]) return right[index] - left[index]
  }
  return 0
}

/**
 * Compares the specificity of two selectors.
 *
 * @param left - a selector
 * @param right - another selector
 * @returns below 0 if `left` is the more specific, above 0 if `right` is
 */
export const compareSpecificity = (left: Selector, right: Selector): number =>
  compareWeights(specificityOf(left), specificityOf(right))

/** The criterion that decided the precedence of two rules. */
export type PrecedenceReason = 'moreSpecific' | 'ownsWorkspace' | 'earlierLine'

/** The result of comparing the precedence of two rules. */
export interface Precedence {
  /** Below 0 if the left rule wins, above 0 if the right rule wins. */
  readonly order: number
  readonly reason: PrecedenceReason
}

/**
 * Compares two rules by ownership of the workspace.
 *
 * @param left - the origin of a rule
 * @param right - the origin of another rule
 * @param owner - the team that owns the workspace; undefined if the workspace is not declared
 * @returns below 0 if only `left` belongs to the owner, above 0 if only `right` does, else 0
 */
export const compareOwnership = (left: RuleOrigin, right: RuleOrigin, owner: string | undefined): number =>
  Number(right.team === owner) - Number(left.team === owner)

/**
 * Compares the precedence of two rules within one workspace.
 *
 * @param left - a rule
 * @param right - another rule
 * @param owner - the team that owns the workspace; undefined if the workspace is not declared
 * @returns which rule wins and why
 */
export const comparePrecedence = (left: RuleSelection, right: RuleSelection, owner: string | undefined): Precedence => {
  const specificity = compareSpecificity(left.selector, right.selector)
  if (specificity !== 0) return { order: specificity, reason: 'moreSpecific' }
  const ownership = compareOwnership(left.origin, right.origin, owner)
  if (ownership !== 0) return { order: ownership, reason: 'ownsWorkspace' }
  return { order: left.origin.line - right.origin.line, reason: 'earlierLine' }
}

const fieldMatches = (glob: string | undefined, value: string | undefined): boolean =>
  glob === undefined || (value !== undefined && globMatches(glob, value))

/**
 * Checks whether a selector matches a query.
 *
 * @param selector - the selector
 * @param query - the query as returned by `resolveQuery`: alias resolved, method in upper case, path normalised
 * @returns true if every field of the selector matches
 */
export const selectorMatches = (selector: Selector, query: RuleQuery): boolean =>
  fieldMatches(selector.model, query.model) &&
  fieldMatches(selector.service, query.service) &&
  fieldMatches(selector.adapter, query.adapter) &&
  fieldMatches(selector.method, query.method) &&
  fieldMatches(selector.path, query.path) &&
  fieldMatches(selector.workspace, query.workspace)
