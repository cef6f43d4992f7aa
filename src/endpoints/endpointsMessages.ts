/** Messages between instances about endpoints. */
import { z } from 'zod'

const addressSchema = z.object({ host: z.string(), port: z.number() })

const modelSchema = z.object({ model: z.string(), adapter: z.string().optional(), weightVersion: z.string() })

const factSchema = z.object({
  id: z.string(),
  kind: z.enum(['worker', 'service']),
  address: addressSchema,
  dataCentre: z.string(),
  fenced: z.boolean(),
  slots: z.number(),
  /** Empty until the endpoint has answered someone. */
  incarnation: z.string(),
  /** Counts the changes of incarnation that were observed. */
  generation: z.number(),
  /** Incarnations that ended, newest last. */
  past: z.array(z.string()),
  leaving: z.boolean(),
  models: z.array(modelSchema),
  /** Whether it went away for good. */
  gone: z.boolean(),
  /** Orders the observations of `models` and `gone`; 0 before the first. */
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

/** Messages of the endpoints feature. */
export const endpointsMessageSchema = z.discriminatedUnion('kind', [
  /** Asks the owner of these endpoints for their load reports for a while. */
  z.object({
    kind: z.literal('endpoints.follow'),
    ids: z.array(z.string()),
    /** Milliseconds between the messages that the sender wants. */
    interval: z.number()
  }),
  z.object({ kind: z.literal('endpoints.loads'), loads: z.array(loadSchema), unreachable: z.array(z.string()) }),
  z.object({ kind: z.literal('endpoints.facts'), facts: z.array(factSchema) }),
  /** Checksums of the sender's facts, one per bucket of ids. */
  z.object({ kind: z.literal('endpoints.digest'), sums: z.array(z.number()) }),
  /** Asks for all facts; sent by an instance that has just started. */
  z.object({ kind: z.literal('endpoints.ask') })
])

/** A message of the endpoints feature. */
export type EndpointsMessage = z.infer<typeof endpointsMessageSchema>

/** What one instance tells another of an endpoint. */
export type EndpointFact = z.infer<typeof factSchema>

/** A load report passed on to a follower. */
export type ForwardedLoad = z.infer<typeof loadSchema>
