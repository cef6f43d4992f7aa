/** Semantic difference between two rules files, and whether an operator may publish it. */
import { isGlob } from './globs.js'
import { selectorsOverlap } from './rulesOverlap.js'
import { compareSpecificity } from './rulesPrecedence.js'
import type { Operator, Rule, RuleOrigin } from './rulesTypes.js'

/** A semantic difference between two rules files. */
export type RuleChange =
  | { readonly kind: 'added', readonly rule: Rule }
  | { readonly kind: 'removed', readonly rule: Rule }
  /** Two equally specific rules, of which the order decides, were swapped; `rule` now comes first. */
  | { readonly kind: 'reordered', readonly rule: Rule, readonly other: Rule }

const withoutOrigin = ({ origin, ...rest }: Rule): Omit<Rule, 'origin'> => rest

/** A key that is equal for rules with the same content, asker and team, regardless of their position and spacing. */
const semanticKey = (rule: Rule): string => JSON.stringify([withoutOrigin(rule), rule.origin.asker, rule.origin.team])

/**
 * Returns a function that gives rules a key by which they are matched between the two files: the
 * text of the line if it is identical in both files, which is faster, else the semantic key.
 */
const createKeyFunction = (before: readonly Rule[], after: readonly Rule[]): (rule: Rule) => string => {
  const old = new Set(before.map(rule => rule.origin.text))
  const shared = new Set(after.map(rule => rule.origin.text).filter(text => old.has(text)))
  return rule => shared.has(rule.origin.text) ? rule.origin.text : semanticKey(rule)
}

/** Splits rules into those that `others` also has (`common`) and the others (`rest`); a rule that occurs n times matches n times. */
const subtract = (rules: readonly Rule[], others: readonly Rule[], keyOf: (rule: Rule) => string): { rest: Rule[], common: Rule[] } => {
  const counts = new Map<string, number>()
  for (const other of others) counts.set(keyOf(other), (counts.get(keyOf(other)) ?? 0) + 1)
  const rest: Rule[] = []
  const common: Rule[] = []
  for (const rule of rules) {
    const count = counts.get(keyOf(rule)) ?? 0
    if (count === 0) rest.push(rule)
    else common.push(rule)
    counts.set(keyOf(rule), Math.max(0, count - 1))
  }
  return { rest, common }
}

/** The indexes that are not part of a longest increasing subsequence of `positions`. */
const findOutOfOrder = (positions: readonly number[]): number[] => {
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
  const inOrder = new Set<number>()
  for (let index = tails.at(-1) ?? -1; index >= 0; index = previous[index]) inOrder.add(index)
  return positions.map((_, index) => index).filter(index => !inOrder.has(index))
}

/** Whether the order of two rules can change a decision. */
const orderMatters = (left: Rule, right: Rule): boolean => {
  if (left.kind !== right.kind || !('selector' in left) || !('selector' in right)) return false
  return compareSpecificity(left.selector, right.selector) === 0 &&
    selectorsOverlap(left.selector, right.selector) &&
    JSON.stringify(withoutOrigin(left)) !== JSON.stringify(withoutOrigin(right))
}

/** Finds the swaps of rules for which the order matters, among the rules that both files have. */
const reorderings = (before: readonly Rule[], after: readonly Rule[], keyOf: (rule: Rule) => string): RuleChange[] => {
  const positionsByKey = new Map<string, number[]>()
  before.forEach((rule, index) => {
    const existing = positionsByKey.get(keyOf(rule))
    if (existing === undefined) positionsByKey.set(keyOf(rule), [index])
    else existing.push(index)
  })
  const positions = after.map(rule => positionsByKey.get(keyOf(rule))?.shift() ?? -1)
  const changes: RuleChange[] = []
  for (const index of findOutOfOrder(positions)) {
    after.forEach((other, otherIndex) => {
      const swapped = (otherIndex - index) * (positions[otherIndex] - positions[index]) < 0
      if (!swapped || !orderMatters(after[index], other)) return
      const [rule, later] = index < otherIndex ? [after[index], other] : [other, after[index]]
      changes.push({ kind: 'reordered', rule, other: later })
    })
  }
  return changes
}

/**
 * Compares two rules files semantically. Spacing, comment lines and the position of a rule are
 * not changes, unless the position decides between two rules.
 *
 * @param before - the rules in force
 * @param after - the rules to be published
 * @returns every change: removed rules, then added ones, then reordered ones
 */
export const diffRules = (before: readonly Rule[], after: readonly Rule[]): RuleChange[] => {
  const keyOf = createKeyFunction(before, after)
  const removed = subtract(before, after, keyOf)
  const added = subtract(after, before, keyOf)
  return [
    ...removed.rest.map(rule => ({ kind: 'removed', rule }) as const),
    ...added.rest.map(rule => ({ kind: 'added', rule }) as const),
    ...reorderings(removed.common, added.common, keyOf)
  ]
}

/** The workspaces that a rule affects, or undefined if it affects the whole fleet. */
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

/** Whether a rule belongs to the operator's team and affects only the operator's workspaces. */
const mayChange = (rule: Rule, operator: Operator): boolean => {
  if (rule.origin.team !== operator.team) return false
  return workspacesOf(rule)?.every(name => operator.workspaces.includes(name)) ?? false
}

const rulesOf = (change: RuleChange): readonly Rule[] => change.kind === 'reordered' ? [change.rule, change.other] : [change.rule]

/**
 * Finds the changes that an operator may not make: those to lines of another team, and those
 * to lines that affect workspaces other than the operator's.
 *
 * @param changes - the changes that the operator wants to publish
 * @param operator - the operator
 * @returns the changes that must be refused: none for the role `fleet`, all for the role `read`
 */
export const findForbiddenChanges = (changes: readonly RuleChange[], operator: Operator): RuleChange[] => {
  switch (operator.role) {
    case 'fleet': return []
    case 'read': return [...changes]
    case 'publish': return changes.filter(change => !rulesOf(change).every(rule => mayChange(rule, operator)))
  }
}

/**
 * Summarises the lines and workspaces that changes affect.
 *
 * @param changes - the changes between two rules files
 * @returns `origins`, the origins of the changed rules; `workspaces`, the names of the affected workspaces,
 * sorted; `fleet`, whether any changed rule affects the whole fleet
 */
export const summariseChanges = (changes: readonly RuleChange[]): { readonly origins: readonly RuleOrigin[], readonly workspaces: readonly string[], readonly fleet: boolean } => {
  const rules = changes.flatMap(rulesOf)
  const workspaces = rules.map(workspacesOf)
  return {
    origins: rules.map(rule => rule.origin),
    workspaces: [...new Set(workspaces.flatMap(names => names ?? []))].sort(),
    fleet: workspaces.includes(undefined)
  }
}
