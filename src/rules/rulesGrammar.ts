/** The verbs of a rules file, with the keys and the target that each takes. */

/** How a value is written. */
export type ValueSyntax = 'name' | 'names' | 'glob' | 'number' | 'count' | 'duration' | 'rate' | 'hash' | 'time' | 'role'

/** What stands after `->`. */
export type TargetSyntax = 'none' | 'endpoints' | 'number' | 'duration' | 'limits' | 'optionalModel'

/** A key of a verb. */
export interface KeySyntax {
  readonly value: ValueSyntax
  readonly required?: boolean
}

/** A verb. */
export interface VerbSyntax {
  /** Whether a bare name follows the verb. */
  readonly named: boolean
  readonly keys: Readonly<Record<string, KeySyntax>>
  readonly target: TargetSyntax
}

const limitKeys = {
  requests: { value: 'rate' },
  tokens: { value: 'rate' },
  concurrency: { value: 'count' }
} as const satisfies Record<string, KeySyntax>

const selectorKeys = {
  workspace: { value: 'glob' },
  model: { value: 'glob' },
  service: { value: 'glob' },
  adapter: { value: 'glob' },
  method: { value: 'glob' },
  path: { value: 'glob' }
} as const satisfies Record<string, KeySyntax>

/** The names of the verbs. */
export const verbNames = ['workspace', 'key', 'model', 'route', 'deny', 'once', 'priority', 'worth', 'deadline', 'limit'] as const

/** A verb's name. */
export type VerbName = typeof verbNames[number]

/** Keys that may follow the arrow of a `limit` line. */
export const limitTargetKeys: Readonly<Record<string, KeySyntax>> = limitKeys

/** The grammar of each verb. */
export const verbs: Readonly<Record<VerbName, VerbSyntax>> = {
  workspace: {
    named: true,
    keys: { worth: { value: 'number' }, priority: { value: 'number' }, deadline: { value: 'duration' }, ...limitKeys },
    target: 'none'
  },
  key: {
    named: false,
    keys: {
      workspace: { value: 'name' },
      role: { value: 'role' },
      workspaces: { value: 'names' },
      team: { value: 'name' },
      hash: { value: 'hash', required: true },
      from: { value: 'time' },
      until: { value: 'time' }
    },
    target: 'none'
  },
  model: { named: true, keys: { version: { value: 'name' }, adapters: { value: 'names' } }, target: 'optionalModel' },
  route: { named: false, keys: selectorKeys, target: 'endpoints' },
  deny: { named: false, keys: selectorKeys, target: 'none' },
  once: {
    named: false,
    keys: { ...selectorKeys, service: { value: 'glob', required: true } },
    target: 'none'
  },
  priority: { named: false, keys: selectorKeys, target: 'number' },
  worth: { named: false, keys: selectorKeys, target: 'number' },
  deadline: { named: false, keys: selectorKeys, target: 'duration' },
  limit: { named: false, keys: { workspace: { value: 'glob', required: true } }, target: 'limits' }
}

/**
 * Whether a word is a verb.
 *
 * @param word - the first word of a line
 * @returns true for a verb
 */
export const isVerb = (word: string): word is VerbName => (verbNames as readonly string[]).includes(word)
