/** Generates `docs/SETTINGS.md` from the settings schemas. */
import type { z } from 'zod'
import type { SettingMetadata } from './settingsFields.js'
import { gatewaySettingsSchema } from './gatewaySettings.js'
import { fixedSections, serviceSection, workerSection } from './settingsSchema.js'

interface Definition {
  readonly innerType?: z.ZodType
  readonly shape?: Readonly<Record<string, z.ZodType>>
  readonly defaultValue?: unknown
}

interface Setting extends SettingMetadata {
  readonly key: string
  readonly defaultText: string
}

const definitionOf = (schema: z.ZodType): Definition => (schema as unknown as { def: Definition }).def

const shapeOf = (schema: z.ZodType): Readonly<Record<string, z.ZodType>> => {
  const { shape, innerType } = definitionOf(schema)
  if (shape !== undefined) return shape
  return innerType === undefined ? {} : shapeOf(innerType)
}

const metadataOf = (schema: z.ZodType): SettingMetadata => {
  const { innerType } = definitionOf(schema)
  const metadata = schema.meta()
  if (typeof metadata?.allowed === 'string') return metadata as unknown as SettingMetadata
  return innerType === undefined ? { unit: '', allowed: '', description: '' } : metadataOf(innerType)
}

const formatDefault = (schema: z.ZodType): string => {
  const { defaultValue, innerType } = definitionOf(schema)
  if (innerType === undefined) return 'required'
  return defaultValue === '' ? 'empty' : `\`${String(defaultValue)}\``
}

const settingsOf = (section: z.ZodType): Setting[] =>
  Object.entries(shapeOf(section)).map(([key, schema]) => ({ key, defaultText: formatDefault(schema), ...metadataOf(schema) }))

const escapeCell = (text: string): string => text.replaceAll('|', '\\|')

const table = (section: z.ZodType): string[] => [
  '| key | unit | default | allowed | meaning |',
  '|---|---|---|---|---|',
  ...settingsOf(section).map(({ key, unit, defaultText, allowed, description }) =>
    `| \`${key}\` | ${escapeCell(unit)} | ${escapeCell(defaultText)} | ${escapeCell(allowed)} | ${escapeCell(description)} |`)
]

const introduction = [
  '# Settings',
  '',
  'One INI file for each instance, given with `--settings FILE`. This page is written by `npm run pages` from `src/settings/settingsSchema.ts`.',
  '',
  'Unknown keys and sections are errors. A wrong value is reported with the file, the section, the key, what was found and what is allowed; `wasabireel settings check FILE` reports them all at once. Settings are read when the process starts; what changes while the fleet runs stands in the rules (`RULES.md`). Only the files that `[tls]` names are read again without a restart.'
]

const gatewayIntroduction = [
  '',
  '# Settings of a gateway',
  '',
  'For `wasabireel gateway`, given with `--settings FILE` or by the platform. `deploy/gateway.ini` is the template that the platform fills in; `wasabireel gateway --check` checks a file. They are read again on SIGHUP and when the file has changed: bounds change at once, addresses with the next start.'
]

/**
 * Generates the settings page.
 *
 * @returns Markdown text of `docs/SETTINGS.md`
 */
export const settingsPage = (): string => {
  const sections: readonly (readonly [string, z.ZodType])[] = [
    ...Object.entries(fixedSections),
    ['worker.NAME', workerSection],
    ['service.NAME', serviceSection]
  ]
  const parts = sections.flatMap(([name, section]) => ['', `## [${name}]`, '', ...table(section)])
  const gateway = Object.entries(shapeOf(gatewaySettingsSchema)).flatMap(([name, section]) => ['', `## Gateway: [${name}]`, '', ...table(section)])
  return [...introduction, ...parts, ...gatewayIntroduction, ...gateway, ''].join('\n')
}
