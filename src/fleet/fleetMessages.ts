/** Messages between the instances of a fleet. */
import { z } from 'zod'
import { catalogSchema } from '../catalog/catalogTypes.js'
import { workerRecordSchema } from '../workers/workersTypes.js'

const moment = z.object({ steady: z.number(), wall: z.number() })

const beat = z.object({
  kind: z.literal('fleet.beat'),
  incarnation: z.string(),
  ready: z.boolean(),
  leaving: z.boolean(),
  /** Whether the sender falls behind its work. */
  strained: z.boolean().default(false),
  /** The sender's clocks at the time of sending. */
  sentAt: moment,
  /** `sentAt` of the last beat that the sender had from the receiver. */
  echo: moment.optional(),
  /** Version of the sender's configuration; 0 without one. */
  configuration: z.number(),
  /** Age, in ms, of the sender's proof that this version is the newest. */
  proofAge: z.number().optional(),
  /** Time, in ms, since the sender last heard from the store itself. */
  storeAge: z.number().optional(),
  /** Whether the sender gives orders about weights. */
  holding: z.boolean(),
  /** What the sender believes of all workers, if it reads for others. */
  readFor: z.object({
    /** Digest of the workers. */
    workers: z.number(),
    /** Whether the part store is in reach; undefined if there is none. */
    partStore: z.boolean().optional(),
    /** Instances that the sender has not heard for a while. */
    silent: z.array(z.string())
  }).optional(),
  weights: z.array(z.object({ model: z.string(), version: z.number() }))
})

/** All messages of the fleet. */
export const fleetMessageSchema = z.discriminatedUnion('kind', [
  beat,
  z.object({ kind: z.literal('fleet.loading'), worker: z.string(), model: z.string(), version: z.number(), time: z.number() }),
  z.object({ kind: z.literal('fleet.loaded'), worker: z.string(), model: z.string(), version: z.number() }),
  /** The sender gave a worker much to read. */
  z.object({
    kind: z.literal('fleet.sent'),
    worker: z.string(),
    unreadTokens: z.number(),
    scope: z.string(),
    parts: z.array(z.object({ id: z.string(), tokens: z.number() }))
  }),
  /** The sender could not reach a worker. */
  z.object({ kind: z.literal('fleet.doubt'), worker: z.string() }),
  /** What the sender, which reads for others, has concluded of workers. */
  z.object({ kind: z.literal('fleet.workers'), records: z.array(workerRecordSchema) }),
  z.object({ kind: z.literal('fleet.wantCatalog'), version: z.number() }),
  z.object({ kind: z.literal('fleet.catalog'), catalog: catalogSchema })
])

/** A message of the fleet. */
export type FleetMessage = z.infer<typeof fleetMessageSchema>
/** A sign of life with what the sender believes. */
export type Heartbeat = z.infer<typeof beat>
/** What an instance that reads for others says of it in its beats. */
export type ReaderState = NonNullable<Heartbeat['readFor']>
