/** Kinds of keys in settings files, each with its unit and what it allows. */
import { z } from 'zod'

const decimal = /^-?\d+(\.\d+)?$/

/** Meaning and unit of a key, shown in the settings page and in errors. */
export interface SettingMetadata {
  readonly unit: string
  readonly allowed: string
  readonly description: string
}

/** A number between bounds. */
export const number = (unit: string, min: number, max: number, description: string) =>
  z.string()
    .regex(decimal)
    .transform(Number)
    .pipe(z.number().min(min).max(max))
    .meta({ unit, allowed: `a number from ${min} to ${max}`, description })

/** A whole number between bounds. */
export const integer = (unit: string, min: number, max: number, description: string) =>
  z.string()
    .regex(/^\d+$/)
    .transform(Number)
    .pipe(z.number().int().min(min).max(max))
    .meta({ unit, allowed: `a whole number from ${min} to ${max}`, description })

/** Text that matches a pattern. */
export const text = (allowed: string, pattern: RegExp, description: string) =>
  z.string().regex(pattern).meta({ unit: 'text', allowed, description })

/** A truth value. */
export const boolean = (description: string) =>
  z.enum(['true', 'false'])
    .transform(value => value === 'true')
    .meta({ unit: 'truth value', allowed: 'true or false', description })

/** A name of letters, digits and dashes. */
export const name = (description: string) => text('letters, digits and -', /^[a-z0-9][a-z0-9-]{0,62}$/, description)
const octet = '(25[0-5]|2[0-4]\\d|1?\\d?\\d)'
/** Matches an IPv4 or IPv6 address. */
export const addressPattern = `(${octet}(\\.${octet}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]+)`
/** An IP address. */
export const host = (description: string) => text('an IPv4 or IPv6 address', new RegExp(`^${addressPattern}$`), description)
/** A TCP port. */
export const port = (description: string) => integer('TCP port', 0, 65_535, description)

/** A key that may be left out. */
export const withDefault = <Schema extends z.ZodType>(schema: Schema, value: string | number | boolean) =>
  schema.prefault(String(value) as never)
