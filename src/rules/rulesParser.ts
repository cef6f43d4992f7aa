/**
 * Parser of rules files. Each line has one rule; blank lines and lines that start with `#` are
 * skipped. The parser reports all errors of a file, not only the first; references between
 * lines are checked only if every line is valid by itself.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { findReferenceErrors } from './rulesReferences.js'
import { readLine } from './rulesLine.js'
import type { Line, ReportError } from './rulesLine.js'
import type { OperatorRole, Rule, RuleError, Selector, Validity, WorkspaceLimit } from './rulesTypes.js'

/** Maximum length of a line in characters. */
export const maxLineLength = 2000
/** Maximum number of lines in a file. */
export const maxLines = 100_000

type Values = Line['values']

const text = (values: Values, key: string): string | undefined => values[key] as string | undefined
const number = (values: Values, key: string): number | undefined => values[key] as number | undefined
const names = (values: Values, key: string): readonly string[] => (values[key] as readonly string[] | undefined) ?? []

/** Returns a copy of an object without the properties that are undefined. */
const withoutUndefined = <Shape extends object>(object: Shape): Shape =>
  Object.fromEntries(Object.entries(object).filter(([, value]) => value !== undefined)) as Shape

const limitOf = (values: Values): WorkspaceLimit => withoutUndefined({
  requestsPerSecond: number(values, 'requests'),
  tokensPerSecond: number(values, 'tokens'),
  concurrency: number(values, 'concurrency')
})

const selectorOf = (values: Values): Selector => withoutUndefined({
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
  ...withoutUndefined({ worth: number(values, 'worth'), priority: number(values, 'priority'), deadline: number(values, 'deadline') }),
  limit: limitOf(values),
  origin
})

const keyRule = ({ values, origin }: Line, report: ReportError): Rule | undefined => {
  const validity: Validity = withoutUndefined({ from: number(values, 'from'), until: number(values, 'until') })
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

const modelRule = ({ name, values, target, origin }: Line, report: ReportError): Rule | undefined => {
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

const limitRule = ({ values, origin }: Line, report: ReportError): Rule => {
  const limit = limitOf(values)
  if (Object.keys(limit).length === 0) report('missingTarget', 1, '', 'requests=, tokens= or concurrency= after "->"')
  return { kind: 'limit', selector: selectorOf(values), limit, origin }
}

const ruleOf = (line: Line, report: ReportError): Rule | undefined => {
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
 * Splits a rules file into lines at `\n` or `\r\n`.
 *
 * @param text - the content of the file
 * @returns its lines without line endings; an empty last line is omitted
 */
export const splitLines = (text: string): string[] => {
  const lines = text.split(/\r?\n/)
  if (lines[lines.length - 1] === '') lines.pop()
  return lines
}

const parseLine = (line: string, number: number, errors: RuleError[]): Rule | undefined => {
  const errorsBefore = errors.length
  const report: ReportError = (code, column, found, allowed, key) => {
    errors.push({ code, line: number, column, ...(key === undefined ? {} : { key }), found, allowed })
  }
  if (line.length > maxLineLength) {
    report('lineTooLong', maxLineLength + 1, `${line.length} characters`, `${maxLineLength} characters`)
    return undefined
  }
  const parts = readLine(line, number, report)
  if (parts === undefined || errors.length > errorsBefore) return undefined
  const rule = ruleOf(parts, report)
  return errors.length > errorsBefore ? undefined : rule
}

/** Returns a previously parsed rule with its line number set to `line`. */
const withLineNumber = (rule: Rule, line: number): Rule =>
  rule.origin.line === line ? rule : { ...rule, origin: { ...rule.origin, line } }

/**
 * Parses a rules file.
 *
 * @param text - the content of the file
 * @param known - rules of an earlier version of the file; a line with the same text as one of them is not parsed again
 * @returns the rules in file order, or all errors in file order
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
    const knownRule = knownByText.get(line)
    const rule = knownRule !== undefined ? withLineNumber(knownRule, index + 1) : isRuleText(line) ? parseLine(line, index + 1, errors) : undefined
    if (rule !== undefined) rules.push(rule)
  })
  const allErrors = errors.length > 0 ? errors : findReferenceErrors(rules)
  return allErrors.length > 0 ? err(allErrors) : ok(rules)
}
