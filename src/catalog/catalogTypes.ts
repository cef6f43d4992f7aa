/** Schemas and types of the operator's configuration as instances use it: routes, services, workspaces and limits. */
import { z } from 'zod'
import { listOf } from '../listSchema.js'

const maxPort = 65_535

/** Schema of the IP address or name and TCP port on which a process listens; opening a connection there does not throw. */
export const addressSchema = z.object({ host: z.string().regex(/^[\w.-]+$/), port: z.number().int().min(0).max(maxPort) })
  .refine(({ host, port }) => URL.canParse(`http://${host}:${port}`), { message: 'is no address' })

/** The IP address and TCP port on which a process listens. */
export type Address = z.infer<typeof addressSchema>

/** Schema of a route's kind, which decides whether a request may run again: `once` never, `idempotent` always, `stream` only if the route is resumable. */
export const routeKindSchema = z.enum(['stream', 'idempotent', 'once'])

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Path prefix that the route matches; begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: routeKindSchema,
  /** Maximum time for the complete response, in ms. */
  timeout: z.number(),
  /** The operator's latency objective, in ms: time to the response, or to the first event of a stream. */
  objective: z.number(),
  /** Scheduling priority; 0 is the most urgent. */
  priority: z.number(),
  /** Services that may handle the request, with their relative weights. */
  targets: listOf(z.object({ service: z.string(), weight: z.number() })),
  /** Maximum number of workers to which one request may be sent. */
  maxWorkers: z.number(),
  /** Whether callers may omit the API key. */
  open: z.boolean(),
  /** Whether an interrupted stream may resume on another worker after the last event it sent. */
  resumable: z.boolean()
})

const modelPurposeSchema = z.object({
  kind: z.literal('model'),
  /** Requests that a worker runs concurrently. */
  slots: z.number(),
  /** Capacity of a worker's KV cache, in tokens. */
  memoryTokens: z.number(),
  /** KV cache memory per token, in bytes. */
  tokenBytes: z.number(),
  /** Bandwidth of a worker's link for transferring prompt parts, in Mbit/s. */
  linkSpeed: z.number()
})

const partStorePurposeSchema = z.object({
  kind: z.literal('partStore'),
  address: addressSchema,
  dataCentre: z.string(),
  /** Capacity of the store, in tokens. */
  memoryTokens: z.number()
})

const serviceSchema = z.object({
  name: z.string(),
  /** Maximum number of connections that one worker accepts from all callers together. */
  maxConnections: z.number(),
  purpose: z.discriminatedUnion('kind', [z.object({ kind: z.literal('plain') }), modelPurposeSchema, partStorePurposeSchema])
})

const quotaSchema = z.object({
  unit: z.enum(['requests', 'tokens']),
  /** Units per second that workers get, over all instances. */
  rate: z.number().positive().max(Number.MAX_SAFE_INTEGER),
  /** Units that are saved up; 0 for a quarter of a second's. */
  burst: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
  /** Tokens that a request without token counts counts as. */
  uncachedTokens: z.number().min(0).max(Number.MAX_SAFE_INTEGER)
})

const workspaceSchema = z.object({
  name: z.string(),
  keys: listOf(z.string()),
  /** Overrides the route's priority. */
  priority: z.number().optional(),
  /** Whether the workspace shares no cached prompt parts with other workspaces. */
  isolated: z.boolean(),
  /** Undefined if the workspace has none; one that cannot be read counts as none, so that it shuts no workspace out. */
  quota: quotaSchema.optional().catch(undefined)
})

/** Schema of one version of the configuration. */
export const catalogSchema = z.object({
  version: z.number().max(Number.MAX_SAFE_INTEGER),
  routes: listOf(routeSchema),
  services: listOf(serviceSchema),
  limits: z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    /** Maximum time for a request's headers to arrive, in ms. */
    headerTimeout: z.number(),
    /** Time after which an idle connection is closed, in ms. */
    idleTimeout: z.number()
  }),
  /** Workspaces with their API keys; undefined if no request needs a key. */
  workspaces: listOf(workspaceSchema).optional()
})

/** One version of the configuration. */
export type Catalog = z.infer<typeof catalogSchema>
/** A route: which requests it matches, where they go and how they are retried. */
export type Route = z.infer<typeof routeSchema>
/** A service that routes can target: plain service, model workers or part store. */
export type Service = z.infer<typeof serviceSchema>
/** Properties that all model workers of a service share. */
export type ModelPurpose = z.infer<typeof modelPurposeSchema>
/** What a workspace may send to workers, over all instances. */
export type Quota = z.infer<typeof quotaSchema>
/** A workspace (customer) with its API keys. */
export type Workspace = z.infer<typeof workspaceSchema>
