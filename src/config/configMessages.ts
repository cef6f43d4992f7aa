/** Messages about the configuration between instances. */
import { z } from 'zod'
import { patchSchema, publicationSchema } from './configTypes.js'

const version = z.number().int().nonnegative()
const digest = z.string().max(16)

/** What an instance has in force. */
export const configDigestSchema = z.object({
  kind: z.literal('config.digest'),
  version,
  /** Hash of the text, 16 hexadecimal digits. */
  digest,
  /** The next offset that it reads, or -1 if it cannot vouch for the records before. */
  cursor: z.number().int(),
  /** False while it waits to hear whether it missed a version. */
  fresh: z.boolean(),
  /** Whether its software can read the rules of this version. */
  understood: z.boolean(),
  /** The log's time of the newest snapshot known, in ms; 0 if none. */
  snapshotAt: z.number(),
  /** Whether an answer is asked for though nothing differs. */
  ask: z.boolean()
})

/** Asks for what follows version `have`; `whole` asks for the whole text. */
export const configWantSchema = z.object({ kind: z.literal('config.want'), have: version, whole: z.boolean() })

/** The line differences from version `from` on. */
export const configChangeSchema = z.object({
  kind: z.literal('config.change'),
  from: version,
  steps: z.array(z.object({ patch: patchSchema, publication: publicationSchema })).min(1),
  digest,
  through: z.number().int()
})

/** A whole version. */
export const configTextSchema = z.object({
  kind: z.literal('config.text'),
  lines: z.array(z.string()),
  history: z.array(publicationSchema).min(1),
  digest,
  through: z.number().int()
})

/** Messages of the feature. */
export const configMessageSchema = z.discriminatedUnion('kind', [
  configDigestSchema, configWantSchema, configChangeSchema, configTextSchema
])

/** A message about the configuration. */
export type ConfigMessage = z.infer<typeof configMessageSchema>
/** What an instance has in force. */
export type ConfigDigest = z.infer<typeof configDigestSchema>
/** Line differences. */
export type ConfigChange = z.infer<typeof configChangeSchema>
/** A whole version. */
export type ConfigText = z.infer<typeof configTextSchema>
