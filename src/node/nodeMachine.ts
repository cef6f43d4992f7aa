/**
 * The core of one instance: a deterministic state machine that connects all
 * features. It takes one input and the current time and returns effects for the
 * adapters to carry out.
 */
import { createDrain, type DrainEffect } from '../addresses/drain.js'
import { createRendezvousHash } from '../addresses/rendezvous.js'
import { createAdmin } from '../admin/adminMachine.js'
import type { AdminCommand } from '../admin/adminTypes.js'
import { createCache } from '../cache/cacheMachine.js'
import { cacheDefaults } from '../cache/cacheTypes.js'
import { createClaims } from '../claims/claimsMachine.js'
import type { ClaimsEffect, ClaimsInput } from '../claims/claimsTypes.js'
import { createConfig } from '../config/configMachine.js'
import type { ConfigEffect, ConfigInput } from '../config/configTypes.js'
import type { EndpointsEffect, EndpointsInput } from '../endpoints/endpointsContext.js'
import { createEndpoints } from '../endpoints/endpointsMachine.js'
import type { Hash } from '../hash.js'
import { createLimits } from '../limits/limitsMachine.js'
import { limitsDefaults } from '../limits/limitsTypes.js'
import { createMembership } from '../membership/membershipMachine.js'
import type { MembershipFeatureEffect } from '../membership/membershipTypes.js'
import type { Metrics } from '../metrics/metrics.js'
import { createOrders } from '../orders/ordersMachine.js'
import type { OrdersDesired } from '../orders/ordersTypes.js'
import type { FeatureName } from '../ports/features.js'
import { createPrefixHasher } from '../prefix/prefixHasher.js'
import type { Random } from '../random.js'
import { createRoutingRequest } from '../requests/modelAdmission.js'
import { createRequestsDb } from '../requests/requestsDb.js'
import type { RequestsContext, RequestsEffect } from '../requests/requestsContext.js'
import { createRequests, type RequestsInput } from '../requests/requestsMachine.js'
import { latencyObjective, worthObjective, type Objective } from '../routing/routingTypes.js'
import { createRouting } from '../routing/routingMachine.js'
import type { Settings } from '../settings/settingsSchema.js'
import { createDirectory } from './directory.js'
import type { NodeEffect, NodeInput } from './nodeTypes.js'
import { createRegistry } from './registry.js'
import { desiredModels, endpointsByService, configuredEndpoints, seedMembers, selfMember, type ProcessIdentity } from './settingsViews.js'

/** Dependencies and settings of the node. */
export interface NodeOptions {
  readonly settings: Settings
  readonly self: ProcessIdentity
  readonly hash: Hash
  readonly random: Random
  readonly metrics: Metrics
  /** When this process started, in ms. */
  readonly startedAt: number
}

/** Effects that features send to each other; they do not leave the node. */
type InternalEffect =
  | ConfigEffect
  | Extract<ClaimsEffect, { kind: `claims.${string}` }>
  | Extract<EndpointsEffect, { kind: `endpoints.${string}` }>
  | Extract<MembershipFeatureEffect, { kind: 'membership.changed' | 'membership.superseded' }>
  | Extract<RequestsEffect, { kind: `requests.${string}` }>
  | { readonly kind: 'admin.ask', readonly input: AdminCommand }

type AnyEffect = NodeEffect | InternalEffect

type InternalInput =
  | ConfigInput
  | Extract<ClaimsInput, { kind: `claims.${string}` }>
  | Extract<ClaimsEffect, { kind: `claims.${string}` }>
  | Extract<EndpointsInput, { kind: `endpoints.${string}` | 'membership.changed' }>
  | Extract<ConfigEffect, { kind: 'config.published' }>
  | OrdersDesired

type AnyInput = NodeInput | InternalInput

/** The core of one instance. Times are in ms. */
export interface Node {
  /** Handles an input and everything that follows from it inside the node. */
  readonly handle: (input: NodeInput, now: number) => readonly NodeEffect[]
  /** Returns the number of unfinished requests of callers, including calls whose callers have left. */
  readonly running: () => number
  /** Whether the outcomes of all calls that may run once have been recorded. */
  readonly hasRecordedOutcomes: () => boolean
  /** Returns the state of all features as plain JSON. */
  readonly dump: () => Readonly<Record<string, unknown>>
}

/** Interpolates between the latency objective (0) and the worth objective (1). */
const objectiveOf = (share: number): Objective => ({
  recomputation: latencyObjective.recomputation + share * (worthObjective.recomputation - latencyObjective.recomputation),
  placement: latencyObjective.placement + share * (worthObjective.placement - latencyObjective.placement)
})

const hasKindPrefix = (prefix: string) => (input: AnyInput): boolean => input.kind.startsWith(prefix)
const ownedBy = (input: AnyInput, owner: string): boolean => 'owner' in input && input.owner === owner
const isTick = (input: AnyInput): boolean => input.kind === 'tick'
const isPeerOf = (input: AnyInput, feature: string): boolean =>
  input.kind === 'peer.lost' || (input.kind === 'peer.message' && input.message.kind.startsWith(`${feature}.`))

/** Whether an input is one that every feature with peer messages or a log accepts: a tick, a peer event or an answer to one of its effects. */
const isCommonInput = (input: AnyInput, feature: string): boolean => isTick(input) || isPeerOf(input, feature) || ownedBy(input, feature)

const adminKinds = new Set(['operator.request', 'config.published'])
const cacheKinds = new Set(['endpoint.events', 'endpoint.unreachable'])
const configKinds = new Set(['config.publish', 'config.peers', 'config.survey'])
const membershipKinds = new Set(['membership.list', 'membership.failed'])
const ordersKinds = new Set(['orders.desired', 'membership.changed'])
const requestKinds = new Set(['claims.granted', 'claims.refused', 'endpoint.head', 'endpoint.chunk', 'endpoint.end', 'endpoint.answer', 'endpoint.failed'])
const endpointsKinds = new Set(['endpoint.report', 'endpoint.unreachable', 'endpoints.evidence', 'endpoints.drain', 'membership.list', 'membership.failed', 'membership.changed'])
const claimsKinds = new Set(['claims.begin', 'claims.settle', 'claims.unsent', 'claims.abandon', 'claims.members'])

/**
 * Creates the core of one instance.
 *
 * @param options - settings, identity of this process, hash functions and random source
 * @returns the core, which serves requests as soon as it has a configuration
 */
export const createNode = (options: NodeOptions): Node => {
  const { settings, hash, random, metrics, startedAt } = options
  const self = selfMember(settings, options.self)
  const rendezvousHash = createRendezvousHash(hash)
  const retention = settings.platform.log_retention
  const membership = createMembership({ self, seeds: seedMembers(settings), random, hash, startedAt })
  const endpoints = createEndpoints({ self: self.id, configured: configuredEndpoints(settings), random, hash })
  const config = createConfig({ self: self.id, hash, random, retention })
  const claims = createClaims({ self: self.id, incarnation: self.incarnation, hash, random, retention, answerBytes: settings.claims.answer_bytes })
  const cache = createCache({ ...cacheDefaults, maxFollowed: settings.cache.followed, depth: settings.cache.depth, random, endpointOf: endpoints.get, workers: () => endpoints.list().filter(({ kind }) => kind === 'worker') })
  const routing = createRouting({ hash, random, cache, objective: objectiveOf(settings.routing.objective), dataCentre: self.dataCentre })
  const drain = createDrain({ timeToLive: settings.addresses.time_to_live, membershipLag: settings.platform.list_lag })
  const directory = createDirectory({ rendezvousHash, membership, config, settings })
  const limits = createLimits({
    ...limitsDefaults,
    self: self.id,
    incarnation: self.incarnation,
    random,
    hash,
    retryFraction: settings.limits.retry_share,
    worthExponent: settings.routing.objective,
    instancesOf: workspace => directory.instancesOf(workspace).map(({ id }) => id)
  })
  const orders = createOrders({ self, random, hash, endpoints: endpoints.list, maxConcurrentLoads: settings.orders.loads_at_once })
  const services = endpointsByService(settings)
  const failures: Extract<NodeEffect, { kind: 'node.error' }>[] = []
  const registry = createRegistry<AnyInput, AnyEffect>((feature, input, error) => { failures.push({ kind: 'node.error', place: `${feature}.${input.kind}`, error }) })
  const requestsEffects: RequestsEffect[] = []
  const context: RequestsContext = {
    options: {
      idPrefix: `${self.id}-${self.incarnation}`,
      expectedTokens: settings.routing.expected_tokens,
      resumeGrace: settings.streams.resume_grace,
      resumeWindow: settings.streams.resume_window,
      stallTimeout: settings.streams.stall_timeout,
      resumeKeys: () => settings.streams.resume_keys,
      inFlight: settings.limits.in_flight
    },
    db: createRequestsDb(),
    random,
    prefix: createPrefixHasher(hash, { blockBytes: settings.routing.block_bytes }),
    routing,
    limits,
    metrics,
    endpoints: endpoints.list,
    endpoint: endpoints.get,
    serviceEndpoints: service => services.get(service) ?? [],
    ruleset: now => config.ready(now) && endpoints.isCurrent(now) ? config.current()?.ruleset : undefined,
    mayDispatch: claims.mayDispatch,
    emit: effect => { requestsEffects.push(effect) }
  }
  const requests = createRequests(context, directory)
  const admin = createAdmin({ settings, membership, config, endpoints, limits, routing, claims, orders, drain, metrics, requests, createRoutingRequest: (authorised, call) => createRoutingRequest(context, authorised, call), dump: () => dump() })

  /** The cast is safe because `accepts` admits only the inputs that `handle` is typed for. */
  const registerFeature = <Accepted>(name: FeatureName, accepts: (input: AnyInput) => boolean, handle: (input: Accepted, now: number) => readonly AnyEffect[], dump: () => unknown): void =>
    registry.register({ name, accepts, handle: (input, now) => handle(input as Accepted, now), dump })

  const handleRequests = (input: RequestsInput, now: number): readonly AnyEffect[] => {
    requests.handle(input, now)
    return requestsEffects.splice(0)
  }

  registerFeature('membership', input => isCommonInput(input, 'membership') || membershipKinds.has(input.kind), membership.handle, membership.dump)
  registerFeature('endpoints', input => isCommonInput(input, 'endpoints') || endpointsKinds.has(input.kind), endpoints.handle, endpoints.dump)
  registerFeature('config', input => isCommonInput(input, 'config') || configKinds.has(input.kind), config.handle, config.dump)
  registerFeature('claims', input => isCommonInput(input, 'claims') || claimsKinds.has(input.kind), claims.handle, claims.dump)
  registerFeature('cache', input => isTick(input) || cacheKinds.has(input.kind), cache.handle, cache.dump)
  registerFeature('limits', input => isCommonInput(input, 'limits'), limits.handle, limits.dump)
  registerFeature('orders', input => isCommonInput(input, 'orders') || ordersKinds.has(input.kind), orders.handle, orders.dump)
  registerFeature('requests', input => isTick(input) || hasKindPrefix('caller.')(input) || requestKinds.has(input.kind), handleRequests, () => ({ running: requests.running(), attempts: context.db.attempts.size, routing: routing.dump() }))
  registerFeature('admin', input => adminKinds.has(input.kind), admin.handle, () => ({ drain: drain.dump() }))

  const expandDrainEffects = (effects: readonly DrainEffect[], now: number): readonly AnyEffect[] =>
    effects.flatMap((effect): readonly AnyEffect[] => effect.kind === 'drain.announce'
      ? [effect, ...membership.leave(now), { kind: 'node.changed', change: { kind: 'drainStarted' } }]
      : [effect])

  const advanceDrain = (input: AnyInput, now: number): readonly AnyEffect[] => {
    if (input.kind === 'drain.start') return expandDrainEffects(drain.handle({ kind: 'drain.start' }, now), now)
    if (input.kind !== 'tick') return []
    metrics.inFlight.set(requests.running())
    return [
      ...expandDrainEffects(drain.handle({ kind: 'drain.running', running: requests.running() }, now), now),
      ...expandDrainEffects(drain.handle({ kind: 'tick' }, now), now)
    ]
  }

  /** Routes an effect of one feature: to the other features as an input, or to the adapters. */
  const route = (effect: AnyEffect, queue: AnyInput[], out: NodeEffect[]): void => {
    switch (effect.kind) {
      case 'admin.ask':
      case 'requests.evidence':
      case 'requests.claims':
        queue.push(effect.input)
        return
      case 'claims.granted':
      case 'claims.refused':
      case 'config.published':
        queue.push(effect)
        return
      case 'config.changed':
        metrics.configVersion.set(effect.version)
        queue.push({ kind: 'orders.desired', models: desiredModels(settings, config.current()?.ruleset) })
        out.push({ kind: 'node.changed', change: { kind: 'configInForce', version: effect.version, publisher: effect.publisher } })
        return
      case 'endpoints.changed':
        out.push({ kind: 'node.changed', change: { kind: 'endpointChanged', endpoint: effect.endpoint, reason: effect.reason } })
        return
      case 'membership.changed': {
        const members = membership.members()
        queue.push(effect, { kind: 'config.peers', peers: members.map(({ id }) => id) })
        queue.push({ kind: 'claims.members', instances: members.map(({ id, incarnation, state }) => ({ id, incarnation, state })) })
        out.push({ kind: 'node.peers', members }, { kind: 'node.changed', change: { kind: 'membersChanged', alive: effect.members.length } })
        return
      }
      case 'membership.superseded':
        out.push({ kind: 'node.changed', change: { kind: 'superseded', by: effect.by } })
        queue.push({ kind: 'drain.start' })
        return
      default:
        out.push(effect)
    }
  }

  const handle = (input: NodeInput, now: number): readonly NodeEffect[] => {
    const out: NodeEffect[] = []
    const queue: AnyInput[] = [input]
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      for (const effect of registry.handle(next, now)) route(effect, queue, out)
      for (const effect of advanceDrain(next, now)) route(effect, queue, out)
    }
    return [...out, ...failures.splice(0)]
  }

  const dump = (): Readonly<Record<string, unknown>> => ({ instance: membership.self(), ...registry.dump() })

  return { handle, running: requests.running, hasRecordedOutcomes: claims.isDrained, dump }
}
