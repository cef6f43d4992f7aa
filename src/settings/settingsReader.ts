/** Reads settings from INI text and reports every wrong value with its place. */
import { parse } from 'ini'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { settingsSchema, type Settings } from './settingsSchema.js'

/** One wrong or unknown key. */
export interface SettingProblem {
  readonly kind: 'unknownKey' | 'missingKey' | 'wrongValue'
  readonly file: string
  readonly section: string
  readonly key: string
  readonly found: string
  readonly allowed: string
}

type SettingsTree = { [key: string]: SettingsTree | string }

const toStringTree = (value: unknown): SettingsTree | string => {
  if (typeof value !== 'object' || value === null) return String(value)
  return Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, toStringTree(inner)]))
}

const valueAt = (tree: SettingsTree | string, path: readonly PropertyKey[]): SettingsTree | string | undefined =>
  path.reduce<SettingsTree | string | undefined>((at, step) => typeof at === 'object' ? at[String(step)] : undefined, tree)

const unwrap = (schema: z.ZodType): z.ZodType => {
  const inner = (schema as unknown as { def: { innerType?: z.ZodType } }).def.innerType
  return inner === undefined || schema.meta()?.allowed !== undefined ? schema : unwrap(inner)
}

const childOf = (schema: z.ZodType, step: PropertyKey): z.ZodType | undefined => {
  const def = (unwrap(schema) as unknown as { def: { shape?: Record<string, z.ZodType>, valueType?: z.ZodType } }).def
  return def.shape?.[String(step)] ?? def.valueType
}

const allowedAt = (root: z.ZodType, path: readonly PropertyKey[]): string => {
  const schema = path.reduce<z.ZodType | undefined>((at, step) => at === undefined ? undefined : childOf(at, step), root)
  const meaning = schema === undefined ? undefined : unwrap(schema).meta()
  return typeof meaning?.allowed === 'string' ? meaning.allowed : 'a section with its own keys'
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
  const place = locationOf(issue.path)
  const keyPath = issue.path.slice(0, place.section.split('.').length + 1)
  const found = valueAt(tree, keyPath)
  const kind = found === undefined ? 'missingKey' : 'wrongValue'
  return [{ kind, file, ...place, found: found === undefined ? 'nothing' : JSON.stringify(found), allowed: allowedAt(schema, keyPath) }]
}

/**
 * Checks settings by any schema of sections.
 *
 * @param schema - the sections and their keys
 * @param file - name used in problems
 * @param text - INI text
 * @returns the settings, or every problem found
 */
export const readSettingsWithSchema = <Schema extends z.ZodType>(schema: Schema, file: string, text: string): Result<z.infer<Schema>, readonly SettingProblem[]> => {
  const tree = toStringTree(parse(text)) as SettingsTree
  const checked = schema.safeParse(tree)
  if (checked.success) return ok(checked.data)
  return err(checked.error.issues.flatMap(issue => problemsOf(schema, file, tree, issue)))
}

/**
 * Checks the settings of an entry instance.
 *
 * @param file - name used in problems
 * @param text - INI text
 * @returns the settings, or every problem found
 */
export const readSettings = (file: string, text: string): Result<Settings, readonly SettingProblem[]> =>
  readSettingsWithSchema(settingsSchema, file, text)

/**
 * Words a problem for a person.
 *
 * @param problem - the problem
 * @returns one line naming file, section, key, what was found and what is allowed
 */
export const describeProblem = (problem: SettingProblem): string =>
  `${problem.file}: [${problem.section}] ${problem.key}: found ${problem.found}, allowed: ${problem.allowed}`
