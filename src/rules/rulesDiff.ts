/** What changes in meaning between two rules files, and whose lines are touched. */
import { isGlob } from './globs.js'
import { selectorsOverlap } from './rulesOverlap.js'
import { compareSpecificity } from './rulesPrecedence.js'
import type { Operator, Rule, RuleOrigin } from './rulesTypes.js'

/** A difference between two rulesets. */
export type RuleChange =
  | { readonly kind: 'added', readonly rule: Rule }
  | { readonly kind: 'removed', readonly rule: Rule }
  /** Two lines of equal precedence changed places; `rule` now stands first. */
  | { readonly kind: 'reordered', readonly rule: Rule, readonly other: Rule }

const withoutOrigin = ({ origin, ...rest }: Rule): Omit<Rule, 'origin'> => rest

/** Equal for lines of the same meaning and asker, wherever they stand. */
const meaningOf = (rule: Rule): string => JSON.stringify([withoutOrigin(rule), rule.origin.asker, rule.origin.team])

/** Names lines by meaning; a line that stands in both files in the same words is named by them, which is quicker. */
const createNaming = (before: readonly Rule[], after: readonly Rule[]): (rule: Rule) => string => {
  const old = new Set(before.map(rule => rule.origin.text))
  const shared = new Set(after.map(rule => rule.origin.text).filter(text => old.has(text)))
  return rule => shared.has(rule.origin.text) ? rule.origin.text : meaningOf(rule)
}

const subtract = (rules: readonly Rule[], others: readonly Rule[], nameOf: (rule: Rule) => string): { rest: Rule[], common: Rule[] } => {
  const counts = new Map<string, number>()
  for (const other of others) counts.set(nameOf(other), (counts.get(nameOf(other)) ?? 0) + 1)
  const rest: Rule[] = []
  const common: Rule[] = []
  for (const rule of rules) {
    const count = counts.get(nameOf(rule)) ?? 0
    if (count === 0) rest.push(rule)
    else common.push(rule)
    counts.set(nameOf(rule), Math.max(0, count - 1))
  }
  return { rest, common }
}

/** Indexes outside the longest ascending run of `positions`. */
const misplaced = (positions: readonly number[]): number[] => {
  const tails: number[] = []
  const previous: number[] = []
  positions.forEach((position, index) => {
    let low = 0
    let high = tails.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (positions[tails[middle]] < position) low = middle + 1
      else high = middle
    }
    previous[index] = low > 0 ? tails[low - 1] : -1
    tails[low] = index
  })
  const placed = new Set<number>()
  for (let index = tails.at(-1) ?? -1; index >= 0; index = previous[index]) placed.add(index)
  return positions.map((_, index) => index).filter(index => !placed.has(index))
}

const orderMatters = (left: Rule, right: Rule): boolean => {
  if (left.kind !== right.kind || !('selector' in left) || !('selector' in right)) return false
  return compareSpecificity(left.selector, right.selector) === 0 &&
    selectorsOverlap(left.selector, right.selector) &&
    JSON.stringify(withoutOrigin(left)) !== JSON.stringify(withoutOrigin(right))
}

const reorderings = (before: readonly Rule[], after: readonly Rule[], nameOf: (rule: Rule) => string): RuleChange[] => {
  const places = new Map<string, number[]>()
  before.forEach((rule, index) => {
    const known = places.get(nameOf(rule))
    if (known === undefined) places.set(nameOf(rule), [index])
    else known.push(index)
  })
  const positions = after.map(rule => places.get(nameOf(rule))?.shift() ?? -1)
  const changes: RuleChange[] = []
  for (const index of misplaced(positions)) {
    after.forEach((other, place) => {
      const swapped = (place - index) * (positions[place] - positions[index]) < 0
      if (!swapped || !orderMatters(after[index], other)) return
      const [rule, later] = index < place ? [after[index], other] : [other, after[index]]
      changes.push({ kind: 'reordered', rule, other: later })
    })
  }
  return changes
}

/**
 * Compares two rules files by meaning: spacing, mere comments and the place of
 * a line are no change, unless the place decides between two lines.
 *
 * @param before - the rules in force
 * @param after - the rules to come
 * @returns every change
 */
export const diffRules = (before: readonly Rule[], after: readonly Rule[]): RuleChange[] => {
  const nameOf = createNaming(before, after)
  const removed = subtract(before, after, nameOf)
  const added = subtract(after, before, nameOf)
  return [
    ...removed.rest.map(rule => ({ kind: 'removed', rule }) as const),
    ...added.rest.map(rule => ({ kind: 'added', rule }) as const),
    ...reorderings(removed.common, added.common, nameOf)
  ]
}

/** The only workspaces that a rule concerns, or undefined if it concerns the whole fleet. */
const workspacesOf = (rule: Rule): readonly string[] | undefined => {
  switch (rule.kind) {
    case 'workspace': return [rule.name]
    case 'callerKey': return [rule.workspace]
    case 'operatorKey':
    case 'model':
    case 'alias': return undefined
    default: {
      const workspace = rule.selector.workspace
      return workspace === undefined || isGlob(workspace) ? undefined : [workspace]
    }
  }
}

const isOwn = (rule: Rule, operator: Operator): boolean => {
  if (rule.origin.team !== operator.team) return false
  return workspacesOf(rule)?.every(name => operator.workspaces.includes(name)) ?? false
}

const rulesOf = (change: RuleChange): readonly Rule[] => change.kind === 'reordered' ? [change.rule, change.other] : [change.rule]

/**
 * Finds the changes that an operator may not make: lines of another team, and
 * lines that reach beyond the operator's workspaces.
 *
 * @param changes - what a publish changes
 * @param operator - who publishes
 * @returns the changes that must be refused; none for the role `fleet`
 */
export const findForbiddenChanges = (changes: readonly RuleChange[], operator: Operator): RuleChange[] => {
  switch (operator.role) {
    case 'fleet': return []
    case 'read': return [...changes]
    case 'publish': return changes.filter(change => !rulesOf(change).every(rule => isOwn(rule, operator)))
  }
}

/**
 * Names what changes touch.
 *
 * @param changes - what a publish changes
 * @returns the lines touched, with their teams, and the workspaces concerned; `fleet` if any line concerns all
 */
export const touched = (changes: readonly RuleChange[]): { readonly origins: readonly RuleOrigin[], readonly workspaces: readonly string[], readonly fleet: boolean } => {
  const rules = changes.flatMap(rulesOf)
  const workspaces = rules.map(workspacesOf)
  return {
    origins: rules.map(rule => rule.origin),
    workspaces: [...new Set(workspaces.flatMap(names => names ?? []))].sort(),
    fleet: workspaces.includes(undefined)
  }
}
