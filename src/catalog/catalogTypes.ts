/** The operator's configuration as instances use it: routes, services, workspaces and limits. */
import { z } from 'zod'

/** Where a process listens. */
export const addressSchema = z.object({ host: z.string(), port: z.number().int() })

/** Where a process listens. */
export type Address = z.infer<typeof addressSchema>

/** Whether a request may run again: `once` never, `idempotent` always, `stream` only if its route is resumable. */
export const routeKind = z.enum(['stream', 'idempotent', 'once'])

const route = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: routeKind,
  /** Longest time, in ms, for which a caller is kept waiting for the whole answer. */
  timeout: z.number(),
  /** Time, in ms, to the answer, or to a stream's first event, that the operator aims at. */
  objective: z.number(),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Services that may run the request, with their shares. */
  targets: z.array(z.object({ service: z.string(), weight: z.number() })),
  /** Workers to which one request may be sent. */
  maxWorkers: z.number(),
  /** Whether callers need no key. */
  open: z.boolean(),
  /** Whether a stream may go on elsewhere after its last event. */
  resumable: z.boolean()
})

const modelWorkers = z.object({
  kind: z.literal('model'),
  /** Requests that a worker runs at once. */
  slots: z.number(),
  /** Tokens that a worker's memory holds. */
  memoryTokens: z.number(),
  /** Memory of one token, in bytes. */
  tokenBytes: z.number(),
  /** Speed of a worker's link for prompt parts, in Mbit/s. */
  linkSpeed: z.number()
})

const partStore = z.object({
  kind: z.literal('partStore'),
  address: addressSchema,
  dataCentre: z.string(),
  memoryTokens: z.number()
})

const service = z.object({
  name: z.string(),
  /** Connections that one worker accepts from all callers together. */
  maxConnections: z.number(),
  purpose: z.discriminatedUnion('kind', [z.object({ kind: z.literal('plain') }), modelWorkers, partStore])
})

const workspace = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Takes precedence over the route's priority. */
  priority: z.number().optional(),
  /** Shares no cached prompt part with other workspaces. */
  isolated: z.boolean()
})

/** One version of the configuration. */
export const catalogSchema = z.object({
  version: z.number(),
  routes: z.array(route),
  services: z.array(service),
  limits: z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    /** Time for a request's head to arrive, in ms. */
    headerTimeout: z.number(),
    /** Time for which an idle connection stays open, in ms. */
    idleTimeout: z.number()
  }),
  /** Undefined if no request needs a key. */
  workspaces: z.array(workspace).optional()
})

/** One version of the configuration. */
export type Catalog = z.infer<typeof catalogSchema>
/** A route of the configuration. */
export type Route = z.infer<typeof route>
/** A service of the configuration. */
export type Service = z.infer<typeof service>
/** What model workers of a service share. */
export type ModelPurpose = z.infer<typeof modelWorkers>
/** A workspace of the configuration. */
export type Workspace = z.infer<typeof workspace>
