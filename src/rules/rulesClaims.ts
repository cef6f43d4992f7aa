/** What each line of a rules file says on which attribute of a decision. */
import type { Rule, RuleOrigin, Selector, WorkspaceLimit } from './rulesTypes.js'

/** A line's say on an attribute. */
export interface Claim {
  readonly attribute: string
  readonly selector: Selector
  readonly origin: RuleOrigin
  /** Equal for claims that say the same. */
  readonly value: string
  /** Set for limits, of which the lowest holds. */
  readonly limit?: number
}

const limitClaims = (selector: Selector, limit: WorkspaceLimit, origin: RuleOrigin): Claim[] =>
  Object.entries(limit).map(([measure, value]) => ({ attribute: measure, selector, origin, value: String(value), limit: Number(value) }))

/**
 * Lists what a line says, attribute by attribute.
 *
 * @param rule - a line
 * @returns its claims; none for keys, models and aliases
 */
export const claimsOf = (rule: Rule): Claim[] => {
  const { origin } = rule
  switch (rule.kind) {
    case 'workspace': {
      const selector = { workspace: rule.name }
      const numbers = (['priority', 'worth', 'deadline'] as const).flatMap(attribute =>
        rule[attribute] === undefined ? [] : [{ attribute, selector, origin, value: String(rule[attribute]) }])
      return [...numbers, ...limitClaims(selector, rule.limit, origin)]
    }
    case 'route': return [{ attribute: 'endpoints', selector: rule.selector, origin, value: JSON.stringify(rule.destination) }]
    case 'deny': return [{ attribute: 'allowed', selector: rule.selector, origin, value: 'denied' }]
    case 'once': return [{ attribute: 'repeatable', selector: rule.selector, origin, value: 'once' }]
    case 'priority':
    case 'worth':
    case 'deadline': return [{ attribute: rule.kind, selector: rule.selector, origin, value: String(rule.value) }]
    case 'limit': return limitClaims(rule.selector, rule.limit, origin)
    case 'callerKey':
    case 'operatorKey':
    case 'model':
    case 'alias': return []
  }
}
