/**
 * Finds lines of different teams that contradict each other, and lines that
 * can never decide anything. Lines are compared only where their workspaces
 * and models or services can meet.
 */
import { globMatches, isGlob } from './globs.js'
import { claimsOf } from './rulesClaims.js'
import { selectorCovers, selectorsOverlap } from './rulesOverlap.js'
import { comparePrecedence, compareSpecificity } from './rulesPrecedence.js'
import type { PrecedenceReason } from './rulesPrecedence.js'
import type { Claim } from './rulesClaims.js'
import type { Rule, RuleOrigin, Selector } from './rulesTypes.js'

/** Why a line wins over another. */
export type WinningReason = PrecedenceReason | 'denies' | 'lowestLimit'

/** Two lines of different teams that say different things about the same requests. */
export interface RuleConflict {
  /** The attribute that they disagree on. */
  readonly attribute: string
  /** `override` if the winner selects only a part of what the loser selects, as an exception to it. */
  readonly severity: 'conflict' | 'override'
  readonly winner: RuleOrigin
  readonly loser: RuleOrigin
  readonly reason: WinningReason
  /** A workspace for which this holds; between lines for several, another owner may turn the outcome. */
  readonly workspace: string
}

/** A line that never decides anything. */
export interface ShadowedRule {
  readonly shadowed: RuleOrigin
  readonly by: RuleOrigin
}

/** What a check of a rules file found. */
export interface RuleReport {
  readonly conflicts: readonly RuleConflict[]
  readonly shadowed: readonly ShadowedRule[]
  /** Whether there is more than is listed. */
  readonly truncated: boolean
}

/** Conflicts listed at most, and shadowed lines likewise. */
export const maxReported = 2000

interface Outcome {
  readonly winner: Claim
  readonly loser: Claim
  readonly reason: WinningReason
  readonly workspace: string
}

/** The declared workspaces with the teams that own them. */
type Owners = ReadonlyMap<string, string>

const ownersOf = (rules: readonly Rule[]): Owners =>
  new Map(rules.flatMap(rule => rule.kind === 'workspace' ? [[rule.name, rule.origin.team]] : []))

/** The declared workspaces that both selectors admit. */
function * sharedWorkspaces (left: Selector, right: Selector, owners: Owners): Iterable<string> {
  const globs = [left.workspace ?? '*', right.workspace ?? '*']
  const exact = globs.find(glob => !isGlob(glob))
  const candidates = exact === undefined ? owners.keys() : [exact]
  for (const name of candidates) if (globs.every(glob => globMatches(glob, name))) yield name
}

/** The outcomes of two claims that meet; more than one only where the workspace's owner decides. */
const outcomesOf = (left: Claim, right: Claim, owners: Owners): Outcome[] => {
  if (!selectorsOverlap(left.selector, right.selector)) return []
  const outcomes: Outcome[] = []
  const mayTurn = compareSpecificity(left.selector, right.selector) === 0
  for (const workspace of sharedWorkspaces(left.selector, right.selector, owners)) {
    const outcome = { ...rank(left, right, owners.get(workspace)), workspace }
    if (outcomes.every(({ winner }) => winner !== outcome.winner)) outcomes.push(outcome)
    if (!mayTurn || outcomes.length === 2) return outcomes
  }
  return outcomes
}

/** Orders two claims that meet in a workspace. */
const rank = (left: Claim, right: Claim, owner: string | undefined): Omit<Outcome, 'workspace'> => {
  if (left.attribute === 'allowed' && right.attribute !== 'allowed') return { winner: left, loser: right, reason: 'denies' }
  if (right.attribute === 'allowed' && left.attribute !== 'allowed') return { winner: right, loser: left, reason: 'denies' }
  if (left.limit !== undefined && right.limit !== undefined) {
    const [winner, loser] = left.limit <= right.limit ? [left, right] : [right, left]
    return { winner, loser, reason: 'lowestLimit' }
  }
  const { order, reason } = comparePrecedence(left, right, owner)
  return order <= 0 ? { winner: left, loser: right, reason } : { winner: right, loser: left, reason }
}

const shadows = (winner: Claim, loser: Claim, reason: WinningReason): boolean => {
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

const anyBucket = '*'
const exactOr = (glob: string | undefined): string => glob === undefined || isGlob(glob) ? anyBucket : glob
const subjectOf = ({ model, service }: Selector): string =>
  service === undefined ? exactOr(model) : `service ${exactOr(service)}`

/** Claims by exact workspace and exact model or service, so that only those that can meet are compared. */
class Buckets {
  readonly #byWorkspace = new Map<string, Map<string, Claim[]>>()

  add (claim: Claim): void {
    const workspace = exactOr(claim.selector.workspace)
    const subjects = this.#byWorkspace.get(workspace) ?? new Map<string, Claim[]>()
    this.#byWorkspace.set(workspace, subjects)
    const claims = subjects.get(subjectOf(claim.selector))
    if (claims === undefined) subjects.set(subjectOf(claim.selector), [claim])
    else claims.push(claim)
  }

  * near ({ selector }: Claim): Iterable<Claim> {
    const workspace = exactOr(selector.workspace)
    const near = workspace === anyBucket ? this.#byWorkspace.values() : [this.#byWorkspace.get(workspace), this.#byWorkspace.get(anyBucket)]
    for (const subjects of near) {
      if (subjects !== undefined) yield * this.#inSubjects(subjects, subjectOf(selector))
    }
  }

  * #inSubjects (subjects: ReadonlyMap<string, Claim[]>, subject: string): Iterable<Claim> {
    const wide = subject === anyBucket || subject === `service ${anyBucket}`
    for (const [other, claims] of subjects) {
      if (wide || other === subject || other === anyBucket || other === `service ${anyBucket}`) yield * claims
    }
  }
}

/** The attributes that a line of an attribute is compared with. */
const comparedWith = (attribute: string): readonly string[] => {
  switch (attribute) {
    case 'allowed': return ['allowed', 'endpoints']
    case 'endpoints': return ['allowed', 'endpoints']
    default: return [attribute]
  }
}

/**
 * Checks rules against one another.
 *
 * @param rules - the rules of a file that parsed
 * @returns conflicts between teams and shadowed lines, in file order of the later line
 */
export const checkRules = (rules: readonly Rule[]): RuleReport => {
  const owners = ownersOf(rules)
  const buckets = new Map<string, Buckets>()
  const conflicts: RuleConflict[] = []
  const shadowed = new Map<RuleOrigin, RuleOrigin>()
  let truncated = false

  const compare = (left: Claim, right: Claim): void => {
    const outcomes = outcomesOf(left, right, owners)
    conflicts.push(...outcomes.flatMap(outcome => conflictOf(outcome) ?? []))
    if (outcomes.length !== 1) return
    const { winner, loser, reason } = outcomes[0]
    if (loser.limit === undefined && !shadowed.has(loser.origin) && shadows(winner, loser, reason)) shadowed.set(loser.origin, winner.origin)
  }

  const check = (claim: Claim): void => {
    for (const attribute of comparedWith(claim.attribute)) {
      for (const other of buckets.get(attribute)?.near(claim) ?? []) {
        if (conflicts.length >= maxReported) {
          truncated = true
          return
        }
        compare(other, claim)
      }
    }
  }

  for (const claim of rules.flatMap(claimsOf)) {
    check(claim)
    const own = buckets.get(claim.attribute) ?? new Buckets()
    buckets.set(claim.attribute, own)
    own.add(claim)
  }
  const list = [...shadowed].map(([line, by]) => ({ shadowed: line, by }))
  return { conflicts, shadowed: list.slice(0, maxReported), truncated: truncated || list.length > maxReported }
}
