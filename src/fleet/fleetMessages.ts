/** Schemas of the messages between the instances of a fleet. */
import { z } from 'zod'
import { catalogSchema } from '../catalog/catalogTypes.js'
import { quotaMessageSchemas } from '../quotas/quotaMessages.js'
import { coordinationMessageSchemas } from '../coordination/coordinationMessages.js'
import { listOf } from '../listSchema.js'
import { streamOriginSchema } from '../streamOrigins/streamOriginsTypes.js'
import { workerRecordSchema } from '../workers/workersTypes.js'

const momentSchema = z.object({ steady: z.number(), wall: z.number() })

const heartbeatSchema = z.object({
  kind: z.literal('fleet.beat'),
  incarnation: z.string(),
  ready: z.boolean(),
  leaving: z.boolean(),
  /** Whether the sender's event loop lags. */
  strained: z.boolean().default(false),
  /** Whether the sender is cut off from the workers of a service that others reach. */
  cutOff: z.boolean().default(false),
  /** The sender's clocks at the time of sending. */
  sentAt: momentSchema,
  /** `sentAt` of the last heartbeat that the sender received from the receiver. */
  echo: momentSchema.optional(),
  /** Incarnation of the receiver that sent that heartbeat; the clocks of an earlier one are not those of the receiver. */
  echoOf: z.string().optional(),
  /** Version of the sender's configuration; 0 if it has none. */
  configuration: z.number(),
  /** Age of the sender's proof that this version is the newest, in ms. */
  proofAge: z.number().optional(),
  /** Time since the last direct response of the store to the sender, in ms. */
  storeAge: z.number().optional(),
  /** Whether the sender holds the rollout lease and thus orders weight changes. */
  holding: z.boolean(),
  /** State that the sender read from the store; only if it reads for others. */
  readFor: z.object({
    /** Digest of all worker records. */
    workers: z.number(),
    /** Whether the first part store is reachable; undefined if there is none. Instances of an older version know only this one. */
    partStore: z.boolean().optional(),
    /** The part stores that are reachable, as `host:port`; undefined in an older version. */
    partStores: listOf(z.string()).optional(),
    /** Ids of the instances whose heartbeats the sender misses. */
    silent: listOf(z.string())
  }).optional(),
  weights: listOf(z.object({ model: z.string(), version: z.number() }))
})

const permitDecisionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('granted'), count: z.number().int().min(1) }),
  z.object({ kind: z.literal('denied'), wait: z.number().min(0) })
])

/** Largest number of features that one message names. */
export const maxPartsPerMessage = 64

const age = z.number().min(0)

/** A blocked feature of requests; ages and times in ms. */
const blockedFeatureSchema = z.object({
  part: z.string(),
  age,
  /** Time since the last crash under it. */
  crashAge: age,
  /** Number of trials that failed; -1 for a feature that was sound before. */
  failures: z.number().int().min(-1),
  /** Time to its next trial. */
  trialIn: age
})

/** Largest number of blocked features of one answer. */
const maxBlockedPerAnswer = 512

/**
 * Messages about requests that crash workers, by a part of their prompt or as a
 * whole. `part` is such a feature as `src/poisonRequests/features.ts` writes it, and
 * `model` its scope.
 */
const poisonMessageSchemas = [
  /** A lifetime of a worker has crashed `age` ms ago; `suspects` are features of the requests that it had just begun to run. */
  z.object({
    kind: z.literal('fleet.workerCrash'),
    model: z.string(),
    worker: z.string(),
    startedAt: z.number(),
    age,
    suspects: z.array(z.object({
      part: z.string(),
      /** Position in the prompt, from 0; a whole request stands behind its parts. */
      depth: z.number().int().min(0),
      /** Id that the request which held it shares with its repeats. */
      request: z.string(),
      /** Whether the worker had begun to answer that request. */
      begun: z.boolean(),
      /** Time since an answer on it began that went well, in ms; undefined if the sender knows none. */
      provenAge: age.optional()
    })).max(maxPartsPerMessage)
  }),
  /** Asks when answers on these features last went well. */
  z.object({ kind: z.literal('fleet.partQuestion'), model: z.string(), parts: z.array(z.string()).max(maxPartsPerMessage) }),
  /** Answers on these features that began `age` ms ago went well. */
  z.object({ kind: z.literal('fleet.partProofs'), model: z.string(), proofs: z.array(z.object({ part: z.string(), age })).max(maxPartsPerMessage) }),
  /** Features that no request may bring to a worker. */
  z.object({ kind: z.literal('fleet.blockedParts'), model: z.string(), blocked: z.array(blockedFeatureSchema).max(maxPartsPerMessage) }),
  /** Asks for all blocked features; the sender has just started. */
  z.object({ kind: z.literal('fleet.blockedQuestion') }),
  /** All features that are blocked at the sender. */
  z.object({ kind: z.literal('fleet.blockedAnswer'), blocked: z.array(blockedFeatureSchema.extend({ model: z.string() })).max(maxBlockedPerAnswer) }),
  /** A feature may be brought to workers again since `age` ms ago. */
  z.object({ kind: z.literal('fleet.partUnblocked'), model: z.string(), part: z.string(), age, /** Whether another one explains the crashes; otherwise an answer on it went well. */ explained: z.boolean().default(false) })
] as const

/** Schema of all messages between instances. */
export const fleetMessageSchema = z.discriminatedUnion('kind', [
  heartbeatSchema,
  /** A worker loads weights for about `time` ms. */
  z.object({ kind: z.literal('fleet.loading'), worker: z.string(), model: z.string(), version: z.number(), time: z.number() }),
  /** A worker has loaded a weight version. */
  z.object({ kind: z.literal('fleet.loaded'), worker: z.string(), model: z.string(), version: z.number() }),
  /** The sender has sent a worker a request with many uncached tokens. */
  z.object({
    kind: z.literal('fleet.sent'),
    worker: z.string(),
    unreadTokens: z.number(),
    /** Whether the worker was asked to send the prompt to the part store. */
    stores: z.boolean().default(false),
    scope: z.string(),
    parts: listOf(z.object({ id: z.string(), tokens: z.number() }))
  }),
  /** The sender could not reach a worker. */
  z.object({ kind: z.literal('fleet.doubt'), worker: z.string() }),
  /** A worker has stated in a response to the sender that this lifetime of it is leaving. */
  z.object({ kind: z.literal('fleet.workerLeaving'), worker: z.string(), startedAt: z.number() }),
  /** A lifetime of a worker takes `perSecond` requests a second from all instances together, or states no limit any more; `age` of the statement in ms. */
  z.object({ kind: z.literal('fleet.workerLimit'), worker: z.string(), startedAt: z.number(), perSecond: z.number().min(0).optional(), age: z.number().min(0) }),
  /** Asks the instance that grants the permits of a limited worker for some; `perSecond` and `age` as the sender knows the limit. */
  z.object({ kind: z.literal('fleet.permitRequest'), worker: z.string(), startedAt: z.number(), perSecond: z.number().min(0), age: z.number().min(0), priority: z.number() }),
  /** The answer; `wait` in ms. */
  z.object({ kind: z.literal('fleet.permitDecision'), worker: z.string(), startedAt: z.number(), decision: permitDecisionSchema }),
  /** Streams that have begun at the sender, for instances that are to know where. */
  z.object({ kind: z.literal('fleet.streams'), streams: listOf(z.object({ id: z.string(), origin: streamOriginSchema })), /** Whether the receiver is to record them in the store. */ record: z.boolean().default(false) }),
  /** Asks where a stream began. */
  z.object({ kind: z.literal('fleet.streamQuestion'), id: z.string(), service: z.string(), workspace: z.string().optional(), /** Whether the receiver is to read the records of the store first if it has just started. */ read: z.boolean().default(false) }),
  /** Where it began, if the sender knows, and which versions of the service's software it has seen lately; `complete` as in `VersionSummary`. */
  z.object({ kind: z.literal('fleet.streamAnswer'), id: z.string(), origin: streamOriginSchema.optional(), versions: listOf(z.string()), complete: z.boolean() }),
  ...poisonMessageSchemas,
  ...quotaMessageSchemas,
  ...coordinationMessageSchemas,
  /** Changed worker records from a sender that reads for others. */
  z.object({ kind: z.literal('fleet.workers'), records: listOf(workerRecordSchema) }),
  /** Asks whether the receiver has reached workers of the service since the sender found for all, `since` ms ago, that it does not. */
  z.object({ kind: z.literal('fleet.reachQuestion'), service: z.string(), since: z.number().min(0) }),
  /** The sender has reached a worker of the service since, and takes requests for it. */
  z.object({ kind: z.literal('fleet.reachAnswer'), service: z.string() }),
  /** Requests the configuration of at least this version. */
  z.object({ kind: z.literal('fleet.wantCatalog'), version: z.number() }),
  /** The sender's configuration, in response to `fleet.wantCatalog`. */
  z.object({ kind: z.literal('fleet.catalog'), catalog: catalogSchema })
])

/** A message between instances. */
export type FleetMessage = z.infer<typeof fleetMessageSchema>
/** A heartbeat with the sender's state. */
export type Heartbeat = z.infer<typeof heartbeatSchema>
/** The part of a heartbeat that only instances reading for others fill in. */
export type ReaderState = NonNullable<Heartbeat['readFor']>
