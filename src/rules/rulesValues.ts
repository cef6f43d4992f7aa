/** Parsers for the values of a rules file. For an invalid value each returns a description of what is allowed. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ValueSyntax } from './rulesGrammar.js'
import type { OperatorRole } from './rulesTypes.js'

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]*$/
const globPattern = /^[!-~]+$/
const numberPattern = /^-?\d{1,9}(\.\d{1,6})?$/
const countPattern = /^[1-9]\d{0,8}$/
const ratePattern = /^(\d{1,9}(?:\.\d{1,6})?)\/s$/
const durationPattern = /^(\d{1,9}(?:\.\d{1,3})?)(ms|s|m)$/
const hashPattern = /^sha256:[0-9a-f]{64}$/
const timePattern = /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2})?Z$/
/** Ms in each unit of duration. */
const durationUnits: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000 }
const roles: readonly string[] = ['read', 'publish', 'fleet'] satisfies OperatorRole[]

/** Descriptions of the allowed values for error messages, by syntax. */
export const allowedValues: Readonly<Record<ValueSyntax, string>> = {
  name: 'a name of letters, digits, ".", "_" and "-"',
  names: 'names separated by commas',
  glob: 'a name or path, in which * matches anything',
  number: 'a number such as 2 or 0.5',
  count: 'a whole number from 1',
  duration: 'a duration above 0 such as 800ms, 1.7s or 2m',
  rate: 'a rate above 0 such as 20/s',
  hash: '"sha256:" and 64 lower-case hexadecimal digits',
  time: 'a time such as 2026-03-01T06:00Z',
  role: 'read, publish or fleet'
}

type ReadResult<Value> = Result<Value, string>

const invalid = (syntax: ValueSyntax): ReadResult<never> => err(allowedValues[syntax])

/**
 * Parses a name.
 *
 * @param text - the value as written
 * @returns the name, or a description of what is allowed
 */
export const readName = (text: string): ReadResult<string> => namePattern.test(text) ? ok(text) : invalid('name')

/**
 * Parses a comma-separated list of names.
 *
 * @param text - the value as written
 * @returns the names, or a description of what is allowed
 */
export const readNames = (text: string): ReadResult<readonly string[]> => {
  const names = text.split(',')
  return names.every(name => namePattern.test(name)) ? ok(names) : invalid('names')
}

/**
 * Parses a decimal number, which can be negative.
 *
 * @param text - the value as written
 * @returns the number, or a description of what is allowed
 */
export const readNumber = (text: string): ReadResult<number> => numberPattern.test(text) ? ok(Number(text)) : invalid('number')

/**
 * Parses a duration in `ms`, `s` or `m` (minutes).
 *
 * @param text - the value as written
 * @returns the duration in ms, or a description of what is allowed
 */
export const readDuration = (text: string): ReadResult<number> => {
  const match = durationPattern.exec(text)
  if (match === null) return invalid('duration')
  const duration = Number(match[1]) * durationUnits[match[2]]
  return duration > 0 ? ok(duration) : invalid('duration')
}

/** Parses a rate such as `20/s`; the result is per second. */
const readRate = (text: string): ReadResult<number> => {
  const match = ratePattern.exec(text)
  return match !== null && Number(match[1]) > 0 ? ok(Number(match[1])) : invalid('rate')
}

/** Parses a UTC time; the result is in ms since the Unix epoch. */
const readTime = (text: string): ReadResult<number> => {
  const time = timePattern.test(text) ? Date.parse(text) : NaN
  return Number.isNaN(time) ? invalid('time') : ok(time)
}

/** A parsed value: durations in ms, rates per second, times in ms since the Unix epoch, hashes without the prefix. */
export type Value = string | number | readonly string[]

/**
 * Parses a value.
 *
 * @param syntax - the syntax of the value
 * @param text - the value as written
 * @returns the parsed value, or a description of what is allowed
 */
export const readValue = (syntax: ValueSyntax, text: string): ReadResult<Value> => {
  switch (syntax) {
    case 'name': return readName(text)
    case 'names': return readNames(text)
    case 'glob': return globPattern.test(text) ? ok(text) : invalid(syntax)
    case 'number': return readNumber(text)
    case 'count': return countPattern.test(text) ? ok(Number(text)) : invalid(syntax)
    case 'duration': return readDuration(text)
    case 'rate': return readRate(text)
    case 'hash': return hashPattern.test(text) ? ok(text.slice('sha256:'.length)) : invalid(syntax)
    case 'time': return readTime(text)
    case 'role': return roles.includes(text) ? ok(text) : invalid(syntax)
  }
}
