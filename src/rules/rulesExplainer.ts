/** Tells which lines match a query, which of them decided, and why. */
import { claimsOf } from './rulesClaims.js'
import type { Claim } from './rulesClaims.js'
import { resolveQuery } from './rulesQuery.js'
import { comparePrecedence, selects } from './rulesPrecedence.js'
import type { PrecedenceReason } from './rulesPrecedence.js'
import type { Rule, RuleDecision, RuleOrigin, RuleQuery, Ruleset } from './rulesTypes.js'

/** A line that matched but did not decide. */
export interface LosingRule {
  readonly origin: RuleOrigin
  /** Why the deciding line goes before it. */
  readonly reason: PrecedenceReason | 'denies' | 'lowestLimit' | 'sameOutcome'
}

/** How one attribute of a decision came about. */
export interface AttributeExplanation {
  readonly attribute: string
  readonly decidedBy: RuleOrigin
  readonly others: readonly LosingRule[]
}

/** A decision with every line that matched. */
export interface Explanation {
  /** The query as it was matched: the alias resolved, the path normalised. */
  readonly query: RuleQuery
  readonly decision: RuleDecision
  readonly attributes: readonly AttributeExplanation[]
}

const matchesOf = (rules: readonly Rule[], query: RuleQuery, attribute: string): Claim[] =>
  rules.flatMap(claimsOf).filter(claim => claim.attribute === attribute && selects(claim.selector, query))

const reasonOf = (attribute: string, winner: Claim, loser: Claim, owner: string | undefined): LosingRule['reason'] => {
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
 * @param query - a request's attributes
 * @returns the decision and, for each attribute that a line decided, the lines that lost
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
