/** Explains a decision: which rules match the query, which of them decided, and why. */
import { effectsOf } from './rulesEffects.js'
import type { RuleEffect } from './rulesEffects.js'
import { resolveQuery } from './rulesQuery.js'
import { comparePrecedence, selectorMatches } from './rulesPrecedence.js'
import type { PrecedenceReason } from './rulesPrecedence.js'
import type { Rule, RuleDecision, RuleOrigin, RuleQuery, Ruleset } from './rulesTypes.js'

/** A rule that matched but did not decide. */
export interface LosingRule {
  readonly origin: RuleOrigin
  /** Why the deciding rule takes precedence over it. */
  readonly reason: PrecedenceReason | 'denies' | 'lowestLimit' | 'sameOutcome'
}

/** How one attribute of a decision was determined. */
export interface AttributeExplanation {
  /** The attribute's name. */
  readonly attribute: string
  /** The origin of the rule that decided the attribute. */
  readonly decidedBy: RuleOrigin
  /** The other rules that set this attribute and match the query, in file order. */
  readonly others: readonly LosingRule[]
}

/** A decision with the rules that matched, by attribute. */
export interface Explanation {
  /** The query as it was matched: alias resolved, method in upper case, path normalised. */
  readonly query: RuleQuery
  /** The decision. */
  readonly decision: RuleDecision
  /** An explanation of each attribute that a rule decided. */
  readonly attributes: readonly AttributeExplanation[]
}

const matchesOf = (rules: readonly Rule[], query: RuleQuery, attribute: string): RuleEffect[] =>
  rules.flatMap(effectsOf).filter(effect => effect.attribute === attribute && selectorMatches(effect.selector, query))

const reasonOf = (attribute: string, winner: RuleEffect, loser: RuleEffect, owner: string | undefined): LosingRule['reason'] => {
  switch (attribute) {
    case 'allowed':
    case 'repeatable': return 'sameOutcome'
    case 'requestsPerSecond':
    case 'tokensPerSecond':
    case 'concurrency': return 'lowestLimit'
    default: return comparePrecedence(winner, loser, owner).reason
  }
}

/**
 * Explains a decision.
 *
 * @param ruleset - the rules in force
 * @param query - the attributes of a request as received
 * @returns the decision and, for each attribute that a rule decided, the rules that lost
 */
export const explain = (ruleset: Ruleset, query: RuleQuery): Explanation => {
  const decision = ruleset.decide(query)
  const resolved = resolveQuery(query, ruleset.aliases())
  const owner = ruleset.rules.find(rule => rule.kind === 'workspace' && rule.name === query.workspace)?.origin.team
  const attributes = Object.entries(decision.because).map(([attribute, decidedBy]): AttributeExplanation => {
    const matches = matchesOf(ruleset.rules, resolved, attribute)
    const winner = matches.find(match => match.origin === decidedBy)
    const others = winner === undefined ? [] : matches.filter(match => match !== winner)
    return {
      attribute,
      decidedBy,
      others: others.flatMap(match => winner === undefined ? [] : [{ origin: match.origin, reason: reasonOf(attribute, winner, match, owner) }])
    }
  })
  return { query: resolved, decision, attributes }
}
