/**
 * Reads a rules file: one rule a line, blank lines and lines that start with
 * `#` left out. It reports every error of the file, not only the first.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { findReferenceErrors } from './rulesReferences.js'
import { readLine } from './rulesLine.js'
import type { Line, Report } from './rulesLine.js'
import type { OperatorRole, Rule, RuleError, Selector, Validity, WorkspaceLimit } from './rulesTypes.js'

/** Characters in a line at most. */
export const maxLineLength = 2000
/** Lines in a file at most. */
export const maxLines = 100_000

type Values = Line['values']

const text = (values: Values, key: string): string | undefined => values[key] as string | undefined
const number = (values: Values, key: string): number | undefined => values[key] as number | undefined
const names = (values: Values, key: string): readonly string[] => (values[key] as readonly string[] | undefined) ?? []

/** Leaves out the entries that are undefined. */
const defined = <Shape extends object>(shape: Shape): Shape =>
  Object.fromEntries(Object.entries(shape).filter(([, value]) => value !== undefined)) as Shape

const limitOf = (values: Values): WorkspaceLimit => defined({
  requestsPerSecond: number(values, 'requests'),
  tokensPerSecond: number(values, 'tokens'),
  concurrency: number(values, 'concurrency')
})

const selectorOf = (values: Values): Selector => defined({
  workspace: text(values, 'workspace'),
  model: text(values, 'model'),
  service: text(values, 'service'),
  adapter: text(values, 'adapter'),
  method: text(values, 'method')?.toUpperCase(),
  path: text(values, 'path')
})

const workspaceRule = ({ name, values, origin }: Line): Rule => ({
  kind: 'workspace',
  name,
  ...defined({ worth: number(values, 'worth'), priority: number(values, 'priority'), deadline: number(values, 'deadline') }),
  limit: limitOf(values),
  origin
})

const keyRule = ({ values, origin }: Line, report: Report): Rule | undefined => {
  const validity: Validity = defined({ from: number(values, 'from'), until: number(values, 'until') })
  const hash = text(values, 'hash') ?? ''
  const workspace = text(values, 'workspace')
  const role = text(values, 'role') as OperatorRole | undefined
  const workspaces = names(values, 'workspaces')
  const team = text(values, 'team') ?? origin.team
  if (validity.from !== undefined && validity.until !== undefined && validity.from >= validity.until) {
    report('badValue', 1, 'until', 'a time after from', 'until')
  }
  if ((workspace === undefined) === (role === undefined)) {
    report('missingKey', 1, '', 'either workspace=NAME for callers or role=ROLE for operators', 'workspace')
    return undefined
  }
  if ((role === 'publish') !== (workspaces.length > 0)) {
    report('missingKey', 1, '', 'workspaces=NAME,NAME with role=publish, and only there', 'workspaces')
  }
  if (workspace !== undefined) return { kind: 'callerKey', workspace, hash, validity, origin }
  return role && { kind: 'operatorKey', operator: { role, team, workspaces }, hash, validity, origin }
}

const modelRule = ({ name, values, target, origin }: Line, report: Report): Rule | undefined => {
  const version = text(values, 'version')
  if (target.kind === 'name') {
    if (Object.keys(values).length > 0) report('unknownKey', 1, Object.keys(values).join(' '), 'an alias without keys')
    return { kind: 'alias', name, model: target.name, origin }
  }
  if (version === undefined) {
    report('missingKey', 1, '', 'version=NAME, or "-> MODEL" for an alias', 'version')
    return undefined
  }
  return { kind: 'model', name, weightVersion: version, adapters: names(values, 'adapters'), origin }
}

const limitRule = ({ values, origin }: Line, report: Report): Rule => {
  const limit = limitOf(values)
  if (Object.keys(limit).length === 0) report('missingTarget', 1, '', 'requests=, tokens= or concurrency= after "->"')
  return { kind: 'limit', selector: selectorOf(values), limit, origin }
}

const ruleOf = (line: Line, report: Report): Rule | undefined => {
  const { verb, target, origin } = line
  const selector = selectorOf(line.values)
  const value = target.kind === 'number' ? target.value : 0
  switch (verb) {
    case 'workspace': return workspaceRule(line)
    case 'key': return keyRule(line, report)
    case 'model': return modelRule(line, report)
    case 'route': return target.kind === 'destination' ? { kind: 'route', selector, destination: target.destination, origin } : undefined
    case 'deny':
    case 'once': return { kind: verb, selector, origin }
    case 'priority':
    case 'worth':
    case 'deadline': return { kind: verb, selector, value, origin }
    case 'limit': return limitRule(line, report)
  }
}

const isRuleText = (line: string): boolean => {
  const trimmed = line.trimStart()
  return trimmed !== '' && !trimmed.startsWith('#')
}

/**
 * Splits a rules file into lines.
 *
 * @param text - the file
 * @returns its lines without line ends; a last empty line is left out
 */
export const splitLines = (text: string): string[] => {
  const lines = text.split(/\r?\n/)
  if (lines[lines.length - 1] === '') lines.pop()
  return lines
}

const parseLine = (line: string, number: number, errors: RuleError[]): Rule | undefined => {
  const before = errors.length
  const report: Report = (code, column, found, allowed, key) => {
    errors.push({ code, line: number, column, ...(key === undefined ? {} : { key }), found, allowed })
  }
  if (line.length > maxLineLength) {
    report('lineTooLong', maxLineLength + 1, `${line.length} characters`, `${maxLineLength} characters`)
    return undefined
  }
  const parts = readLine(line, number, report)
  if (parts === undefined || errors.length > before) return undefined
  const rule = ruleOf(parts, report)
  return errors.length > before ? undefined : rule
}

/** The rule of a line that was read before, at its new place. */
const moveTo = (rule: Rule, line: number): Rule =>
  rule.origin.line === line ? rule : { ...rule, origin: { ...rule.origin, line } }

/**
 * Reads a rules file.
 *
 * @param text - the file
 * @param known - rules of an earlier file; lines that they were read from are not read again
 * @returns its rules in file order, or every error in file order
 */
export const parseRules = (text: string, known: readonly Rule[] = []): Result<readonly Rule[], readonly RuleError[]> => {
  const knownByText = new Map(known.map(rule => [rule.origin.text, rule]))
  const lines = splitLines(text)
  if (lines.length > maxLines) {
    return err([{ code: 'fileTooLong', line: maxLines + 1, column: 1, found: `${lines.length} lines`, allowed: `${maxLines} lines` }])
  }
  const errors: RuleError[] = []
  const rules: Rule[] = []
  lines.forEach((line, index) => {
    const before = knownByText.get(line)
    const rule = before !== undefined ? moveTo(before, index + 1) : isRuleText(line) ? parseLine(line, index + 1, errors) : undefined
    if (rule !== undefined) rules.push(rule)
  })
  const all = errors.length > 0 ? errors : findReferenceErrors(rules)
  return all.length > 0 ? err(all) : ok(rules)
}
