/**
 * Schemas of the messages between an instance that wants to send requests and the
 * coordinators of groups of workers. Numbers are bounded, since a coordinator's
 * counts are made of them; ages are in ms.
 */
import { z } from 'zod'
import type { Prompt } from '../ports/forwardPort.js'
import { maxGroupSize } from './workerGroups.js'

/** Largest number of prompt parts that a placement request names; the rest of the prompt counts as not cached. */
export const maxPartsPerRequest = 64
/** Largest number of entries of each kind in one message of updates. */
export const maxUpdatesPerMessage = 128
/** Largest number of groups that a request names as alternatives. */
export const maxAlternatives = 64
/** Largest number of group loads in one message. */
export const maxGroupLoadsPerMessage = 4

const maxCount = 1e9
const id = z.number().int().min(0)
const age = z.number().min(0).max(maxCount)
const count = z.number().min(0).max(maxCount)

/** A group, its load as the sender knows it, and the age of that in ms. The load is the mean share of a worker in use, in units of the workers' speed, in per mille; a tuple of integers, since a coordinator sends several with each answer. */
const groupLoadSchema = z.tuple([z.number().int().min(0), count, age])

const promptSchema = z.object({
  model: z.string(),
  inputTokens: count,
  maxOutputTokens: count,
  parts: z.array(z.object({ id: z.string(), tokens: count })).max(maxPartsPerRequest)
})

const decisionSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('placed'),
    worker: z.string(),
    expected: count,
    unreadTokens: count,
    fetchedTokens: count,
    tokensAhead: count,
    memoryTokens: count,
    scope: z.string().optional()
  }),
  /** No worker of the group has room for `wait` ms. */
  z.object({ kind: z.literal('noRoom'), wait: age }),
  /** Another group has much less load, and is to be asked. */
  z.object({ kind: z.literal('otherGroup'), group: z.number().int().min(0) }),
  /** The receiver of the question knows no worker of the group that may get the request. */
  z.object({ kind: z.literal('noWorker') })
])

/** Load counts of a worker that the sender has heard `age` ms ago. */
const loadReportSchema = z.object({
  worker: z.string(),
  age,
  running: count,
  waiting: count,
  slots: count,
  pace: z.number().positive().optional(),
  brittle: z.boolean().default(false)
})

/** A request in flight that the receiver has not placed. */
const flightSchema = z.object({
  id,
  worker: z.string(),
  service: z.string(),
  unreadTokens: count,
  memoryTokens: count,
  tokensAhead: count,
  expected: count,
  age,
  begun: z.boolean()
})

/** A request that has no connection any more and that its worker may still run; times in ms. */
const abandonedSchema = z.object({ id, worker: z.string(), memoryTokens: count, sent: age, age, left: age })

/** Schemas of the messages about placement. */
export const coordinationMessageSchemas = [
  /** Asks the coordinator of a group for a worker. */
  z.object({
    kind: z.literal('fleet.placementRequest'),
    id,
    service: z.string(),
    group: z.number().int().min(0),
    prompt: promptSchema.optional(),
    workspace: z.string().optional(),
    /** Groups that may be named instead; none if another coordinator has named this one. */
    alternatives: z.array(z.number().int().min(0)).max(maxAlternatives).default([]),
    /** Workers of the group that may not get it. */
    excluded: z.array(z.string()).max(maxGroupSize * 2),
    loads: z.array(groupLoadSchema).max(maxGroupLoadsPerMessage)
  }),
  /** The answer. */
  z.object({ kind: z.literal('fleet.placementDecision'), id, service: z.string(), decision: decisionSchema, loads: z.array(groupLoadSchema).max(maxGroupLoadsPerMessage) }),
  /** What has become of the sender's requests at workers of the receiver's groups. */
  z.object({
    kind: z.literal('fleet.placementUpdates'),
    /** Requests in flight that another coordinator, or the sender, has placed. */
    flights: z.array(flightSchema).max(maxUpdatesPerMessage),
    /** Requests whose first event came `age` ms ago. */
    begun: z.array(z.object({ id, age })).max(maxUpdatesPerMessage),
    /** Requests that have ended, or were not sent. */
    ended: z.array(id).max(maxUpdatesPerMessage),
    /** Requests whose connection was closed `age` ms ago and that the worker may still run, until it stops them in `left` ms; `sent` is the time since they were sent, in ms. Instances of an older version leave it out. */
    abandoned: z.array(abandonedSchema).max(maxUpdatesPerMessage).default([]),
    /** Requests that are still in flight. */
    running: z.array(id).max(maxUpdatesPerMessage),
    reports: z.array(loadReportSchema).max(maxUpdatesPerMessage)
  })
] as const

/** A message about placement. */
export type CoordinationMessage = z.infer<typeof coordinationMessageSchemas[number]>
export type PlacementRequest = Extract<CoordinationMessage, { kind: 'fleet.placementRequest' }>
export type PlacementUpdates = Extract<CoordinationMessage, { kind: 'fleet.placementUpdates' }>
export type PlacementAnswer = z.infer<typeof decisionSchema>
export type PlacedAnswer = Extract<PlacementAnswer, { kind: 'placed' }>
export type GroupLoad = z.infer<typeof groupLoadSchema>
export type WorkerLoadReport = z.infer<typeof loadReportSchema>

/** Longest id of a prompt part that a message carries, in characters; the parts from a longer one on count as not cached. */
const maxPartIdLength = 256

/** Brings a number that a caller or a worker has stated within the bounds of messages; what is none counts as 0. */
export const boundedCount = (value: number): number => value > 0 ? Math.min(maxCount, value) : 0

/** Returns a prompt as messages carry it. What callers state has no bounds, and a message beyond them would be refused as a whole. */
export const boundedPrompt = ({ model, inputTokens, maxOutputTokens, parts }: Prompt): NonNullable<PlacementRequest['prompt']> => {
  const tooLong = parts.findIndex(({ id: part }) => part.length > maxPartIdLength)
  const carried = parts.slice(0, Math.min(maxPartsPerRequest, tooLong < 0 ? parts.length : tooLong))
  return {
    model,
    inputTokens: boundedCount(inputTokens),
    maxOutputTokens: boundedCount(maxOutputTokens),
    parts: carried.map(part => ({ id: part.id, tokens: boundedCount(part.tokens) }))
  }
}
