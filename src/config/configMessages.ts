/** Schemas of the messages about the configuration between instances. */
import { z } from 'zod'
import { listOf } from '../listSchema.js'
import { patchSchema, publicationSchema } from './configTypes.js'

const version = z.number().int().nonnegative()
const digest = z.string().max(16)

/** Schema of a digest, which describes the sender's active version. */
export const configDigestSchema = z.object({
  kind: z.literal('config.digest'),
  version,
  /** Hash of the sender's text, 16 hexadecimal digits. */
  digest,
  /** The next log offset that the sender will read, or -1 if its version does not account for every record before it. */
  cursor: z.number().int(),
  /** False while the sender checks whether it missed a version. */
  fresh: z.boolean(),
  /** Whether the sender's software can parse the rules of this version. */
  understood: z.boolean(),
  /** Log timestamp of the newest snapshot that the sender knows, in ms; 0 if none. */
  snapshotAt: z.number(),
  /** Correlation id of a request for the receiver's digest; 0 if a reply is needed only when the versions differ. */
  ask: z.number().int().nonnegative(),
  /** Correlation id (`ask`) of the request that this digest answers; 0 if it answers none. */
  answers: z.number().int().nonnegative()
})

/** Schema of a request for the versions after `have`; `whole` requests the whole text instead of patches. */
export const configWantSchema = z.object({ kind: z.literal('config.want'), have: version, whole: z.boolean() })

/** Schema of a message with the patches that lead from version `from` to the sender's version. `digest` is the hash of the resulting text, `through` the last log offset that the sender has folded. */
export const configChangeSchema = z.object({
  kind: z.literal('config.change'),
  from: version,
  steps: z.array(z.object({ patch: patchSchema, publication: publicationSchema })).min(1),
  digest,
  through: z.number().int()
})

/** Schema of a message with the whole text of the sender's version. `digest` is the hash of the text, `through` the last log offset that the sender has folded. */
export const configTextSchema = z.object({
  kind: z.literal('config.text'),
  lines: listOf(z.string()),
  history: z.array(publicationSchema).min(1),
  digest,
  through: z.number().int()
})

/** Schema of the messages of the configuration feature. */
export const configMessageSchema = z.discriminatedUnion('kind', [
  configDigestSchema, configWantSchema, configChangeSchema, configTextSchema
])

/** A message about the configuration. */
export type ConfigMessage = z.infer<typeof configMessageSchema>
/** A digest of an instance's active version. */
export type ConfigDigest = z.infer<typeof configDigestSchema>
/** The patches from one version to a later one. */
export type ConfigChange = z.infer<typeof configChangeSchema>
/** A version with its whole text. */
export type ConfigText = z.infer<typeof configTextSchema>
