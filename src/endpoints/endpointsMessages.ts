/** Schemas of the messages about endpoints that instances exchange. */
import { z } from 'zod'
import { listOf } from '../listSchema.js'

const addressSchema = z.object({ host: z.string(), port: z.number() })

const modelSchema = z.object({ model: z.string(), adapter: z.string().optional(), weightVersion: z.string() })

const factSchema = z.object({
  id: z.string(),
  kind: z.enum(['worker', 'service']),
  address: addressSchema,
  dataCentre: z.string(),
  fenced: z.boolean(),
  slots: z.number(),
  /** Current incarnation; empty until the endpoint has answered some instance. */
  incarnation: z.string(),
  /** Number of observed changes of incarnation. */
  generation: z.number(),
  /** Ended incarnations, newest last. */
  past: listOf(z.string()),
  leaving: z.boolean(),
  models: listOf(modelSchema),
  /** Whether the endpoint was removed permanently. */
  gone: z.boolean(),
  /** Logical timestamp that orders observations of `models` and `gone`; 0 before the first. */
  observed: z.number()
})

const loadSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  running: z.number(),
  waiting: z.number(),
  waitingTokens: z.number(),
  /** Milliseconds since the report arrived at the sender. */
  age: z.number()
})

/** Schema of the messages of the endpoints feature. */
export const endpointsMessageSchema = z.discriminatedUnion('kind', [
  /** Subscribes to the load reports of these endpoints for a limited time; sent to their owner. */
  z.object({
    kind: z.literal('endpoints.follow'),
    ids: listOf(z.string()),
    /** Requested interval between the messages, in ms. */
    interval: z.number()
  }),
  /** Load reports and unreachable endpoints, sent to a follower. */
  z.object({ kind: z.literal('endpoints.loads'), loads: listOf(loadSchema), unreachable: listOf(z.string()) }),
  /** State of endpoints that changed or that a digest showed to differ. */
  z.object({ kind: z.literal('endpoints.facts'), facts: listOf(factSchema) }),
  /** Checksums of the sender's endpoint state, one per bucket of ids. */
  z.object({ kind: z.literal('endpoints.digest'), sums: listOf(z.number()) }),
  /** Requests the state of all endpoints; sent by an instance that has just started. */
  z.object({ kind: z.literal('endpoints.ask') })
])

/** A message of the endpoints feature. */
export type EndpointsMessage = z.infer<typeof endpointsMessageSchema>

/** State of an endpoint as exchanged between instances. */
export type EndpointFact = z.infer<typeof factSchema>

/** A load report that the owner forwards to a follower. */
export type ForwardedLoad = z.infer<typeof loadSchema>
