/** The operations of the administration API, one row each. */
import type { HTTPMethod } from 'find-my-way'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import type { Drain } from '../addresses/drain.js'
import type { Claims } from '../claims/claimsMachine.js'
import type { Config } from '../config/configMachine.js'
import type { ConfigInput } from '../config/configTypes.js'
import type { Endpoints } from '../endpoints/endpointsMachine.js'
import type { Limits } from '../limits/limitsTypes.js'
import type { Membership } from '../membership/membershipTypes.js'
import type { Metrics } from '../metrics/metrics.js'
import type { Orders } from '../orders/ordersMachine.js'
import type { Requests } from '../requests/requestsMachine.js'
import type { Routing } from '../routing/routingTypes.js'
import { checkRules } from '../rules/rulesChecker.js'
import { explain } from '../rules/rulesExplainer.js'
import { parseRules } from '../rules/rulesParser.js'
import type { Settings } from '../settings/settingsSchema.js'
import type { AdminAnswer, AdminCall, AdminError, RequiredRole } from './adminTypes.js'

/** The instance, as the API sees it. */
export interface AdminNode {
  readonly settings: Settings
  readonly membership: Membership
  readonly config: Config
  readonly endpoints: Endpoints
  readonly limits: Limits
  readonly routing: Routing
  readonly claims: Claims
  readonly orders: Orders
  readonly drain: Drain
  readonly metrics: Metrics
  readonly requests: Requests
  readonly dump: () => unknown
}

/** What an operation may ask of other features. */
export type AdminRequest =
  | ConfigInput
  | { readonly kind: 'endpoints.drain', readonly endpoint: string }
  | { readonly kind: 'drain.start' }

type Emit = (effect: { readonly kind: 'admin.ask', readonly input: AdminRequest }) => void

/** One operation. */
export interface AdminOperation {
  readonly method: HTTPMethod
  readonly path: string
  readonly role: RequiredRole
  readonly summary: string
  readonly run: (node: AdminNode, call: AdminCall, emit: Emit, now: number) => Result<AdminAnswer, AdminError>
}

const json = (body: unknown, status = 200): Result<AdminAnswer, AdminError> => ok({ kind: 'json', status, body })

const publishBody = z.strictObject({
  base: z.number().int().nonnegative(),
  text: z.string(),
  publisher: z.string().min(1).max(200),
  publishId: z.string().min(1).max(100)
})

const parseBody = <Body>(schema: z.ZodType<Body>, body: Uint8Array): Result<Body, AdminError> => {
  try {
    const checked = schema.safeParse(JSON.parse(Buffer.from(body).toString('utf8')))
    if (checked.success) return ok(checked.data)
    const issue = checked.error.issues[0]
    return err({ kind: 'malformed_request', place: `body.${issue.path.join('.')}`, reason: issue.message })
  } catch {
    return err({ kind: 'malformed_request', place: 'body', reason: 'the body is not JSON' })
  }
}

const health: AdminOperation = {
  method: 'GET',
  path: '/health',
  role: 'none',
  summary: 'Whether the process runs.',
  run: node => json({ status: 'up', instance: node.settings.instance.id, incarnation: node.membership.self().incarnation })
}

const ready: AdminOperation = {
  method: 'GET',
  path: '/ready',
  role: 'none',
  summary: 'Whether callers may be sent here.',
  run: (node, _call, _emit, now) => {
    const serving = node.drain.phase().kind === 'serving'
    const configured = node.config.ready(now) && node.config.current() !== undefined
    return serving && configured ? json({ status: 'ready' }) : err({ kind: 'not_ready' })
  }
}

const status: AdminOperation = {
  method: 'GET',
  path: '/v1/status',
  role: 'read',
  summary: 'Instances, their state and the configuration version that each runs.',
  run: (node, _call, emit) => {
    emit({ kind: 'admin.ask', input: { kind: 'config.survey' } })
    const self = node.membership.self()
    const instances = node.membership.members().map(member => ({
      id: member.id,
      dataCentre: member.dataCentre,
      state: node.membership.stateOf(member.id),
      configVersion: member.id === self.id ? node.config.current()?.version : node.config.versionOf(member.id)?.version
    }))
    return json({ answeredBy: self.id, configVersion: node.config.current()?.version, instances })
  }
}

const rules: AdminOperation = {
  method: 'GET',
  path: '/v1/rules',
  role: 'read',
  summary: 'The rules in force.',
  run: node => {
    const current = node.config.current()
    if (current === undefined) return err({ kind: 'no_configuration' })
    const { version, text, publisher, at } = current
    return json({ version, publisher, at, text })
  }
}

const check: AdminOperation = {
  method: 'POST',
  path: '/v1/rules/check',
  role: 'read',
  summary: 'Errors, conflicts and shadowed lines of a rules text.',
  run: (_node, call) => parseRules(Buffer.from(call.body).toString('utf8'))
    .mapErr((errors): AdminError => ({ kind: 'rules_invalid', errors }))
    .andThen(lines => json({ valid: true, rules: lines.length, ...checkRules(lines) }))
}

const explainRequest: AdminOperation = {
  method: 'GET',
  path: '/v1/explain',
  role: 'read',
  summary: 'What the rules say of a request with these attributes, and which lines decided.',
  run: (node, call) => {
    const { workspace, model, adapter, service, method, path } = call.query
    const ruleset = node.config.current()?.ruleset
    if (ruleset === undefined) return err({ kind: 'no_configuration' })
    if (workspace === undefined) return err({ kind: 'malformed_request', place: 'query.workspace', reason: 'name the workspace' })
    return json(explain(ruleset, { workspace, model, adapter, service, method, path }))
  }
}

const history: AdminOperation = {
  method: 'GET',
  path: '/v1/rules/history',
  role: 'read',
  summary: 'Accepted publishes that the log still tells of: who and when.',
  run: node => json({ history: (node.config.dump().history ?? []) as unknown })
}

const workspaces: AdminOperation = {
  method: 'GET',
  path: '/v1/workspaces',
  role: 'read',
  summary: 'Workspaces with their limits and their use at this instance.',
  run: node => {
    const ruleset = node.config.current()?.ruleset
    if (ruleset === undefined) return err({ kind: 'no_configuration' })
    const used = new Map(node.limits.dump().workspaces.map(row => [row.workspace, row]))
    return json({ workspaces: ruleset.workspaces().map(name => ({ name, limits: ruleset.limits(name), use: used.get(name) })) })
  }
}

const ordersInProgress: AdminOperation = {
  method: 'GET',
  path: '/v1/orders',
  role: 'read',
  summary: 'Orders to workers: who gives them, and which run.',
  run: node => json(node.orders.dump())
}

const publish: AdminOperation = {
  method: 'POST',
  path: '/v1/rules',
  role: 'publish',
  summary: 'Publishes a rules text based on a version.',
  run: (_node, call, emit) => parseBody(publishBody, call.body).map(({ base, text, publisher, publishId }): AdminAnswer => {
    emit({ kind: 'admin.ask', input: { kind: 'config.publish', request: call.request, publishId, base, text, publisher, operator: call.operator } })
    return { kind: 'later' }
  })
}

const endpoints: AdminOperation = {
  method: 'GET',
  path: '/v1/endpoints',
  role: 'read',
  summary: 'Workers and plain services with state, incarnation and load.',
  run: node => json({ endpoints: node.endpoints.list() })
}

const drainEndpoint: AdminOperation = {
  method: 'POST',
  path: '/v1/endpoints/:id/drain',
  role: 'fleet',
  summary: 'Gives an endpoint no new work until it restarts.',
  run: (node, call, emit) => {
    const id = call.params.id ?? ''
    if (node.endpoints.get(id) === undefined) return err({ kind: 'unknown_path', path: `/v1/endpoints/${id}` })
    emit({ kind: 'admin.ask', input: { kind: 'endpoints.drain', endpoint: id } })
    return json({ endpoint: id, state: 'leaving' }, 202)
  }
}

const drainSelf: AdminOperation = {
  method: 'POST',
  path: '/v1/drain',
  role: 'fleet',
  summary: 'Makes this instance leave without cutting a request.',
  run: (_node, _call, emit) => {
    emit({ kind: 'admin.ask', input: { kind: 'drain.start' } })
    return json({ state: 'leaving' }, 202)
  }
}

const dump: AdminOperation = {
  method: 'GET',
  path: '/dump',
  role: 'read',
  summary: 'The state of this process, without secrets and bodies.',
  run: node => json(node.dump())
}

/** All operations, in the order of the OpenAPI document. */
export const adminOperations: readonly AdminOperation[] = [
  health, ready, status, rules, history, check, explainRequest, publish, workspaces, endpoints, ordersInProgress, drainEndpoint, drainSelf, dump
]
