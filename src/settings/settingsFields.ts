/** Schemas for the types of settings keys, each with the unit, allowed values and description of the key as metadata. */
import { z } from 'zod'

const decimal = /^-?\d+(\.\d+)?$/

/** Metadata of a settings key, shown in `docs/SETTINGS.md` and in error messages. */
export interface SettingMetadata {
  readonly unit: string
  readonly allowed: string
  readonly description: string
}

/**
 * Schema of a decimal number.
 *
 * @param unit - unit shown to operators
 * @param min - lowest allowed value
 * @param max - highest allowed value
 * @param description - what the key sets
 * @returns a schema that turns text into a number
 */
export const number = (unit: string, min: number, max: number, description: string) =>
  z.string()
    .regex(decimal)
    .transform(Number)
    .pipe(z.number().min(min).max(max))
    .meta({ unit, allowed: `a number from ${min} to ${max}`, description })

/**
 * Schema of a decimal number for a key that may be left empty, as a template does for a value that it has not.
 *
 * @param emptyValue - value of an empty key
 * @param unit - unit shown to operators
 * @param min - lowest allowed value
 * @param max - highest allowed value
 * @param description - what the key sets
 * @returns a schema that turns text into a number
 */
export const emptyOr = (emptyValue: number, unit: string, min: number, max: number, description: string) =>
  z.string()
    .regex(/^(-?\d+(\.\d+)?)?$/)
    .transform(value => value === '' ? emptyValue : Number(value))
    .pipe(z.number().min(min).max(max))
    .meta({ unit, allowed: `a number from ${min} to ${max}, or nothing for ${emptyValue}`, description })

/**
 * Schema of a non-negative integer.
 *
 * @param unit - unit shown to operators
 * @param min - lowest allowed value
 * @param max - highest allowed value
 * @param description - what the key sets
 * @returns a schema that turns text into an integer
 */
export const integer = (unit: string, min: number, max: number, description: string) =>
  z.string()
    .regex(/^\d+$/)
    .transform(Number)
    .pipe(z.number().int().min(min).max(max))
    .meta({ unit, allowed: `a whole number from ${min} to ${max}`, description })

/**
 * Schema of a text that matches a pattern.
 *
 * @param allowed - description of the allowed values, shown in error messages
 * @param pattern - pattern of the whole text
 * @param description - what the key sets
 * @returns a schema that keeps the text
 */
export const text = (allowed: string, pattern: RegExp, description: string) =>
  z.string().regex(pattern).meta({ unit: 'text', allowed, description })

/** Schema of a boolean, written as `true` or `false`. */
export const boolean = (description: string) =>
  z.enum(['true', 'false'])
    .transform(value => value === 'true')
    .meta({ unit: 'truth value', allowed: 'true or false', description })

/** Schema of a name of at most 63 lower-case letters, digits and hyphens that does not start with a hyphen. */
export const name = (description: string) => text('letters, digits and -', /^[a-z0-9][a-z0-9-]{0,62}$/, description)
const octet = '(25[0-5]|2[0-4]\\d|1?\\d?\\d)'
/** Source of a regular expression that matches an IPv4 or IPv6 address; it has no anchors. */
export const addressPattern = `(${octet}(\\.${octet}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]+)`
/** Schema of an IPv4 or IPv6 address. */
export const host = (description: string) => text('an IPv4 or IPv6 address', new RegExp(`^${addressPattern}$`), description)
/** Schema of a TCP port; 0 is allowed. */
export const port = (description: string) => integer('TCP port', 0, 65_535, description)

/**
 * Makes a key optional.
 *
 * @param schema - schema of the key
 * @param defaultValue - value of a missing key, parsed like text from the file
 * @returns the schema with the default
 */
export const withDefault = <Schema extends z.ZodType>(schema: Schema, defaultValue: string | number | boolean) =>
  schema.prefault(String(defaultValue) as never)
