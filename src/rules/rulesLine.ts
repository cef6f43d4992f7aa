/** Parses a line of a rules file into its verb, name, keys, target and asker. */
import { isVerb, limitTargetKeys, verbs, verbNames } from './rulesGrammar.js'
import type { KeySyntax, VerbName, VerbSyntax } from './rulesGrammar.js'
import { readDuration, readName, readNumber, readValue } from './rulesValues.js'
import type { Value } from './rulesValues.js'
import type { Destination, RuleError, RuleOrigin } from './rulesTypes.js'

/** The parsed target, the part of a line after `->`. A number is in ms for deadlines. */
export type Target =
  | { readonly kind: 'none' }
  | { readonly kind: 'destination', readonly destination: Destination }
  | { readonly kind: 'number', readonly value: number }
  | { readonly kind: 'name', readonly name: string }

/** The parsed parts of a line, from which a rule is built. */
export interface Line {
  readonly verb: VerbName
  /** The declared name, or an empty string if the verb takes none. */
  readonly name: string
  /** The parsed values by key. */
  readonly values: Readonly<Record<string, Value>>
  readonly target: Target
  readonly origin: RuleOrigin
}

/** Callback that records an error at a column (from 1) of the current line. */
export type ReportError = (code: RuleError['code'], column: number, found: string, allowed: string, key?: string) => void

interface Word {
  readonly text: string
  /** Column of the first character, from 1. */
  readonly column: number
}

/**
 * The comment `# asked by NAME, TEAM`. Group 1 is the name, group 2 the optional team. A reason may
 * follow in brackets or after a colon or semicolon.
 */
const askerPattern = /^#\s*asked by\s+([^,:;()#]+?)(?:\s*,\s*([^,:;()#]+?))?\s*(?:[(:;].*)?$/i
const askerSyntax = 'a comment "# asked by NAME, TEAM" at the end of the line'
const dataCentrePrefix = 'dc:'

const wordsOf = (body: string): Word[] =>
  Array.from(body.matchAll(/\S+/g), match => ({ text: match[0], column: match.index + 1 }))

/** The index of the `#` that starts the comment: one at the start of the line or after white space. The length of the line if there is none. */
const commentStart = (text: string): number => {
  const found = /(^|\s)#/.exec(text)
  return found === null ? text.length : found.index + found[1].length
}

/** Parses the "asked by" comment. Without a team, the name of the asker stands for the team. */
const readOrigin = (text: string, line: number, report: ReportError): RuleOrigin | undefined => {
  const start = commentStart(text)
  const match = askerPattern.exec(text.slice(start).trim())
  if (match === null) {
    report('missingAsker', Math.min(start, text.length) + 1, text.slice(start).trim(), askerSyntax)
    return undefined
  }
  const [, asker, team = asker] = match
  return { line, asker, team, text }
}

/** Parses `key=value` words into `values`; reports unknown and repeated keys and invalid values. */
const readKeys = (words: readonly Word[], keys: Readonly<Record<string, KeySyntax>>, values: Record<string, Value>, report: ReportError): void => {
  for (const { text, column } of words) {
    const equals = text.indexOf('=')
    const key = equals < 0 ? text : text.slice(0, equals)
    const syntax = Object.hasOwn(keys, key) ? keys[key] : undefined
    if (equals < 0 || syntax === undefined) {
      report('unknownKey', column, text, `key=value with a key of ${Object.keys(keys).join(', ')}`, key)
      continue
    }
    if (Object.hasOwn(values, key)) report('repeatedKey', column, text, 'each key once', key)
    const read = readValue(syntax.value, text.slice(equals + 1))
    if (read.isErr()) report('badValue', column + equals + 1, text.slice(equals + 1), read.error, key)
    else values[key] = read.value
  }
}

/** Reports the required keys that are missing. */
const checkRequired = (words: readonly Word[], syntax: VerbSyntax, column: number, report: ReportError): void => {
  for (const [key, { required }] of Object.entries(syntax.keys)) {
    if (required === true && !words.some(word => word.text.startsWith(`${key}=`))) report('missingKey', column, '', `the key ${key}`, key)
  }
}

const endpointSyntax = '"any", or endpoints and "dc:" data centres separated by commas'

/** Parses the target of a `route` line. Spaces around the commas are allowed. */
const readDestination = (words: readonly Word[], report: ReportError): Target => {
  const column = words[0].column
  const items = words.map(word => word.text).join('').split(',')
  if (items.length === 1 && items[0] === 'any') return { kind: 'destination', destination: { kind: 'any' } }
  const names = items.map(item => item.startsWith(dataCentrePrefix) ? item.slice(dataCentrePrefix.length) : item)
  const invalid = names.findIndex(name => readName(name).isErr())
  if (invalid >= 0) report('badValue', column, items[invalid], endpointSyntax)
  const dataCentres = items.flatMap((item, index) => item.startsWith(dataCentrePrefix) ? [names[index]] : [])
  const endpoints = items.filter(item => !item.startsWith(dataCentrePrefix))
  return { kind: 'destination', destination: { kind: 'listed', endpoints, dataCentres } }
}

const readQuantity = (words: readonly Word[], read: typeof readNumber, report: ReportError): Target => {
  const text = words.map(word => word.text).join(' ')
  const value = read(text)
  if (value.isErr()) report('badValue', words[0].column, text, value.error)
  return { kind: 'number', value: value.unwrapOr(0) }
}

const readModelName = (words: readonly Word[], report: ReportError): Target => {
  const text = words.map(word => word.text).join(' ')
  const name = readName(text)
  if (name.isErr()) report('badValue', words[0].column, text, name.error)
  return { kind: 'name', name: text }
}

const isTargetMissing = (words: readonly Word[] | undefined, syntax: VerbSyntax): boolean =>
  words === undefined ? syntax.target !== 'none' && syntax.target !== 'optionalModel' : words.length === 0

/** Parses the words after `->`, or reports that a target is missing or not allowed. `words` is undefined if the line has no `->`. */
const readTarget = (words: readonly Word[] | undefined, syntax: VerbSyntax, values: Record<string, Value>, column: number, report: ReportError): Target => {
  if (isTargetMissing(words, syntax)) report('missingTarget', column, '', `"->" and a target (${syntax.target})`)
  if (words === undefined || words.length === 0) return { kind: 'none' }
  switch (syntax.target) {
    case 'none':
      report('unexpectedTarget', words[0].column, words[0].text, 'no "->" after this verb')
      return { kind: 'none' }
    case 'endpoints': return readDestination(words, report)
    case 'number': return readQuantity(words, readNumber, report)
    case 'duration': return readQuantity(words, readDuration, report)
    case 'optionalModel': return readModelName(words, report)
    case 'limits':
      readKeys(words, limitTargetKeys, values, report)
      return { kind: 'none' }
  }
}

/** Removes the name after the verb from `words` and returns it; an empty string if the verb takes none. */
const readDeclaredName = (syntax: VerbSyntax, words: Word[], column: number, report: ReportError): string => {
  if (!syntax.named) return ''
  const word = words.shift()
  const name = word?.text ?? ''
  if (readName(name).isErr()) report('missingName', word?.column ?? column, name, 'a name after the verb')
  return name
}

/**
 * Parses a line that is neither blank nor a comment line.
 *
 * @param text - the line
 * @param line - its line number, from 1
 * @param report - called for each error
 * @returns the parts, or undefined if the line has no valid verb or no asker; they are only valid if no error was reported
 */
export const readLine = (text: string, line: number, report: ReportError): Line | undefined => {
  const origin = readOrigin(text, line, report)
  const words = wordsOf(text.slice(0, commentStart(text)))
  const verb = words.shift()
  if (verb === undefined || !isVerb(verb.text)) {
    report('unknownVerb', verb?.column ?? 1, verb?.text ?? '', `a verb of ${verbNames.join(', ')}`)
    return undefined
  }
  const syntax = verbs[verb.text]
  const end = text.slice(0, commentStart(text)).trimEnd().length + 1
  const arrow = words.findIndex(word => word.text === '->')
  const before = arrow < 0 ? words : words.slice(0, arrow)
  const name = readDeclaredName(syntax, before, end, report)
  const values: Record<string, Value> = {}
  readKeys(before, syntax.keys, values, report)
  checkRequired(before, syntax, end, report)
  const target = readTarget(arrow < 0 ? undefined : words.slice(arrow + 1), syntax, values, end, report)
  return origin && { verb: verb.text, name, values, target, origin }
}
