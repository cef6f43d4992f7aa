/** Reads the values of a rules file; a wrong one answers with what is allowed. */
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
const durationUnits: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000 }
const roles: readonly string[] = ['read', 'publish', 'fleet'] satisfies OperatorRole[]

/** What each way of writing allows, for messages. */
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

type Read<Value> = Result<Value, string>

const refuse = (syntax: ValueSyntax): Read<never> => err(allowedValues[syntax])

/**
 * Reads a name.
 *
 * @param text - the value
 * @returns the name, or what is allowed
 */
export const readName = (text: string): Read<string> => namePattern.test(text) ? ok(text) : refuse('name')

/**
 * Reads names separated by commas.
 *
 * @param text - the value
 * @returns the names, or what is allowed
 */
export const readNames = (text: string): Read<readonly string[]> => {
  const names = text.split(',')
  return names.every(name => namePattern.test(name)) ? ok(names) : refuse('names')
}

/**
 * Reads a number.
 *
 * @param text - the value
 * @returns the number, or what is allowed
 */
export const readNumber = (text: string): Read<number> => numberPattern.test(text) ? ok(Number(text)) : refuse('number')

/**
 * Reads a duration.
 *
 * @param text - the value
 * @returns ms, or what is allowed
 */
export const readDuration = (text: string): Read<number> => {
  const match = durationPattern.exec(text)
  if (match === null) return refuse('duration')
  const duration = Number(match[1]) * durationUnits[match[2]]
  return duration > 0 ? ok(duration) : refuse('duration')
}

const readRate = (text: string): Read<number> => {
  const match = ratePattern.exec(text)
  return match !== null && Number(match[1]) > 0 ? ok(Number(match[1])) : refuse('rate')
}

const readTime = (text: string): Read<number> => {
  const time = timePattern.test(text) ? Date.parse(text) : NaN
  return Number.isNaN(time) ? refuse('time') : ok(time)
}

/** A value that was read. */
export type Value = string | number | readonly string[]

/**
 * Reads a value.
 *
 * @param syntax - how it must be written
 * @param text - the value
 * @returns the value, or what is allowed
 */
export const readValue = (syntax: ValueSyntax, text: string): Read<Value> => {
  switch (syntax) {
    case 'name': return readName(text)
    case 'names': return readNames(text)
    case 'glob': return globPattern.test(text) ? ok(text) : refuse(syntax)
    case 'number': return readNumber(text)
    case 'count': return countPattern.test(text) ? ok(Number(text)) : refuse(syntax)
    case 'duration': return readDuration(text)
    case 'rate': return readRate(text)
    case 'hash': return hashPattern.test(text) ? ok(text.slice('sha256:'.length)) : refuse(syntax)
    case 'time': return readTime(text)
    case 'role': return roles.includes(text) ? ok(text) : refuse(syntax)
  }
}
