/**
 * Static check of a rules file: finds rules of different teams that conflict, and shadowed
 * rules, which never decide anything. Rules are compared only if they can select the same
 * workspace and the same model or service.
 */
import { globMatches, isGlob } from './globs.js'
import { effectsOf } from './rulesEffects.js'
import { selectorCovers, selectorsOverlap } from './rulesOverlap.js'
import { comparePrecedence, compareSpecificity } from './rulesPrecedence.js'
import type { PrecedenceReason } from './rulesPrecedence.js'
import type { RuleEffect } from './rulesEffects.js'
import type { Rule, RuleOrigin, Selector } from './rulesTypes.js'

/** Why one rule wins over another: by precedence, because a `deny` rule matches, or because its limit is the lowest. */
export type WinningReason = PrecedenceReason | 'denies' | 'lowestLimit'

/** Two rules of different teams that contradict each other for the same requests: different values, or a denial of what the other configures. */
export interface RuleConflict {
  /** The attribute that the loser sets. */
  readonly attribute: string
  /** `override` if the winner is an exception to the loser: it selects a subset of what the loser selects. */
  readonly severity: 'conflict' | 'override'
  readonly winner: RuleOrigin
  readonly loser: RuleOrigin
  readonly reason: WinningReason
  /**
   * A workspace in which this outcome applies. If both rules select several workspaces, the
   * opposite rule can win in a workspace with another owner.
   */
  readonly workspace: string
}

/** A rule that never decides anything, because another rule always wins over it. */
export interface ShadowedRule {
  /** The origin of the shadowed rule. */
  readonly shadowed: RuleOrigin
  /** The origin of a rule that always wins over it. */
  readonly by: RuleOrigin
}

/** The findings of the check of a rules file. */
export interface RuleReport {
  readonly conflicts: readonly RuleConflict[]
  readonly shadowed: readonly ShadowedRule[]
  /** Whether findings may be missing because of `maxReported`. */
  readonly truncated: boolean
}

/**
 * Limit on the reported conflicts, and separately on the reported shadowed rules. The check
 * stops at this number of conflicts; the last comparison can exceed it by one.
 */
export const maxReported = 2000

/** The result of comparing two effects in a workspace. */
interface Outcome {
  readonly winner: RuleEffect
  readonly loser: RuleEffect
  readonly reason: WinningReason
  readonly workspace: string
}

/** The owning team of each declared workspace. */
type Owners = ReadonlyMap<string, string>

const ownersOf = (rules: readonly Rule[]): Owners =>
  new Map(rules.flatMap(rule => rule.kind === 'workspace' ? [[rule.name, rule.origin.team]] : []))

/** The workspaces that both selectors match: declared ones, or the one that a selector names exactly. */
function * sharedWorkspaces (left: Selector, right: Selector, owners: Owners): Iterable<string> {
  const globs = [left.workspace ?? '*', right.workspace ?? '*']
  const exact = globs.find(glob => !isGlob(glob))
  const candidates = exact === undefined ? owners.keys() : [exact]
  for (const name of candidates) if (globs.every(glob => globMatches(glob, name))) yield name
}

/**
 * Compares two effects in the workspaces that both select: no outcome if they cannot match the same
 * query, two if either can win depending on the owner of the workspace, otherwise one.
 */
const outcomesOf = (left: RuleEffect, right: RuleEffect, owners: Owners): Outcome[] => {
  if (!selectorsOverlap(left.selector, right.selector)) return []
  const outcomes: Outcome[] = []
  const ownerDecides = compareSpecificity(left.selector, right.selector) === 0
  for (const workspace of sharedWorkspaces(left.selector, right.selector, owners)) {
    const outcome = { ...findWinner(left, right, owners.get(workspace)), workspace }
    if (outcomes.every(({ winner }) => winner !== outcome.winner)) outcomes.push(outcome)
    if (!ownerDecides || outcomes.length === 2) return outcomes
  }
  return outcomes
}

/** Determines which of two overlapping effects wins in a workspace. */
const findWinner = (left: RuleEffect, right: RuleEffect, owner: string | undefined): Omit<Outcome, 'workspace'> => {
  if (left.attribute === 'allowed' && right.attribute !== 'allowed') return { winner: left, loser: right, reason: 'denies' }
  if (right.attribute === 'allowed' && left.attribute !== 'allowed') return { winner: right, loser: left, reason: 'denies' }
  if (left.limit !== undefined && right.limit !== undefined) {
    const [winner, loser] = left.limit <= right.limit ? [left, right] : [right, left]
    return { winner, loser, reason: 'lowestLimit' }
  }
  const { order, reason } = comparePrecedence(left, right, owner)
  return order <= 0 ? { winner: left, loser: right, reason } : { winner: right, loser: left, reason }
}

/**
 * Whether the winner always wins over the loser. A more specific winner leaves the loser
 * in effect for other queries, except for `once`, where both have the same effect.
 */
const shadows = (winner: RuleEffect, loser: RuleEffect, reason: WinningReason): boolean => {
  if (reason === 'moreSpecific' && winner.attribute !== 'repeatable') return false
  return selectorCovers(winner.selector, loser.selector)
}

const conflictOf = ({ winner, loser, reason, workspace }: Outcome): RuleConflict | undefined => {
  if (winner.origin.team === loser.origin.team) return undefined
  if (winner.attribute === loser.attribute && winner.value === loser.value) return undefined
  const isException = compareSpecificity(winner.selector, loser.selector) !== 0 && selectorCovers(loser.selector, winner.selector)
  return {
    attribute: loser.attribute,
    severity: isException ? 'override' : 'conflict',
    winner: winner.origin,
    loser: loser.origin,
    reason,
    workspace
  }
}

/** Index key for globs and absent fields. */
const wildcardKey = '*'
const exactOrWildcard = (glob: string | undefined): string => glob === undefined || isGlob(glob) ? wildcardKey : glob
const subjectKey = ({ model, service }: Selector): string =>
  service === undefined ? exactOrWildcard(model) : `service ${exactOrWildcard(service)}`

/** Effects by exact workspace and exact model or service, so that only those that can overlap are compared. */
class EffectIndex {
  readonly #byWorkspace = new Map<string, Map<string, RuleEffect[]>>()

  add (effect: RuleEffect): void {
    const workspace = exactOrWildcard(effect.selector.workspace)
    const subjects = this.#byWorkspace.get(workspace) ?? new Map<string, RuleEffect[]>()
    this.#byWorkspace.set(workspace, subjects)
    const effects = subjects.get(subjectKey(effect.selector))
    if (effects === undefined) subjects.set(subjectKey(effect.selector), [effect])
    else effects.push(effect)
  }

  * candidates ({ selector }: RuleEffect): Iterable<RuleEffect> {
    const workspace = exactOrWildcard(selector.workspace)
    const candidates = workspace === wildcardKey ? this.#byWorkspace.values() : [this.#byWorkspace.get(workspace), this.#byWorkspace.get(wildcardKey)]
    for (const subjects of candidates) {
      if (subjects !== undefined) yield * this.#inSubjects(subjects, subjectKey(selector))
    }
  }

  * #inSubjects (subjects: ReadonlyMap<string, RuleEffect[]>, subject: string): Iterable<RuleEffect> {
    const isWildcard = subject === wildcardKey || subject === `service ${wildcardKey}`
    for (const [other, effects] of subjects) {
      if (isWildcard || other === subject || other === wildcardKey || other === `service ${wildcardKey}`) yield * effects
    }
  }
}

/** The attributes whose effects are compared with effects on the given attribute: a denial conflicts with routes. */
const comparedWith = (attribute: string): readonly string[] => {
  switch (attribute) {
    case 'allowed': return ['allowed', 'endpoints']
    case 'endpoints': return ['allowed', 'endpoints']
    default: return [attribute]
  }
}

/**
 * Checks the rules of a file against each other.
 *
 * @param rules - the rules of a file that was parsed without errors
 * @returns conflicts between teams and shadowed rules, in file order of the later rule of each pair
 */
export const checkRules = (rules: readonly Rule[]): RuleReport => {
  const owners = ownersOf(rules)
  const indexes = new Map<string, EffectIndex>()
  const conflicts: RuleConflict[] = []
  const shadowed = new Map<RuleOrigin, RuleOrigin>()
  let truncated = false

  const compare = (left: RuleEffect, right: RuleEffect): void => {
    const outcomes = outcomesOf(left, right, owners)
    conflicts.push(...outcomes.flatMap(outcome => conflictOf(outcome) ?? []))
    if (outcomes.length !== 1) return
    const { winner, loser, reason } = outcomes[0]
    if (loser.limit === undefined && !shadowed.has(loser.origin) && shadows(winner, loser, reason)) shadowed.set(loser.origin, winner.origin)
  }

  const check = (effect: RuleEffect): void => {
    for (const attribute of comparedWith(effect.attribute)) {
      for (const other of indexes.get(attribute)?.candidates(effect) ?? []) {
        if (conflicts.length >= maxReported) {
          truncated = true
          return
        }
        compare(other, effect)
      }
    }
  }

  for (const effect of rules.flatMap(effectsOf)) {
    check(effect)
    const index = indexes.get(effect.attribute) ?? new EffectIndex()
    indexes.set(effect.attribute, index)
    index.add(effect)
  }
  const list = [...shadowed].map(([origin, by]) => ({ shadowed: origin, by }))
  return { conflicts, shadowed: list.slice(0, maxReported), truncated: truncated || list.length > maxReported }
}
