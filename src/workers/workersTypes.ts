/** Workers as the discovery source lists them. */
import { z } from 'zod'
import { addressSchema } from '../catalog/catalogTypes.js'
import { listOf } from '../listSchema.js'

const heldModel = z.object({ name: z.string(), version: z.number() })

const worker = z.object({
  /** Id of one lifetime of the worker; an id may be reused with a later `startedAt`. */
  id: z.string(),
  service: z.string(),
  address: addressSchema,
  dataCentre: z.string(),
  slots: z.number(),
  state: z.enum(['live', 'draining']),
  models: listOf(heldModel).readonly(),
  /** Version of the worker's software; undefined if it was not reported. Streams of two versions do not fit together. */
  softwareVersion: z.string().optional(),
  /** Start of the worker in Unix ms; 0 if it was not reported. */
  startedAt: z.number(),
  /** Number of times that this lifetime of the worker has written its record; 0 if it was not reported. */
  writes: z.number().default(0)
})

/** Schema of a discovery record for one id: the worker, or that there is none. */
export const workerRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('present'), worker }),
  z.object({ kind: z.literal('absent'), id: z.string() })
])

/** Model and version of weights that a worker holds. */
export type HeldModel = Readonly<z.infer<typeof heldModel>>
/** One lifetime of a worker, from its start to its end. */
export type Worker = Readonly<z.infer<typeof worker>>
/** A discovery record for one id: the worker, or that there is none. */
export type WorkerRecord = z.infer<typeof workerRecordSchema>
