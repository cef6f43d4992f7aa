/**
 * Builds a `Ruleset` from parsed rules. Attributes with precedence are looked up in a
 * rule index; the limits of a workspace are computed on first use and cached.
 */
import { globMatches, isGlob } from './globs.js'
import { createRuleIndex } from './rulesIndex.js'
import type { AnyIndexEntry, Finder } from './rulesIndex.js'
import { collectKeys } from './rulesKeys.js'
import { resolveQuery } from './rulesQuery.js'
import type { Rule, DeclaredModel, RuleDecision, RuleOrigin, RuleQuery, RuleRefusal, Ruleset, WorkspaceLimit } from './rulesTypes.js'

/** Default deadline of a request in ms, used if no rule sets one. */
export const defaultDeadline = 30_000

type WorkspaceRule = Extract<Rule, { kind: 'workspace' }>
type ModelRule = Extract<Rule, { kind: 'model' }>
type LimitRule = Extract<Rule, { kind: 'limit' }>

interface Declarations {
  readonly workspaces: ReadonlyMap<string, WorkspaceRule>
  readonly models: ReadonlyMap<string, ModelRule>
  readonly aliases: ReadonlyMap<string, string>
}

const collectDeclarations = (rules: readonly Rule[]): Declarations => {
  const workspaces = new Map<string, WorkspaceRule>()
  const models = new Map<string, ModelRule>()
  const aliases = new Map<string, string>()
  for (const rule of rules) {
    if (rule.kind === 'workspace') workspaces.set(rule.name, rule)
    if (rule.kind === 'model') models.set(rule.name, rule)
    if (rule.kind === 'alias') aliases.set(rule.name, rule.model)
  }
  return { workspaces, models, aliases }
}

/** The index entries of a rule: its values for the attributes that are decided by precedence. */
const entriesOf = (rule: Rule): AnyIndexEntry[] => {
  const { origin } = rule
  switch (rule.kind) {
    case 'workspace': {
      const selector = { workspace: rule.name }
      return (['priority', 'worth', 'deadline'] as const).flatMap(attribute => {
        const value = rule[attribute]
        return value === undefined ? [] : [{ attribute, selector, value, origin }]
      })
    }
    case 'route': return [{ attribute: 'endpoints', selector: rule.selector, value: rule.destination, origin }]
    case 'deny': return [{ attribute: 'allowed', selector: rule.selector, value: false, origin }]
    case 'once': return [{ attribute: 'repeatable', selector: rule.selector, value: false, origin }]
    case 'priority':
    case 'worth':
    case 'deadline': return [{ attribute: rule.kind, selector: rule.selector, value: rule.value, origin }]
    case 'limit':
    case 'callerKey':
    case 'operatorKey':
    case 'model':
    case 'alias': return []
  }
}

const limitFields = ['requestsPerSecond', 'tokensPerSecond', 'concurrency'] as const

/** The limits of a workspace, with the origin of the rule that sets each, keyed by limit. */
interface Limits {
  readonly limit: WorkspaceLimit
  readonly origins: Readonly<Record<string, RuleOrigin>>
}

/** Takes the lowest value of each limit; of equal values, the first rule is given as the origin. */
const lowestLimits = (rules: readonly { readonly limit: WorkspaceLimit, readonly origin: RuleOrigin }[]): Limits => {
  const limit: { -readonly [Field in keyof WorkspaceLimit]: WorkspaceLimit[Field] } = {}
  const origins: Record<string, RuleOrigin> = {}
  for (const rule of rules) {
    for (const field of limitFields) {
      const value = rule.limit[field]
      if (value === undefined || value >= (limit[field] ?? Infinity)) continue
      limit[field] = value
      origins[field] = rule.origin
    }
  }
  return { limit, origins }
}

/** Returns a function that computes the limits of a workspace on first use and caches them; none for an undeclared workspace. */
const collectLimits = (rules: readonly Rule[], workspaces: Declarations['workspaces']): (workspace: string) => Limits => {
  const cache = new Map<string, Limits>()
  const exactRules = new Map<string, LimitRule[]>()
  const globRules: LimitRule[] = []
  for (const rule of rules) {
    if (rule.kind !== 'limit') continue
    const workspace = rule.selector.workspace ?? '*'
    if (isGlob(workspace)) globRules.push(rule)
    else exactRules.set(workspace, [...exactRules.get(workspace) ?? [], rule])
  }
  return workspace => {
    const rule = workspaces.get(workspace)
    const cached = cache.get(workspace)
    if (cached !== undefined || rule === undefined) return cached ?? { limit: {}, origins: {} }
    const matching = globRules.filter(limitRule => globMatches(limitRule.selector.workspace ?? '*', workspace))
    const limits = lowestLimits([rule, ...exactRules.get(workspace) ?? [], ...matching])
    cache.set(workspace, limits)
    return limits
  }
}

const refusedDecision = (refusal: RuleRefusal, because: Readonly<Record<string, RuleOrigin>>): RuleDecision => ({
  allowed: false, refusal, repeatable: false, priority: 0, worth: 1, deadline: defaultDeadline, limit: {}, because
})

const refusalOfModel = ({ model, adapter }: RuleQuery, models: Declarations['models']): RuleRefusal | undefined => {
  if (model === undefined) return undefined
  const declared = models.get(model)
  if (declared === undefined) return 'unknownModel'
  return adapter !== undefined && !declared.adapters.includes(adapter) ? 'unknownAdapter' : undefined
}

/** The origins of the deciding rules, keyed by attribute. */
const originsOf = (entries: readonly (AnyIndexEntry | undefined)[], limits: Limits, model: ModelRule | undefined): Readonly<Record<string, RuleOrigin>> => {
  const origins: Record<string, RuleOrigin> = { ...limits.origins }
  if (model !== undefined) origins.weightVersion = model.origin
  for (const entry of entries) if (entry !== undefined) origins[entry.attribute] = entry.origin
  return origins
}

/** Takes each attribute from its winning rule. `because` is a getter, so that its object is built only if it is read. */
const decideAllowed = (query: RuleQuery, find: Finder, limits: Limits, model: ModelRule | undefined): RuleDecision => {
  const route = find('endpoints')
  const once = query.service === undefined ? undefined : find('repeatable')
  const priority = find('priority')
  const worth = find('worth')
  const deadline = find('deadline')
  const listed = route?.value.kind === 'listed' ? route.value : undefined
  return {
    allowed: true,
    endpoints: listed?.endpoints,
    dataCentres: listed?.dataCentres,
    model: model?.name,
    weightVersion: model?.weightVersion,
    repeatable: once === undefined,
    priority: priority?.value ?? 0,
    worth: worth?.value ?? 1,
    deadline: deadline?.value ?? defaultDeadline,
    limit: limits.limit,
    get because () {
      return originsOf([route, once, priority, worth, deadline], limits, model)
    }
  }
}

/**
 * Builds a ruleset.
 *
 * @param rules - the rules of a file that was parsed without errors
 * @returns the rules, indexed for decisions
 */
export const createRuleset = (rules: readonly Rule[]): Ruleset => {
  const declarations = collectDeclarations(rules)
  const index = createRuleIndex(rules.flatMap(entriesOf))
  const limitsOf = collectLimits(rules, declarations.workspaces)
  const names = [...declarations.workspaces.keys()]
  const models: ReadonlyMap<string, DeclaredModel> = new Map(
    [...declarations.models].map(([name, { weightVersion, adapters }]) => [name, { weightVersion, adapters }]))

  const decideQuery = (received: RuleQuery): RuleDecision => {
    const workspace = declarations.workspaces.get(received.workspace)
    if (workspace === undefined) return refusedDecision('unknownWorkspace', {})
    const query = resolveQuery(received, declarations.aliases)
    const refusal = refusalOfModel(query, declarations.models)
    if (refusal !== undefined) return refusedDecision(refusal, {})
    const find = index.lookUp(query, workspace.origin.team)
    const denied = find('allowed')
    if (denied !== undefined) return refusedDecision('denied', { allowed: denied.origin })
    const model = query.model === undefined ? undefined : declarations.models.get(query.model)
    return decideAllowed(query, find, limitsOf(query.workspace), model)
  }

  return {
    rules,
    decide: decideQuery,
    ...collectKeys(rules),
    workspaces: () => names,
    models: () => models,
    aliases: () => declarations.aliases,
    limits: workspace => limitsOf(workspace).limit
  }
}

/**
 * Decides a query.
 *
 * @param ruleset - the rules in force
 * @param query - the attributes of a request as received
 * @returns the decision of the rules
 */
export const decide = (ruleset: Ruleset, query: RuleQuery): RuleDecision => ruleset.decide(query)

/**
 * Checks whether a decision admits an endpoint.
 *
 * @param decision - the decision of the rules for a request
 * @param endpoint - the id and data centre of an endpoint
 * @returns true if the request is allowed and its route admits the endpoint
 */
export const admitsEndpoint = (decision: RuleDecision, endpoint: { readonly id: string, readonly dataCentre: string }): boolean => {
  if (!decision.allowed) return false
  if (decision.endpoints === undefined) return true
  return decision.endpoints.includes(endpoint.id) || decision.dataCentres?.includes(endpoint.dataCentre) === true
}
