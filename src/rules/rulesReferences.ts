/** Checks references between rules: finds names that are declared twice or used without a declaration. */
import { isGlob } from './globs.js'
import type { Rule, RuleError, Selector } from './rulesTypes.js'

/** The names that the rules of a file declare. */
interface DeclaredNames {
  readonly workspaces: Set<string>
  readonly models: Set<string>
  readonly adapters: Set<string>
}

const collectDeclaredNames = (rules: readonly Rule[]): DeclaredNames => {
  const names: DeclaredNames = { workspaces: new Set(), models: new Set(), adapters: new Set() }
  for (const rule of rules) {
    if (rule.kind === 'workspace') names.workspaces.add(rule.name)
    if (rule.kind === 'model') names.models.add(rule.name)
    if (rule.kind === 'model') rule.adapters.forEach(adapter => names.adapters.add(adapter))
  }
  return names
}

/** Creates an error at the first occurrence of `found` in the line, or at column 1 if the line does not have it. */
const errorAt = (rule: Rule, code: RuleError['code'], key: string, found: string, allowed: string): RuleError => {
  const index = rule.origin.text.indexOf(found)
  return { code, line: rule.origin.line, column: Math.max(0, index) + 1, key, found, allowed }
}

const undeclaredWorkspaces = (rule: Rule, used: readonly string[], names: DeclaredNames): RuleError[] =>
  used
    .filter(name => !isGlob(name) && !names.workspaces.has(name))
    .map(name => errorAt(rule, 'undeclaredWorkspace', 'workspace', name, 'a workspace with a "workspace" line'))

const undeclaredModel = (rule: Rule, name: string | undefined, names: DeclaredNames): RuleError[] =>
  name === undefined || isGlob(name) || names.models.has(name)
    ? []
    : [errorAt(rule, 'undeclaredModel', 'model', name, 'a model with a "model" line; aliases are not selected on')]

const undeclaredAdapter = (rule: Rule, name: string | undefined, names: DeclaredNames): RuleError[] =>
  name === undefined || isGlob(name) || names.adapters.has(name)
    ? []
    : [errorAt(rule, 'undeclaredAdapter', 'adapter', name, 'an adapter of a "model" line')]

const selectorErrors = (rule: Rule, selector: Selector, names: DeclaredNames): RuleError[] => [
  ...undeclaredWorkspaces(rule, selector.workspace === undefined ? [] : [selector.workspace], names),
  ...undeclaredModel(rule, selector.model, names),
  ...undeclaredAdapter(rule, selector.adapter, names)
]

const referenceErrors = (rule: Rule, names: DeclaredNames): RuleError[] => {
  switch (rule.kind) {
    case 'workspace':
    case 'model': return []
    case 'callerKey': return undeclaredWorkspaces(rule, [rule.workspace], names)
    case 'operatorKey': return undeclaredWorkspaces(rule, rule.operator.workspaces, names)
    case 'alias': return undeclaredModel(rule, rule.model, names)
    default: return selectorErrors(rule, rule.selector, names)
  }
}

/** The name that a rule declares, prefixed by its namespace: models and aliases share one. */
const declaredName = (rule: Rule): string | undefined => {
  switch (rule.kind) {
    case 'workspace': return `workspace ${rule.name}`
    case 'model':
    case 'alias': return `model ${rule.name}`
    default: return undefined
  }
}

const repeatedNames = (rules: readonly Rule[]): RuleError[] => {
  const seen = new Map<string, number>()
  const errors: RuleError[] = []
  for (const rule of rules) {
    const name = declaredName(rule)
    if (name === undefined) continue
    const line = seen.get(name)
    if (line === undefined) seen.set(name, rule.origin.line)
    else errors.push(errorAt(rule, 'repeatedName', 'name', name, `a name that line ${line} does not declare`))
  }
  return errors
}

/** Finds keys that are assigned twice: access would be ambiguous if a key belonged to two workspaces or two operators. */
const repeatedKeys = (rules: readonly Rule[]): RuleError[] => {
  const holders = new Map<string, string>()
  const errors: RuleError[] = []
  for (const rule of rules) {
    if (rule.kind !== 'callerKey' && rule.kind !== 'operatorKey') continue
    const holder = rule.kind === 'callerKey' ? `workspace ${rule.workspace}` : `operator ${JSON.stringify(rule.operator)}`
    const known = holders.get(rule.hash) ?? holder
    holders.set(rule.hash, known)
    if (known !== holder) errors.push(errorAt(rule, 'repeatedName', 'hash', rule.hash.slice(0, 8), 'a key that no other workspace or operator has'))
  }
  return errors
}

/**
 * Checks the references between the rules of a file.
 *
 * @param rules - the rules of a file, each of them valid by itself
 * @returns all errors in file order
 */
export const findReferenceErrors = (rules: readonly Rule[]): RuleError[] => {
  const names = collectDeclaredNames(rules)
  const errors = [...rules.flatMap(rule => referenceErrors(rule, names)), ...repeatedNames(rules), ...repeatedKeys(rules)]
  return errors.sort((left, right) => left.line - right.line || left.column - right.column)
}
