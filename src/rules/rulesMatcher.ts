/**
 * Indexes rules for decisions. Each workspace gets its own lists of matching
 * lines, one for each attribute and in order of precedence, built when the
 * workspace is first asked for; finished decisions are kept in a bounded map.
 */
import { globMatches } from './globs.js'
import { collectKeys } from './rulesKeys.js'
import { comparePrecedence, selects } from './rulesPrecedence.js'
import { resolveQuery } from './rulesQuery.js'
import type { Destination, Rule, RuledModel, RuleDecision, RuleOrigin, RuleQuery, RuleRefusal, Ruleset, Selector, WorkspaceLimit } from './rulesTypes.js'

/** Ms that a request may take when no line says otherwise. */
export const defaultDeadline = 30_000
/** Decisions kept at most; beyond it the map starts anew. */
const maxKeptDecisions = 4096
/** Characters of a kept decision's key at most, which bounds the memory of unusual paths. */
const maxKeptKeyLength = 256

/** A line's say on one attribute. */
interface Entry<Value> {
  readonly selector: Selector
  readonly value: Value
  readonly origin: RuleOrigin
}

/** The lines that concern one workspace, in order of precedence. */
interface WorkspaceIndex {
  readonly deny: readonly Entry<true>[]
  readonly once: readonly Entry<true>[]
  readonly route: readonly Entry<Destination>[]
  readonly priority: readonly Entry<number>[]
  readonly worth: readonly Entry<number>[]
  readonly deadline: readonly Entry<number>[]
  readonly limit: WorkspaceLimit
  readonly limitOrigins: Readonly<Record<string, RuleOrigin>>
}

type Selecting = Extract<Rule, { readonly selector: Selector }>

interface Declarations {
  readonly workspaces: Map<string, Extract<Rule, { kind: 'workspace' }>>
  readonly models: Map<string, RuledModel>
  readonly modelOrigins: Map<string, RuleOrigin>
  readonly aliases: Map<string, string>
  /** Selecting lines by exact workspace. */
  readonly exact: Map<string, Selecting[]>
  /** Selecting lines whose workspace is absent or a glob. */
  readonly wide: Selecting[]
}

const addSelecting = (declarations: Declarations, rule: Selecting): void => {
  const workspace = rule.selector.workspace
  if (workspace === undefined || workspace.includes('*')) {
    declarations.wide.push(rule)
    return
  }
  const lines = declarations.exact.get(workspace)
  if (lines === undefined) declarations.exact.set(workspace, [rule])
  else lines.push(rule)
}

const declare = (rules: readonly Rule[]): Declarations => {
  const declarations: Declarations = {
    workspaces: new Map(), models: new Map(), modelOrigins: new Map(), aliases: new Map(), exact: new Map(), wide: []
  }
  for (const rule of rules) {
    switch (rule.kind) {
      case 'workspace': declarations.workspaces.set(rule.name, rule); break
      case 'model':
        declarations.models.set(rule.name, { weightVersion: rule.weightVersion, adapters: rule.adapters })
        declarations.modelOrigins.set(rule.name, rule.origin)
        break
      case 'alias': declarations.aliases.set(rule.name, rule.model); break
      case 'callerKey':
      case 'operatorKey': break
      default: addSelecting(declarations, rule)
    }
  }
  return declarations
}

const entriesOf = <Value>(lines: readonly Selecting[], owner: string, read: (line: Selecting) => Value | undefined): Entry<Value>[] =>
  lines
    .flatMap(line => {
      const value = read(line)
      return value === undefined ? [] : [{ selector: line.selector, value, origin: line.origin }]
    })
    .sort((left, right) => comparePrecedence(left, right, owner).order)

/** The say of a `workspace` line, as the lines that it stands for. */
const linesOfWorkspace = (rule: Extract<Rule, { kind: 'workspace' }>): Selecting[] => {
  const selector: Selector = { workspace: rule.name }
  const { origin, limit } = rule
  const numbers = (['priority', 'worth', 'deadline'] as const).flatMap(kind => {
    const value = rule[kind]
    return value === undefined ? [] : [{ kind, selector, value, origin }]
  })
  return [...numbers, { kind: 'limit', selector, limit, origin }]
}

const measures = ['requestsPerSecond', 'tokensPerSecond', 'concurrency'] as const

const lowestLimits = (lines: readonly Selecting[]): Pick<WorkspaceIndex, 'limit' | 'limitOrigins'> => {
  const limit: { -readonly [Measure in keyof WorkspaceLimit]: WorkspaceLimit[Measure] } = {}
  const limitOrigins: Record<string, RuleOrigin> = {}
  for (const line of lines) {
    if (line.kind !== 'limit') continue
    for (const measure of measures) {
      const value = line.limit[measure]
      if (value === undefined || value >= (limit[measure] ?? Infinity)) continue
      limit[measure] = value
      limitOrigins[measure] = line.origin
    }
  }
  return { limit, limitOrigins }
}

const indexWorkspace = (declarations: Declarations, rule: Extract<Rule, { kind: 'workspace' }>): WorkspaceIndex => {
  const wide = declarations.wide.filter(line => globMatches(line.selector.workspace ?? '*', rule.name))
  const lines = [...linesOfWorkspace(rule), ...(declarations.exact.get(rule.name) ?? []), ...wide]
    .sort((left, right) => left.origin.line - right.origin.line)
  const owner = rule.origin.team
  const numbers = (kind: 'priority' | 'worth' | 'deadline'): Entry<number>[] =>
    entriesOf(lines, owner, line => line.kind === kind ? line.value : undefined)
  return {
    deny: entriesOf(lines, owner, line => line.kind === 'deny' ? true : undefined),
    once: entriesOf(lines, owner, line => line.kind === 'once' ? true : undefined),
    route: entriesOf(lines, owner, line => line.kind === 'route' ? line.destination : undefined),
    priority: numbers('priority'),
    worth: numbers('worth'),
    deadline: numbers('deadline'),
    ...lowestLimits(lines)
  }
}

const refused = (refusal: RuleRefusal, because: Readonly<Record<string, RuleOrigin>>): RuleDecision => ({
  allowed: false, refusal, repeatable: false, priority: 0, worth: 1, deadline: defaultDeadline, limit: {}, because
})

const firstMatch = <Value>(entries: readonly Entry<Value>[], query: RuleQuery): Entry<Value> | undefined =>
  entries.find(entry => selects(entry.selector, query))

const refusalOfModel = (declarations: Declarations, { model, adapter }: RuleQuery): RuleRefusal | undefined => {
  if (model === undefined) return undefined
  const declared = declarations.models.get(model)
  if (declared === undefined) return 'unknownModel'
  return adapter !== undefined && !declared.adapters.includes(adapter) ? 'unknownAdapter' : undefined
}

const decideIn = (index: WorkspaceIndex, declarations: Declarations, query: RuleQuery): RuleDecision => {
  const refusal = refusalOfModel(declarations, query)
  if (refusal !== undefined) return refused(refusal, {})
  const denied = firstMatch(index.deny, query)
  if (denied !== undefined) return refused('denied', { allowed: denied.origin })
  const because: Record<string, RuleOrigin> = { ...index.limitOrigins }
  const take = <Value>(attribute: string, entries: readonly Entry<Value>[], otherwise: Value): Value => {
    const entry = firstMatch(entries, query)
    if (entry !== undefined) because[attribute] = entry.origin
    return entry?.value ?? otherwise
  }
  const destination = take('endpoints', index.route, { kind: 'any' })
  const once = query.service !== undefined && take('repeatable', index.once, undefined)
  const model = query.model === undefined ? undefined : declarations.models.get(query.model)
  const origin = query.model === undefined ? undefined : declarations.modelOrigins.get(query.model)
  if (origin !== undefined) because.weightVersion = origin
  return {
    allowed: true,
    ...(destination.kind === 'listed' ? { endpoints: destination.endpoints, dataCentres: destination.dataCentres } : {}),
    ...(model === undefined ? {} : { model: query.model, weightVersion: model.weightVersion }),
    repeatable: once !== true,
    priority: take('priority', index.priority, 0),
    worth: take('worth', index.worth, 1),
    deadline: take('deadline', index.deadline, defaultDeadline),
    limit: index.limit,
    because
  }
}

const keyOf = ({ model, adapter, service, method, path }: RuleQuery): string =>
  JSON.stringify([model, adapter, service, method, path])

/**
 * Indexes rules.
 *
 * @param rules - the rules of a file that parsed
 * @returns the rules, ready for decisions
 */
export const createRuleset = (rules: readonly Rule[]): Ruleset => {
  const declarations = declare(rules)
  const indexes = new Map<string, WorkspaceIndex>()
  const kept = new Map<string, Map<string, RuleDecision>>()
  let keptCount = 0
  const names = [...declarations.workspaces.keys()]

  const indexOf = (workspace: string): WorkspaceIndex | undefined => {
    const known = indexes.get(workspace)
    const rule = declarations.workspaces.get(workspace)
    if (known !== undefined || rule === undefined) return known
    const index = indexWorkspace(declarations, rule)
    indexes.set(workspace, index)
    return index
  }

  const keep = (workspace: string, key: string, decision: RuleDecision): void => {
    if (keptCount >= maxKeptDecisions) {
      kept.clear()
      keptCount = 0
    }
    const decisions = kept.get(workspace) ?? new Map<string, RuleDecision>()
    kept.set(workspace, decisions.set(key, decision))
    keptCount++
  }

  const decide = (query: RuleQuery): RuleDecision => {
    const index = indexOf(query.workspace)
    if (index === undefined) return refused('unknownWorkspace', {})
    const key = keyOf(query)
    const known = kept.get(query.workspace)?.get(key)
    if (known !== undefined) return known
    const decision = decideIn(index, declarations, resolveQuery(query, declarations.aliases))
    if (decision.allowed && key.length <= maxKeptKeyLength) keep(query.workspace, key, decision)
    return decision
  }

  return {
    rules,
    decide,
    ...collectKeys(rules),
    workspaces: () => names,
    models: () => declarations.models,
    aliases: () => declarations.aliases,
    limits: workspace => indexOf(workspace)?.limit ?? {}
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
