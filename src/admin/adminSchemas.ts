/**
 * Schemas of the requests and answers of the administration API. Its types and
 * its OpenAPI document are derived from them.
 */
import { z } from 'zod'
import { publicationSchema } from '../config/configTypes.js'

const count = z.number().int().nonnegative()
const timestamp = z.number().meta({ description: 'Time in milliseconds since the Unix epoch (1970).' })

/** Largest number of rows on one page of a list. */
export const maxPageSize = 1_000
const defaultPageSize = 100

const limit = z.string()
  .regex(/^\d{1,4}$/)
  .transform(Number)
  .pipe(z.number().int().min(1).max(maxPageSize))
  .prefault(String(defaultPageSize))
  .meta({ description: `Maximum number of rows on a page, from 1 to ${maxPageSize}.` })

/** Query of a paginated list whose rows are ordered by name. */
export const pageQuery = z.strictObject({
  limit,
  after: z.string().optional().meta({ description: 'The value of `next` from the previous page; absent for the first page.' })
})

/** Query of the publish history, paginated by version. */
export const historyQuery = z.strictObject({
  limit,
  after: z.string().regex(/^\d{1,15}$/).transform(Number).optional().meta({ description: 'The value of `next` from the previous page; absent for the first page.' })
})

const next = z.string().optional().meta({ description: 'Value of `after` for the next page; absent on the last page.' })

/** Line of a rule in the rules text, and the person and team who requested it. */
export const originSchema = z.object({ line: count, asker: z.string(), team: z.string(), text: z.string() })

/** A syntax or validation error in a rules text. */
export const ruleErrorSchema = z.object({
  code: z.enum([
    'unknownVerb', 'unknownKey', 'repeatedKey', 'missingKey', 'missingName', 'badValue',
    'missingTarget', 'unexpectedTarget', 'missingAsker', 'lineTooLong', 'fileTooLong',
    'repeatedName', 'undeclaredWorkspace', 'undeclaredModel', 'undeclaredAdapter'
  ]),
  line: count,
  column: count,
  key: z.string().optional(),
  found: z.string(),
  allowed: z.string()
})

const ruleSchema = z.looseObject({ kind: z.string(), origin: originSchema })

const changeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('added'), rule: ruleSchema }),
  z.object({ kind: z.literal('removed'), rule: ruleSchema }),
  z.object({ kind: z.literal('reordered'), rule: ruleSchema, other: ruleSchema })
])

/** Reason for which a publish was not accepted. */
export const publishRefusalSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('conflict'), winner: z.string(), version: count }),
  z.object({ kind: z.literal('invalid'), errors: z.array(ruleErrorSchema).readonly() }),
  z.object({ kind: z.literal('forbidden'), changes: z.array(changeSchema).readonly() }),
  z.object({ kind: z.literal('unavailable'), retryAfter: z.number(), outcome: z.enum(['notRun', 'unknown']) })
])

/** Body of a request to publish rules. */
export const publishBody = z.strictObject({
  base: count.meta({ description: 'The version that the text was edited from.' }),
  text: z.string(),
  publisher: z.string().min(1).max(200),
  publishId: z.string().min(1).max(100).meta({ description: 'Unique identifier of this publish; a repeated call has to use the same one.' })
})

/** Answer to an accepted publish. */
export const publishAnswer = z.object({ kind: z.literal('accepted'), version: count })

/** Answer of the liveness check. */
export const healthAnswer = z.object({ status: z.literal('up'), instance: z.string(), incarnation: z.string() })

/** Answer of the readiness check when callers may be sent to this instance. */
export const readyAnswer = z.object({ status: z.literal('ready') })

const instanceState = z.enum(['alive', 'suspect', 'dead', 'leaving', 'unknown'])

/** State and configuration version of the instances and data centres, as known to the answering instance. */
export const statusAnswer = z.object({
  answeredBy: z.string(),
  configVersion: count.optional(),
  instances: z.array(z.object({ id: z.string(), dataCentre: z.string(), state: instanceState, configVersion: count.optional() })),
  dataCentres: z.array(z.object({ dataCentre: z.string(), instances: count, alive: count, configVersions: z.array(count) }))
})

/** The rules text in force and its publisher. */
export const rulesAnswer = z.object({ version: count, publisher: z.string(), at: timestamp, text: z.string() })

/** One page of the accepted publishes, the newest first. */
export const historyAnswer = z.object({ history: z.array(publicationSchema), next })

const limitSchema = z.object({ requestsPerSecond: z.number().optional(), tokensPerSecond: z.number().optional(), concurrency: z.number().optional() })

/** Conflicts and shadowed lines found in a valid rules text. */
export const checkAnswer = z.object({
  valid: z.literal(true),
  rules: count,
  conflicts: z.array(z.object({
    attribute: z.string(),
    severity: z.enum(['conflict', 'override']),
    winner: originSchema,
    loser: originSchema,
    reason: z.string(),
    workspace: z.string()
  })).readonly(),
  shadowed: z.array(z.object({ shadowed: originSchema, by: originSchema })).readonly(),
  truncated: z.boolean()
})

/** Attributes of a request whose rule decision is to be explained. */
export const explainQuery = z.strictObject({
  workspace: z.string().min(1),
  model: z.string().optional(),
  adapter: z.string().optional(),
  service: z.string().optional(),
  method: z.string().optional(),
  path: z.string().optional()
})

const decisionSchema = z.object({
  allowed: z.boolean(),
  refusal: z.enum(['unknownWorkspace', 'unknownModel', 'unknownAdapter', 'denied']).optional(),
  endpoints: z.array(z.string()).readonly().optional(),
  dataCentres: z.array(z.string()).readonly().optional(),
  model: z.string().optional(),
  weightVersion: z.string().optional(),
  repeatable: z.boolean(),
  priority: z.number(),
  worth: z.number(),
  deadline: z.number().meta({ description: 'Duration in milliseconds.' }),
  limit: limitSchema,
  because: z.record(z.string(), originSchema).readonly()
})

/** Decision of the rules on a request, with the line that decided each attribute. */
export const explainAnswer = z.object({
  query: explainQuery,
  decision: decisionSchema,
  attributes: z.array(z.object({
    attribute: z.string(),
    decidedBy: originSchema,
    others: z.array(z.object({ origin: originSchema, reason: z.string() })).readonly()
  })).readonly()
})

const useSchema = z.object({
  workspace: z.string(),
  /** Fraction of the workspace's limit that this instance may use. */
  fraction: z.number(),
  /** Demand at this instance when it was last updated, as a fraction of the limit. */
  demand: z.number(),
  inFlight: count,
  /** Whether the last request was held to a shorter wait because the workspace exceeds its fair share. */
  overShare: z.boolean(),
  admitted: count,
  refused: z.record(z.string(), count).readonly()
})

/** One page of workspaces, with their limits and their use at the answering instance. */
export const workspacesAnswer = z.object({
  workspaces: z.array(z.object({ name: z.string(), limits: limitSchema, use: useSchema.optional() })),
  next
})

const endpointSchema = z.object({
  id: z.string(),
  kind: z.enum(['worker', 'service']),
  address: z.object({ host: z.string(), port: count }),
  dataCentre: z.string(),
  incarnation: z.string(),
  state: z.enum(['live', 'suspect', 'leaving', 'gone']).meta({ description: 'A `suspect` endpoint may have failed: it did not answer, or its answers were faulty.' }),
  fenced: z.boolean(),
  models: z.array(z.object({ model: z.string(), adapter: z.string().optional(), weightVersion: z.string() })).readonly(),
  slots: count,
  since: timestamp,
  report: z.object({ at: timestamp, incarnation: z.string(), running: z.number(), waiting: z.number(), waitingTokens: z.number() }).optional(),
  learned: z.object({
    inFlight: z.number(),
    pendingTokens: z.number(),
    prefillCost: z.number().meta({ description: 'Estimated time per uncached prompt token, in milliseconds.' }),
    tokenTime: z.number().meta({ description: 'Estimated time per generated token, in milliseconds.' }),
    serviceTime: z.number().meta({ description: 'Estimated time per request, in milliseconds.' })
  }).optional().meta({ description: 'Load and speed of a worker, as estimated by this instance from its own requests.' })
})

/** One page of endpoints: workers and plain services. */
export const endpointsAnswer = z.object({ endpoints: z.array(endpointSchema), next })

/** State of the orders to workers: lease phase of this instance, orders in progress and desired models. */
export const ordersAnswer = z.object({
  phase: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('standby') }),
    z.object({ kind: z.literal('claiming') }),
    z.object({ kind: z.literal('holding'), fence: z.number(), actFrom: timestamp })
  ]),
  running: z.array(z.string()).readonly(),
  desired: z.array(z.object({
    model: z.string(),
    adapter: z.string().optional(),
    weightVersion: z.string(),
    workers: z.union([z.array(z.string()).readonly(), z.literal('all')])
  })).readonly()
})

/** Answer to a request to drain an endpoint. */
export const drainEndpointAnswer = z.object({ endpoint: z.string(), state: z.literal('leaving') })

/** Answer to a request to drain the answering instance. */
export const drainAnswer = z.object({ state: z.literal('leaving') })

/** Dump of the state of the process. */
export const dumpAnswer = z.record(z.string(), z.unknown())

const requiredRole = z.enum(['none', 'read', 'publish', 'fleet'])

/** Operator role that an operation requires; `none` needs no key and is meant for the platform's health probes. */
export type RequiredRole = z.infer<typeof requiredRole>

const adminErrorSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('unauthorised') }),
  z.object({ kind: z.literal('forbidden'), required: requiredRole }),
  z.object({ kind: z.literal('unknown_path'), path: z.string() }),
  z.object({ kind: z.literal('malformed_request'), place: z.string(), reason: z.string() }),
  z.object({ kind: z.literal('rules_invalid'), errors: z.array(ruleErrorSchema).readonly() }),
  z.object({ kind: z.literal('publish_refused'), result: publishRefusalSchema }),
  z.object({ kind: z.literal('no_configuration') }),
  z.object({ kind: z.literal('not_ready') })
])

/** An error of the administration API. */
export type AdminError = z.infer<typeof adminErrorSchema>

const errorBodies = adminErrorSchema.options.map(({ shape: { kind, ...details } }) =>
  z.object({ type: kind, message: z.string(), ...details }))

/** Body of every error answer; `type` is the error's `kind`. */
export const adminErrorBodySchema = z.object({ error: z.union(errorBodies) })

/** Body of a request to explain the routing of a model request. */
export const explainModelBody = z.strictObject({
  workspace: z.string().min(1),
  model: z.string().min(1),
  adapter: z.string().min(1).optional(),
  /** Texts of the chat messages, or the single text of a completion prompt. */
  prompt: z.array(z.string()).min(1),
  maxTokens: z.number().int().positive().optional()
})

const scoredEndpoint = z.strictObject({
  endpoint: z.string(),
  incarnation: z.string(),
  /** Expected time until the worker starts on the prompt, in ms. */
  wait: z.number(),
  /** Prompt tokens expected to be in the worker's prefix cache. */
  cachedTokens: z.number(),
  /** Whether the cached tokens are known from the worker's own events, without a gap. */
  certain: z.boolean(),
  /** Prefill time of the worker per uncached token, in ms. */
  prefillCost: z.number(),
  /** Expected time to the first token, in ms. */
  expectedWait: z.number(),
  /** Number of leading prefix levels that are placed on this worker. */
  level: z.number(),
  /** Routing score in ms; the worker with the lowest score is chosen. */
  score: z.number()
})

/** Rule decision and worker ranking that a model request would get at this moment. */
export const explainModelAnswer = z.strictObject({
  allowed: z.boolean(),
  model: z.string().optional(),
  weightVersion: z.string().optional(),
  promptTokens: z.number(),
  /** For each prefix level, the number of prefix blocks up to its end. */
  levels: z.array(z.number()),
  /** Candidate workers by ascending score, so the best comes first. */
  workers: z.array(scoredEndpoint)
})
