/**
 * Schemas of what the administration API takes and answers. The API's types
 * and its OpenAPI document are made from them.
 */
import { z } from 'zod'
import { publicationSchema } from '../config/configTypes.js'

const count = z.number().int().nonnegative()
const timestamp = z.number().meta({ description: 'Milliseconds since 1970.' })

/** Rows that a page of a list has at most. */
export const maxPageSize = 1_000
const defaultPageSize = 100

const limit = z.string()
  .regex(/^\d{1,4}$/)
  .transform(Number)
  .pipe(z.number().int().min(1).max(maxPageSize))
  .prefault(String(defaultPageSize))
  .meta({ description: `Rows of one page, 1 to ${maxPageSize}.` })

/** Which page of a list is wanted. */
export const pageQuery = z.strictObject({
  limit,
  after: z.string().optional().meta({ description: 'What the page before gave as `next`.' })
})

/** Which page of the history is wanted. */
export const historyQuery = z.strictObject({
  limit,
  after: z.string().regex(/^\d{1,15}$/).transform(Number).optional().meta({ description: 'What the page before gave as `next`.' })
})

const next = z.string().optional().meta({ description: 'Gives the page after this one; absent on the last.' })

/** Where a rule stands and who asked for it. */
export const originSchema = z.object({ line: count, asker: z.string(), team: z.string(), text: z.string() })

/** An error in a rules text. */
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

/** Why a publish was not accepted. */
export const publishRefusalSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('conflict'), winner: z.string(), version: count }),
  z.object({ kind: z.literal('invalid'), errors: z.array(ruleErrorSchema).readonly() }),
  z.object({ kind: z.literal('forbidden'), changes: z.array(changeSchema).readonly() }),
  z.object({ kind: z.literal('unavailable'), retryAfter: z.number(), outcome: z.enum(['notRun', 'unknown']) })
])

/** A request to publish. */
export const publishBody = z.strictObject({
  base: count.meta({ description: 'The version that the text was edited from.' }),
  text: z.string(),
  publisher: z.string().min(1).max(200),
  publishId: z.string().min(1).max(100).meta({ description: 'Unique to this publish; the same on a repeat.' })
})

/** An accepted publish. */
export const publishAnswer = z.object({ kind: z.literal('accepted'), version: count })

/** The process runs. */
export const healthAnswer = z.object({ status: z.literal('up'), instance: z.string(), incarnation: z.string() })

/** Callers may be sent here. */
export const readyAnswer = z.object({ status: z.literal('ready') })

const instanceState = z.enum(['alive', 'suspect', 'dead', 'leaving', 'unknown'])

/** Instances and data centres. */
export const statusAnswer = z.object({
  answeredBy: z.string(),
  configVersion: count.optional(),
  instances: z.array(z.object({ id: z.string(), dataCentre: z.string(), state: instanceState, configVersion: count.optional() })),
  dataCentres: z.array(z.object({ dataCentre: z.string(), instances: count, alive: count, configVersions: z.array(count) }))
})

/** The rules in force. */
export const rulesAnswer = z.object({ version: count, publisher: z.string(), at: timestamp, text: z.string() })

/** Accepted publishes, the newest first. */
export const historyAnswer = z.object({ history: z.array(publicationSchema), next })

const limitSchema = z.object({ requestsPerSecond: z.number().optional(), tokensPerSecond: z.number().optional(), concurrency: z.number().optional() })

/** What a check of a rules text found. */
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

/** The attributes of a request that is to be explained. */
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
  deadline: z.number().meta({ description: 'Milliseconds.' }),
  limit: limitSchema,
  because: z.record(z.string(), originSchema).readonly()
})

/** What the rules say of a request, and why. */
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
  fraction: z.number(),
  demand: z.number(),
  inFlight: count,
  overShare: z.boolean(),
  admitted: count,
  refused: z.record(z.string(), count).readonly()
})

/** Workspaces with limits and use. */
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
  state: z.enum(['live', 'suspect', 'leaving', 'gone']).meta({ description: '`suspect` endpoints are in doubt: they did not answer, or answered badly.' }),
  fenced: z.boolean(),
  models: z.array(z.object({ model: z.string(), adapter: z.string().optional(), weightVersion: z.string() })).readonly(),
  slots: count,
  since: timestamp,
  report: z.object({ at: timestamp, incarnation: z.string(), running: z.number(), waiting: z.number(), waitingTokens: z.number() }).optional(),
  learned: z.object({
    inFlight: z.number(),
    pendingTokens: z.number(),
    prefillCost: z.number().meta({ description: 'Milliseconds per uncached prompt token.' }),
    tokenTime: z.number().meta({ description: 'Milliseconds per generated token.' }),
    serviceTime: z.number().meta({ description: 'Milliseconds per request.' })
  }).optional().meta({ description: 'What this instance learned of a worker from its own requests.' })
})

/** Workers and plain services. */
export const endpointsAnswer = z.object({ endpoints: z.array(endpointSchema), next })

/** Orders to workers. */
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

/** An endpoint leaves. */
export const drainEndpointAnswer = z.object({ endpoint: z.string(), state: z.literal('leaving') })

/** This instance leaves. */
export const drainAnswer = z.object({ state: z.literal('leaving') })

/** The state of a process. */
export const dumpAnswer = z.record(z.string(), z.unknown())

const requiredRole = z.enum(['none', 'read', 'publish', 'fleet'])

/** What an operation needs of its caller; `none` is open to probes of the platform. */
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

/** Why an operator gets no answer. */
export type AdminError = z.infer<typeof adminErrorSchema>

const errorBodies = adminErrorSchema.options.map(({ shape: { kind, ...details } }) =>
  z.object({ type: kind, message: z.string(), ...details }))

/** The body of every error: `type` is the error's kind. */
export const adminErrorBodySchema = z.object({ error: z.union(errorBodies) })

/** Body of an explanation of a model request. */
export const explainModelBody = z.strictObject({
  workspace: z.string().min(1),
  model: z.string().min(1),
  adapter: z.string().min(1).optional(),
  /** Texts of the messages, or one text. */
  prompt: z.array(z.string()).min(1),
  maxTokens: z.number().int().positive().optional()
})

const scoredEndpoint = z.strictObject({
  endpoint: z.string(),
  incarnation: z.string(),
  /** Expected time until the worker starts on the prompt, in ms. */
  wait: z.number(),
  cachedTokens: z.number(),
  certain: z.boolean(),
  /** In ms per uncached token. */
  prefillCost: z.number(),
  /** Expected time to the first token, in ms. */
  expectedWait: z.number(),
  /** Leading levels of the prompt that are placed on this worker. */
  level: z.number(),
  /** The lowest wins, in ms. */
  score: z.number()
})

/** What the rules and routing would do with a model request now. */
export const explainModelAnswer = z.strictObject({
  allowed: z.boolean(),
  model: z.string().optional(),
  weightVersion: z.string().optional(),
  promptTokens: z.number(),
  /** Prefix blocks at the end of each message. */
  levels: z.array(z.number()),
  /** Workers, best first. */
  workers: z.array(scoredEndpoint)
})
