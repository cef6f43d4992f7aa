/**
 * Types of the configuration feature and schemas of its log records. The record
 * schemas must never change: every software version must fold a stream to the
 * same version, and all of them ignore a record that does not match.
 */
import { z } from 'zod'
import { listOf } from '../listSchema.js'
import type { Operator, RuleError, Ruleset } from '../rules/rulesTypes.js'
import type { RuleChange } from '../rules/rulesDiff.js'

/** The log stream that holds the configuration. */
export const configStream = 'config'

/** Schema of a hunk, which replaces `remove` lines from index `at` of the old text with `insert`. */
export const hunkSchema = z.object({
  at: z.number().int().nonnegative(),
  remove: z.number().int().nonnegative(),
  insert: listOf(z.string())
})

/** Schema of a patch: hunks in ascending order of `at`, all relative to the old text. */
export const patchSchema = listOf(hunkSchema)

/** A replaced range of lines. */
export type Hunk = z.infer<typeof hunkSchema>

/** The differences between two texts, as hunks. */
export type Patch = readonly Hunk[]

/** Schema of an accepted publish, without its patch. */
export const publicationSchema = z.object({
  version: z.number().int().nonnegative(),
  id: z.string(),
  publisher: z.string(),
  /** Log timestamp of the record, in ms. */
  at: z.number(),
  /** Log offset of the record. */
  offset: z.number().int()
})

/** An accepted publish: its version, publisher, time and log offset. */
export type Publication = z.infer<typeof publicationSchema>

/** Schema of a record that replaces version `base`; it is accepted if and only if `base` is the current version and the patch applies. */
export const publishRecordSchema = z.object({
  kind: z.literal('publish'),
  id: z.string(),
  base: z.number().int().nonnegative(),
  publisher: z.string(),
  patch: patchSchema
})

/** Schema of a record with a whole version and the position of the fold, for readers whose earlier records have expired. */
export const snapshotRecordSchema = z.object({
  kind: z.literal('snapshot'),
  lines: listOf(z.string()),
  /** Accepted publishes in ascending order; the last made this version. */
  history: z.array(publicationSchema).min(1),
  /** The last log offset folded into this state. */
  through: z.number().int()
})

/** Schema of the records of the configuration stream. */
export const configRecordSchema = z.discriminatedUnion('kind', [publishRecordSchema, snapshotRecordSchema])

/** A record of the configuration stream. */
export type ConfigRecord = z.infer<typeof configRecordSchema>

/** A version with its text and the publishes that led to it. */
export interface Revision {
  readonly version: number
  readonly lines: readonly string[]
  /** Accepted publishes in ascending order, bounded; the last made this version. */
  readonly history: readonly Publication[]
}

/** Result of a publish, as returned to the operator. */
export type PublishResult =
  | { readonly kind: 'accepted', readonly version: number }
  /** Another publish replaced the base version; `winner` is its publisher. */
  | { readonly kind: 'conflict', readonly winner: string, readonly version: number }
  | { readonly kind: 'invalid', readonly errors: readonly RuleError[] }
  /** The publish changes lines that the operator may not change. */
  | { readonly kind: 'forbidden', readonly changes: readonly RuleChange[] }
  /** `retryAfter` is in ms. With the outcome `unknown`, a publish with the same id may safely be sent again. */
  | { readonly kind: 'unavailable', readonly retryAfter: number, readonly outcome: 'notRun' | 'unknown' }

/** An operator's request to publish. */
export interface PublishInput {
  readonly kind: 'config.publish'
  /** Identifies the request in its result. */
  readonly request: number
  /** Idempotency key: unique to this publish and the same in each repetition of it. */
  readonly publishId: string
  /** The version that the text was edited from. */
  readonly base: number
  readonly text: string
  readonly publisher: string
  /** The operator, whose permissions decide which lines may change; undefined allows every change. */
  readonly operator?: Operator
}

/** Inputs that only this feature handles. */
export type ConfigInput =
  | PublishInput
  /** The ids of the live instances, possibly with this one. */
  | { readonly kind: 'config.peers', readonly peers: readonly string[] }
  /** Requests the version of every peer, for the status of the fleet. */
  | { readonly kind: 'config.survey' }

/** Effects that only this feature produces. */
export type ConfigEffect =
  /** A publish has its result. */
  | { readonly kind: 'config.published', readonly request: number, readonly result: PublishResult }
  /** A higher version became active on this instance. */
  | { readonly kind: 'config.changed', readonly version: number, readonly publisher: string }

/** The active configuration of this instance. */
export interface CurrentConfig {
  readonly version: number
  /** The rules of the highest version that this software could parse. */
  readonly ruleset: Ruleset
  /** The version of `ruleset`; lower than `version` if this software cannot parse that one. */
  readonly rulesetVersion: number
  readonly text: string
  readonly publisher: string
  /** Log timestamp of the publish, in ms. */
  readonly at: number
}

/** The last known version of an instance. */
export interface PeerVersion {
  readonly version: number
  /** Whether the instance's software can parse the rules of that version. */
  readonly understood: boolean
  /** Time at which this was last known to hold, in ms. */
  readonly at: number
}
