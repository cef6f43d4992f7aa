/**
 * Indexes rules for decisions: one index for each attribute, and each
 * workspace's limits worked out when they are first asked for.
 */
import { globMatches, isGlob } from './globs.js'
import { createRuleIndex } from './rulesIndex.js'
import type { AnyEntry, Finder } from './rulesIndex.js'
import { collectKeys } from './rulesKeys.js'
import { resolveQuery } from './rulesQuery.js'
import type { Rule, RuledModel, RuleDecision, RuleOrigin, RuleQuery, RuleRefusal, Ruleset, WorkspaceLimit } from './rulesTypes.js'

/** Ms that a request may take when no line says otherwise. */
export const defaultDeadline = 30_000

type WorkspaceRule = Extract<Rule, { kind: 'workspace' }>
type ModelRule = Extract<Rule, { kind: 'model' }>
type LimitRule = Extract<Rule, { kind: 'limit' }>

interface Declarations {
  readonly workspaces: ReadonlyMap<string, WorkspaceRule>
  readonly models: ReadonlyMap<string, ModelRule>
  readonly aliases: ReadonlyMap<string, string>
}

const declare = (rules: readonly Rule[]): Declarations => {
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

/** What a line says on the attributes that are decided by precedence. */
const entriesOf = (rule: Rule): AnyEntry[] => {
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

const measures = ['requestsPerSecond', 'tokensPerSecond', 'concurrency'] as const

/** A workspace's limits with the lines that set them. */
interface Limits {
  readonly limit: WorkspaceLimit
  readonly origins: Readonly<Record<string, RuleOrigin>>
}

const lowestOf = (lines: readonly { readonly limit: WorkspaceLimit, readonly origin: RuleOrigin }[]): Limits => {
  const limit: { -readonly [Measure in keyof WorkspaceLimit]: WorkspaceLimit[Measure] } = {}
  const origins: Record<string, RuleOrigin> = {}
  for (const line of lines) {
    for (const measure of measures) {
      const value = line.limit[measure]
      if (value === undefined || value >= (limit[measure] ?? Infinity)) continue
      limit[measure] = value
      origins[measure] = line.origin
    }
  }
  return { limit, origins }
}

/** Works out a workspace's limits when first asked, and keeps them. */
const collectLimits = (rules: readonly Rule[], workspaces: Declarations['workspaces']): (workspace: string) => Limits => {
  const kept = new Map<string, Limits>()
  const exact = new Map<string, LimitRule[]>()
  const wide: LimitRule[] = []
  for (const rule of rules) {
    if (rule.kind !== 'limit') continue
    const workspace = rule.selector.workspace ?? '*'
    if (isGlob(workspace)) wide.push(rule)
    else exact.set(workspace, [...exact.get(workspace) ?? [], rule])
  }
  return workspace => {
    const rule = workspaces.get(workspace)
    const known = kept.get(workspace)
    if (known !== undefined || rule === undefined) return known ?? { limit: {}, origins: {} }
    const matching = wide.filter(line => globMatches(line.selector.workspace ?? '*', workspace))
    const limits = lowestOf([rule, ...exact.get(workspace) ?? [], ...matching])
    kept.set(workspace, limits)
    return limits
  }
}

const refused = (refusal: RuleRefusal, because: Readonly<Record<string, RuleOrigin>>): RuleDecision => ({
  allowed: false, refusal, repeatable: false, priority: 0, worth: 1, deadline: defaultDeadline, limit: {}, because
})

const refusalOfModel = ({ model, adapter }: RuleQuery, models: Declarations['models']): RuleRefusal | undefined => {
  if (model === undefined) return undefined
  const declared = models.get(model)
  if (declared === undefined) return 'unknownModel'
  return adapter !== undefined && !declared.adapters.includes(adapter) ? 'unknownAdapter' : undefined
}

/** The lines that decided, by attribute. */
const originsOf = (entries: readonly (AnyEntry | undefined)[], limits: Limits, model: ModelRule | undefined): Readonly<Record<string, RuleOrigin>> => {
  const origins: Record<string, RuleOrigin> = { ...limits.origins }
  if (model !== undefined) origins.weightVersion = model.origin
  for (const entry of entries) if (entry !== undefined) origins[entry.attribute] = entry.origin
  return origins
}

/** Takes each attribute from its winning line; `because` is put together only when it is read. */
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
 * Indexes rules.
 *
 * @param rules - the rules of a file that parsed
 * @returns the rules, ready for decisions
 */
export const createRuleset = (rules: readonly Rule[]): Ruleset => {
  const declarations = declare(rules)
  const index = createRuleIndex(rules.flatMap(entriesOf))
  const limitsOf = collectLimits(rules, declarations.workspaces)
  const names = [...declarations.workspaces.keys()]
  const models: ReadonlyMap<string, RuledModel> = new Map(
    [...declarations.models].map(([name, { weightVersion, adapters }]) => [name, { weightVersion, adapters }]))

  const decideQuery = (received: RuleQuery): RuleDecision => {
    const workspace = declarations.workspaces.get(received.workspace)
    if (workspace === undefined) return refused('unknownWorkspace', {})
    const query = resolveQuery(received, declarations.aliases)
    const refusal = refusalOfModel(query, declarations.models)
    if (refusal !== undefined) return refused(refusal, {})
    const find = index.lookUp(query, workspace.origin.team)
    const denied = find('allowed')
    if (denied !== undefined) return refused('denied', { allowed: denied.origin })
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
 * Answers a query.
 *
 * @param ruleset - the rules in force
 * @param query - a request's attributes
 * @returns what the rules say about it
 */
export const decide = (ruleset: Ruleset, query: RuleQuery): RuleDecision => ruleset.decide(query)

/**
 * Whether a decision admits an endpoint.
 *
 * @param decision - what the rules say
 * @param endpoint - an endpoint's id and data centre
 * @returns true if the routes lead there
 */
export const admitsEndpoint = (decision: RuleDecision, endpoint: { readonly id: string, readonly dataCentre: string }): boolean => {
  if (!decision.allowed) return false
  if (decision.endpoints === undefined) return true
  return decision.endpoints.includes(endpoint.id) || decision.dataCentres?.includes(endpoint.dataCentre) === true
}
