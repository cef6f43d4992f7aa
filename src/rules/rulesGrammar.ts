/** The grammar of a rules file: its verbs, with the keys and the target that each takes. */

/** The syntax of a value; `allowedValues` in `rulesValues` describes each. */
export type ValueSyntax = 'name' | 'names' | 'glob' | 'number' | 'count' | 'duration' | 'rate' | 'hash' | 'time' | 'role'

/** The syntax of the target, the part of a line after `->`. */
export type TargetSyntax = 'none' | 'endpoints' | 'number' | 'duration' | 'limits' | 'optionalModel'

/** The syntax of a `key=value` pair. */
export interface KeySyntax {
  /** The syntax of the value. */
  readonly value: ValueSyntax
  /** Whether a line must have the key; false by default. */
  readonly required?: boolean
}

/** The syntax of a line with a certain verb. */
export interface VerbSyntax {
  /** Whether the verb is followed by the name that the line declares. */
  readonly named: boolean
  /** The keys that the line can have. */
  readonly keys: Readonly<Record<string, KeySyntax>>
  /** The syntax of the target. */
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

/** The verbs of a rules file. */
export const verbNames = ['workspace', 'key', 'model', 'route', 'deny', 'once', 'priority', 'worth', 'deadline', 'limit'] as const

/** One of the verbs. */
export type VerbName = typeof verbNames[number]

/** The keys that can follow the `->` of a `limit` line. */
export const limitTargetKeys: Readonly<Record<string, KeySyntax>> = limitKeys

/** The syntax of the lines of each verb. */
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
 * Checks whether a word is a verb.
 *
 * @param word - the first word of a line
 * @returns true if the word is one of `verbNames`
 */
export const isVerb = (word: string): word is VerbName => (verbNames as readonly string[]).includes(word)
