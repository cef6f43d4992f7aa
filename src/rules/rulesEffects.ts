/** The effects of each rule: the values that it sets for attributes of a decision. */
import type { Rule, RuleOrigin, Selector, WorkspaceLimit } from './rulesTypes.js'

/** The effect of one rule on one attribute. */
export interface RuleEffect {
  /** The attribute's name, as in `RuleDecision.because`. */
  readonly attribute: string
  readonly selector: Selector
  readonly origin: RuleOrigin
  /** The value in a form for comparison: equal for effects that set the same value. */
  readonly value: string
  /** The numeric value of a limit, of which the lowest applies; undefined for other attributes. */
  readonly limit?: number
}

const limitEffects = (selector: Selector, limit: WorkspaceLimit, origin: RuleOrigin): RuleEffect[] =>
  Object.entries(limit).map(([field, value]) => ({ attribute: field, selector, origin, value: String(value), limit: Number(value) }))

/**
 * Lists the effects of a rule, one for each attribute that it sets.
 *
 * @param rule - a rule
 * @returns its effects; none for keys, models and aliases
 */
export const effectsOf = (rule: Rule): RuleEffect[] => {
  const { origin } = rule
  switch (rule.kind) {
    case 'workspace': {
      const selector = { workspace: rule.name }
      const numbers = (['priority', 'worth', 'deadline'] as const).flatMap(attribute =>
        rule[attribute] === undefined ? [] : [{ attribute, selector, origin, value: String(rule[attribute]) }])
      return [...numbers, ...limitEffects(selector, rule.limit, origin)]
    }
    case 'route': return [{ attribute: 'endpoints', selector: rule.selector, origin, value: JSON.stringify(rule.destination) }]
    case 'deny': return [{ attribute: 'allowed', selector: rule.selector, origin, value: 'denied' }]
    case 'once': return [{ attribute: 'repeatable', selector: rule.selector, origin, value: 'once' }]
    case 'priority':
    case 'worth':
    case 'deadline': return [{ attribute: rule.kind, selector: rule.selector, origin, value: String(rule.value) }]
    case 'limit': return limitEffects(rule.selector, rule.limit, origin)
    case 'callerKey':
    case 'operatorKey':
    case 'model':
    case 'alias': return []
  }
}
