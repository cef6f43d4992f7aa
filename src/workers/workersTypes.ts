/** Workers as discovery announces them. */
import { z } from 'zod'
import { addressSchema } from '../catalog/catalogTypes.js'

const heldModel = z.object({ name: z.string(), version: z.number() })

const worker = z.object({
  /** Name of the lifetime; an old name may come back with a later start. */
  id: z.string(),
  service: z.string(),
  address: addressSchema,
  dataCentre: z.string(),
  slots: z.number(),
  state: z.enum(['live', 'draining']),
  models: z.array(heldModel).readonly(),
  /** Unix ms of its start; 0 if it did not say. */
  startedAt: z.number()
})

/** What is said of one name: a worker, or that it has left. */
export const workerRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('present'), worker }),
  z.object({ kind: z.literal('absent'), id: z.string() })
])

/** Weights that a worker holds. */
export type HeldModel = Readonly<z.infer<typeof heldModel>>
/** One lifetime of a worker. */
export type Worker = Readonly<z.infer<typeof worker>>
/** What discovery says of one name: a worker, or that it has left. */
export type WorkerRecord = z.infer<typeof workerRecordSchema>
