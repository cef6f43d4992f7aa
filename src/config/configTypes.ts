/**
 * Versions of the rules text and the log records that make them. The schemas
 * of records are fixed for good: every software version must fold a stream to
 * the same version, so a record that does not fit is left out by all.
 */
import { z } from 'zod'
import type { Operator, RuleError, Ruleset } from '../rules/rulesTypes.js'
import type { RuleChange } from '../rules/rulesDiff.js'

/** The log stream that holds the configuration. */
export const configStream = 'config'

/** Replaces `remove` lines from index `at` of the old text by `insert`. */
export const hunkSchema = z.object({
  at: z.number().int().nonnegative(),
  remove: z.number().int().nonnegative(),
  insert: z.array(z.string())
})

/** Line differences in ascending order of `at`, all relative to the old text. */
export const patchSchema = z.array(hunkSchema)

/** A replaced range of lines. */
export type Hunk = z.infer<typeof hunkSchema>

/** A difference between two texts. */
export type Patch = readonly Hunk[]

/** An accepted publish, without its text. */
export const publicationSchema = z.object({
  version: z.number().int().nonnegative(),
  id: z.string(),
  publisher: z.string(),
  /** The log's time of the record, in ms. */
  at: z.number(),
  /** Offset of the record. */
  offset: z.number().int()
})

/** Who made a version, when and where. */
export type Publication = z.infer<typeof publicationSchema>

/** A request to replace version `base`; accepted if and only if that is the current one. */
export const publishRecordSchema = z.object({
  kind: z.literal('publish'),
  id: z.string(),
  base: z.number().int().nonnegative(),
  publisher: z.string(),
  patch: patchSchema
})

/** A whole version with the fold's position, for readers whose earlier records have expired. */
export const snapshotRecordSchema = z.object({
  kind: z.literal('snapshot'),
  lines: z.array(z.string()),
  /** Accepted publishes in ascending order; the last made this version. */
  history: z.array(publicationSchema).min(1),
  /** The last offset folded into this state. */
  through: z.number().int()
})

/** Records of the stream. */
export const configRecordSchema = z.discriminatedUnion('kind', [publishRecordSchema, snapshotRecordSchema])

/** A record of the stream. */
export type ConfigRecord = z.infer<typeof configRecordSchema>

/** A version's text and how it came to be. */
export interface Revision {
  readonly version: number
  readonly lines: readonly string[]
  /** Accepted publishes in ascending order, bounded; the last made this version. */
  readonly history: readonly Publication[]
}

/** What an operator hears of a publish. */
export type PublishResult =
  | { readonly kind: 'accepted', readonly version: number }
  /** Another publish replaced the base; `winner` is its publisher. */
  | { readonly kind: 'conflict', readonly winner: string, readonly version: number }
  | { readonly kind: 'invalid', readonly errors: readonly RuleError[] }
  /** The change touches lines that are not the operator's. */
  | { readonly kind: 'forbidden', readonly changes: readonly RuleChange[] }
  /** `retryAfter` is in ms; with `unknown`, the same publish id may be sent again safely. */
  | { readonly kind: 'unavailable', readonly retryAfter: number, readonly outcome: 'notRun' | 'unknown' }

/** An operator's request to publish. */
export interface PublishInput {
  readonly kind: 'config.publish'
  /** Names the answer. */
  readonly request: number
  /** Unique to this publish; equal on a repeat of it. */
  readonly publishId: string
  /** The version that the text was edited from. */
  readonly base: number
  readonly text: string
  readonly publisher: string
  /** Whose lines may change; undefined allows every change. */
  readonly operator?: Operator
}

/** Inputs that only this feature takes. */
export type ConfigInput =
  | PublishInput
  /** The live instances, by id; this one may be among them. */
  | { readonly kind: 'config.peers', readonly peers: readonly string[] }
  /** Asks every peer for its version, for the fleet's status. */
  | { readonly kind: 'config.survey' }

/** Effects that only this feature has. */
export type ConfigEffect =
  | { readonly kind: 'config.published', readonly request: number, readonly result: PublishResult }
  /** A higher version is in force here. */
  | { readonly kind: 'config.changed', readonly version: number, readonly publisher: string }

/** The configuration in force on this instance. */
export interface CurrentConfig {
  readonly version: number
  /** The rules of the highest version that this software could read. */
  readonly ruleset: Ruleset
  /** The version of `ruleset`; below `version` if this software cannot read that one. */
  readonly rulesetVersion: number
  readonly text: string
  readonly publisher: string
  /** When the log took it, in ms. */
  readonly at: number
}

/** What is known of another instance's configuration. */
export interface PeerVersion {
  readonly version: number
  /** Whether its software can read that version's rules. */
  readonly understood: boolean
  /** When it said so, in ms. */
  readonly at: number
}
