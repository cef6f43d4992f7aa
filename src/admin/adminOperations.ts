/** The operations of the administration API. Those on the rules are defined in `rulesOperations.ts`. */
import { err, ok, type Result } from 'neverthrow'
import { defineOperation, noBody, noQuery, type AdminOperation } from './adminOperation.js'
import { drainAnswer, drainEndpointAnswer, dumpAnswer, endpointsAnswer, healthAnswer, ordersAnswer, pageQuery, readyAnswer, statusAnswer, workspacesAnswer } from './adminSchemas.js'
import type { AdminAnswer, AdminError, AdminNode } from './adminTypes.js'
import { pageByName } from './paging.js'
import { rulesOperations } from './rulesOperations.js'

const json = <Body>(body: Body, status = 200): Result<AdminAnswer<Body>, AdminError> => ok({ kind: 'json', status, body })

const health = defineOperation({
  method: 'GET',
  path: '/health',
  role: 'none',
  name: 'health',
  summary: 'Liveness check: whether the process is running.',
  status: 200,
  query: noQuery,
  body: noBody,
  answer: healthAnswer,
  run: node => json({ status: 'up' as const, instance: node.settings.instance.id, incarnation: node.membership.self().incarnation })
})

const ready = defineOperation({
  method: 'GET',
  path: '/ready',
  role: 'none',
  name: 'ready',
  summary: 'Readiness check: whether callers may be sent to this instance.',
  status: 200,
  query: noQuery,
  body: noBody,
  answer: readyAnswer,
  run: (node, _call, _emit, now) => {
    const serving = node.drain.phase().kind === 'serving'
    const configured = node.config.ready(now) && node.config.current() !== undefined
    return serving && configured ? json({ status: 'ready' as const }) : err({ kind: 'not_ready' })
  }
})

const instancesOf = (node: AdminNode) => {
  const self = node.membership.self()
  return node.membership.members().map(({ id, dataCentre }) => ({
    id,
    dataCentre,
    state: node.membership.stateOf(id),
    configVersion: id === self.id ? node.config.current()?.version : node.config.versionOf(id)?.version
  }))
}

const dataCentresOf = (instances: ReturnType<typeof instancesOf>) =>
  [...new Set(instances.map(({ dataCentre }) => dataCentre))].sort().map(dataCentre => {
    const local = instances.filter(instance => instance.dataCentre === dataCentre)
    const configVersions = [...new Set(local.flatMap(({ configVersion }) => configVersion ?? []))].sort((left, right) => left - right)
    return { dataCentre, instances: local.length, alive: local.filter(({ state }) => state === 'alive').length, configVersions }
  })

const status = defineOperation({
  method: 'GET',
  path: '/v1/status',
  role: 'read',
  name: 'status',
  summary: 'Lists the instances and data centres with their state and configuration version, as known to this instance. Each call also makes this instance request the current versions from the others.',
  status: 200,
  query: noQuery,
  body: noBody,
  answer: statusAnswer,
  run: (node, _call, emit) => {
    emit({ kind: 'admin.ask', input: { kind: 'config.survey' } })
    const instances = instancesOf(node)
    return json({ answeredBy: node.membership.self().id, configVersion: node.config.current()?.version, instances, dataCentres: dataCentresOf(instances) })
  }
})

const workspaces = defineOperation({
  method: 'GET',
  path: '/v1/workspaces',
  role: 'read',
  name: 'workspaces',
  summary: 'Lists the workspaces in order of their names, with their limits and their usage at this instance.',
  status: 200,
  query: pageQuery,
  body: noBody,
  answer: workspacesAnswer,
  run: (node, { query }) => {
    const ruleset = node.config.current()?.ruleset
    if (ruleset === undefined) return err({ kind: 'no_configuration' })
    const usage = new Map(node.limits.dump().workspaces.map(row => [row.workspace, row]))
    const { rows, next } = pageByName(ruleset.workspaces(), name => name, query)
    return json({ workspaces: rows.map(name => ({ name, limits: ruleset.limits(name), use: usage.get(name) })), next })
  }
})

const endpoints = defineOperation({
  method: 'GET',
  path: '/v1/endpoints',
  role: 'read',
  name: 'endpoints',
  summary: 'Lists the workers and plain services in order of their names, with state, incarnation, models, load, and the speed estimated by this instance.',
  status: 200,
  query: pageQuery,
  body: noBody,
  answer: endpointsAnswer,
  run: (node, { query }) => {
    const learned = new Map(node.routing.dump().workers.map(({ endpoint, incarnation, ...speeds }) => [endpoint, speeds]))
    const { rows, next } = pageByName(node.endpoints.list(), ({ id }) => id, query)
    return json({ endpoints: rows.map(endpoint => ({ ...endpoint, learned: learned.get(endpoint.id) })), next })
  }
})

const ordersInProgress = defineOperation({
  method: 'GET',
  path: '/v1/orders',
  role: 'read',
  name: 'orders',
  summary: 'Returns the state of the orders to workers: whether this instance sends them, and which are in progress.',
  status: 200,
  query: noQuery,
  body: noBody,
  answer: ordersAnswer,
  run: node => json(node.orders.dump())
})

const drainEndpoint = defineOperation({
  method: 'POST',
  path: '/v1/endpoints/:id/drain',
  role: 'fleet',
  name: 'drainEndpoint',
  summary: 'Drains an endpoint: it gets no new work until it restarts. This cannot be undone: instances that have been informed of the drain apply it until they see a new incarnation of the endpoint.',
  status: 202,
  query: noQuery,
  body: noBody,
  answer: drainEndpointAnswer,
  run: (node, call, emit) => {
    const id = call.params.id ?? ''
    if (node.endpoints.get(id) === undefined) return err({ kind: 'unknown_path', path: `/v1/endpoints/${id}` })
    emit({ kind: 'admin.ask', input: { kind: 'endpoints.drain', endpoint: id } })
    return json({ endpoint: id, state: 'leaving' as const }, 202)
  }
})

const drainSelf = defineOperation({
  method: 'POST',
  path: '/v1/drain',
  role: 'fleet',
  name: 'drain',
  summary: 'Drains and shuts down this instance without interrupting requests. This cannot be undone; start the process again.',
  status: 202,
  query: noQuery,
  body: noBody,
  answer: drainAnswer,
  run: (_node, _call, emit) => {
    emit({ kind: 'admin.ask', input: { kind: 'drain.start' } })
    return json({ state: 'leaving' as const }, 202)
  }
})

const dump = defineOperation({
  method: 'GET',
  path: '/dump',
  role: 'read',
  name: 'dump',
  summary: 'Returns the state of this process, without secrets and bodies.',
  status: 200,
  query: noQuery,
  body: noBody,
  answer: dumpAnswer,
  run: node => json(node.dump() as Record<string, unknown>)
})

/** All operations of the administration API, in the order of the OpenAPI document. */
export const adminOperations: readonly AdminOperation[] = [
  health, ready, status, ...rulesOperations, workspaces, endpoints, ordersInProgress, drainEndpoint, drainSelf, dump
]
