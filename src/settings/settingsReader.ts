/** Parses INI text, validates it against a settings schema and reports every invalid value with its section and key. */
import { parse } from 'ini'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { settingsSchema, type Settings } from './settingsSchema.js'

/** An unknown key, a missing required key or an invalid value. */
export interface SettingProblem {
  readonly kind: 'unknownKey' | 'missingKey' | 'wrongValue'
  readonly file: string
  readonly section: string
  readonly key: string
  /** The value in the file as JSON, or `nothing` for a missing key. */
  readonly found: string
  /** Description of the values that the key accepts. */
  readonly allowed: string
}

type SettingsTree = { [key: string]: SettingsTree | string }

const toStringTree = (value: unknown): SettingsTree | string => {
  if (typeof value !== 'object' || value === null) return String(value)
  return Object.fromEntries(Object.entries(value).map(([key, child]) => [key, toStringTree(child)]))
}

const valueAt = (tree: SettingsTree | string, path: readonly PropertyKey[]): SettingsTree | string | undefined =>
  path.reduce<SettingsTree | string | undefined>((node, key) => typeof node === 'object' ? node[String(key)] : undefined, tree)

const unwrap = (schema: z.ZodType): z.ZodType => {
  const inner = (schema as unknown as { def: { innerType?: z.ZodType } }).def.innerType
  return inner === undefined || schema.meta()?.allowed !== undefined ? schema : unwrap(inner)
}

const childOf = (schema: z.ZodType, key: PropertyKey): z.ZodType | undefined => {
  const def = (unwrap(schema) as unknown as { def: { shape?: Record<string, z.ZodType>, valueType?: z.ZodType } }).def
  return def.shape?.[String(key)] ?? def.valueType
}

const allowedAt = (root: z.ZodType, path: readonly PropertyKey[]): string => {
  const schema = path.reduce<z.ZodType | undefined>((parent, key) => parent === undefined ? undefined : childOf(parent, key), root)
  const metadata = schema === undefined ? undefined : unwrap(schema).meta()
  return typeof metadata?.allowed === 'string' ? metadata.allowed : 'a section with its own keys'
}

const locationOf = (path: readonly PropertyKey[]): { section: string, key: string } => {
  const depth = path[0] === 'worker' || path[0] === 'service' ? 2 : 1
  return { section: path.slice(0, depth).map(String).join('.'), key: path.slice(depth, depth + 1).map(String).join('') }
}

const problemsOf = (schema: z.ZodType, file: string, tree: SettingsTree, issue: z.core.$ZodIssue): SettingProblem[] => {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => {
      const path = [...issue.path, key]
      return { kind: 'unknownKey', file, ...locationOf(path), found: JSON.stringify(valueAt(tree, path)), allowed: 'a documented key' }
    })
  }
  const location = locationOf(issue.path)
  const keyPath = issue.path.slice(0, location.section.split('.').length + 1)
  const found = valueAt(tree, keyPath)
  const kind = found === undefined ? 'missingKey' : 'wrongValue'
  return [{ kind, file, ...location, found: found === undefined ? 'nothing' : JSON.stringify(found), allowed: allowedAt(schema, keyPath) }]
}

/**
 * Parses INI text and validates it against a schema.
 *
 * @param schema - schema of the sections and their keys
 * @param file - file name reported in problems
 * @param text - INI text
 * @returns the validated settings, or every problem found
 */
export const readSettingsWithSchema = <Schema extends z.ZodType>(schema: Schema, file: string, text: string): Result<z.infer<Schema>, readonly SettingProblem[]> => {
  const tree = toStringTree(parse(text)) as SettingsTree
  const parsed = schema.safeParse(tree)
  if (parsed.success) return ok(parsed.data)
  return err(parsed.error.issues.flatMap(issue => problemsOf(schema, file, tree, issue)))
}

/**
 * Parses and validates the settings of an entry instance.
 *
 * @param file - file name reported in problems
 * @param text - INI text
 * @returns the validated settings, or every problem found
 */
export const readSettings = (file: string, text: string): Result<Settings, readonly SettingProblem[]> =>
  readSettingsWithSchema(settingsSchema, file, text)

/**
 * Formats a problem as a message for the operator.
 *
 * @param problem - problem found in a settings file
 * @returns one line with the file, section, key, found value and allowed values
 */
export const describeProblem = (problem: SettingProblem): string =>
  `${problem.file}: [${problem.section}] ${problem.key}: found ${problem.found}, allowed: ${problem.allowed}`
