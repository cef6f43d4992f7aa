/** The project's own routing, cache index and admission control as a policy, its ablation variants, and the oracle policy. */
import { createCache } from '../../src/cache/cacheMachine.js'
import type { CacheInput, EventDepth } from '../../src/cache/cacheTypes.js'
import { cacheDefaults } from '../../src/cache/cacheTypes.js'
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import { createLimits } from '../../src/limits/limitsMachine.js'
import { limitsMessage } from '../../src/limits/limitsMessages.js'
import type { Admission, Limits } from '../../src/limits/limitsTypes.js'
import { limitsDefaults } from '../../src/limits/limitsTypes.js'
import { createRouting } from '../../src/routing/routingMachine.js'
import type { InFlightRequest, RoutingRequest, RoutingOptions } from '../../src/routing/routingTypes.js'
import type { AttemptListener, Decision, EntryContext, EntryPolicy, Policy, PolicyRequest } from './benchTypes.js'
import type { FakeWorker } from './fakeWorker.js'

const refuse = (reason: string, retryAfter: number): Decision => ({ kind: 'refuse', reason, retryAfter })

const createEntryLimits = (context: EntryContext): Limits => createLimits({
  ...limitsDefaults,
  hash: context.hash,
  self: context.self,
  incarnation: context.incarnation,
  random: context.random,
  instancesOf: context.entriesOf,
  worthExponent: context.deployment.worthExponent
})

const admit = (limits: Limits, request: PolicyRequest, expectedWait: number, now: number): ReturnType<Limits['admit']> => limits.admit({
  workspace: request.call.workspace,
  limit: {},
  priority: request.call.priority,
  worth: request.call.worth,
  deadline: request.deadline,
  expectedWait,
  tokens: request.chain.tokens + request.call.completionTokens
}, now)

const mayRetry = (limits: Limits, request: PolicyRequest, expectedWait: number, now: number): boolean =>
  !request.retried || limits.retry({ workspace: request.call.workspace, retried: false, deadline: request.deadline, expectedWait }, now).isOk()

const createRoutingRequest = ({ call, chain, deadline, exclude }: PolicyRequest): RoutingRequest => ({
  workspace: call.workspace,
  model: 'm',
  weightVersion: '1',
  chain,
  promptTokens: chain.tokens,
  expectedTokens: call.completionTokens,
  priority: call.priority,
  worth: call.worth,
  deadline,
  exclude
})

const withoutReport = (endpoint: Endpoint): Endpoint => ({ ...endpoint, report: undefined })

/** Cache index without any information, for routing without a cache index. */
const emptyCache: RoutingOptions['cache'] = {
  matched: () => ({ blocks: 0, certain: false, known: false, age: 0 }),
  learned: () => {},
  holders: () => []
}

/** Settings by which a variant leaves out parts of the policy. */
interface Ablation {
  /** Cache events that are followed; all by default. */
  readonly depth?: EventDepth
  /** Whether the expected wait is checked against the deadline at admission; true by default. */
  readonly admission?: boolean
  /** Whether routing uses the cache index and load reports; if false, only rendezvous placement and the entry instance's own requests. True by default. */
  readonly usesCacheAndReports?: boolean
}

const createPolicy = (context: EntryContext, ablation: Ablation = {}): EntryPolicy => {
  const { depth = 'all', admission: admitsByDeadline = true, usesCacheAndReports = true } = ablation
  const { hash, random, deployment: { objective } } = context
  const cache = createCache({
    ...cacheDefaults,
    random,
    depth,
    workers: context.endpoints,
    endpointOf: id => context.endpoints().find(endpoint => endpoint.id === id)
  })
  const routing = createRouting({ hash, random, cache: usesCacheAndReports ? cache : emptyCache, objective })
  const limits = createEntryLimits(context)

  const choose: EntryPolicy['choose'] = (request, endpoints, now) => {
    const routingRequest = createRoutingRequest(request)
    const choice = routing.choose(routingRequest, usesCacheAndReports ? endpoints : endpoints.map(withoutReport), now)
    if (choice.isErr()) return refuse('noEndpoint', 500 + random.below(500))
    const { expectedWait, endpoint } = choice.value
    if (!mayRetry(limits, request, expectedWait, now)) return refuse('retryBudget', 500 + random.below(500))
    const admission = admit(limits, request, admitsByDeadline ? expectedWait : 0, now)
    if (admission.isErr()) return refuse(admission.error.reason, admission.error.retryAfter)
    const inFlight = routing.started(routingRequest, choice.value, now)
    return { kind: 'dispatch', endpoint, expectedWait, priority: request.call.priority, attempt: createListener(admission.value, inFlight) }
  }

  const createListener = (admission: Admission, inFlight: InFlightRequest): AttemptListener => ({
    firstToken: now => {
      limits.firstToken(admission, now)
      routing.firstToken(inFlight, now)
    },
    finished: (usage, now) => {
      limits.finished(admission, usage.promptTokens + usage.completionTokens, now)
      routing.finished(inFlight, usage, now)
    },
    failed: now => {
      limits.finished(admission, undefined, now)
      routing.failed(inFlight)
    }
  })

  return {
    choose,
    handle: (input, now) => {
      if (input.kind === 'peer.message') return limits.handle({ ...input, message: limitsMessage.parse(input.message) }, now)
      if (input.kind === 'peer.lost') return []
      if (input.kind === 'tick') return [...cache.handle(input, now), ...limits.handle(input, now)]
      return cache.handle(input satisfies CacheInput, now)
    },
    bytes: () => cache.dump().workers.reduce((sum, worker) => sum + worker.bytes, 0)
  }
}

/** Chooses the worker with the least wait plus cost of recomputation from exact queues and cache contents; admission is the same as in the wasabireel policy. */
const createOracle = (context: EntryContext): EntryPolicy => {
  const { objective } = context.deployment
  const limits = createEntryLimits(context)
  const rates = context.workers.map(worker => worker.profile.prefillRate)
  const meanTokenTime = rates.length / rates.reduce((sum, rate) => sum + rate, 0)

  const costOf = (worker: FakeWorker, { chain, call }: PolicyRequest): { readonly wait: number, readonly score: number } => {
    const uncached = chain.tokens - worker.cachedTokens(chain)
    const wait = worker.exactWait(call.priority) + uncached / worker.profile.prefillRate
    return { wait, score: wait + objective.recomputation * uncached * meanTokenTime }
  }

  const choose: EntryPolicy['choose'] = (request, _, now) => {
    const candidates = context.workers.filter(worker => worker.up() && !request.exclude.includes(worker.id))
    if (candidates.length === 0) return refuse('noEndpoint', 500)
    const costs = candidates.map(worker => costOf(worker, request))
    const best = costs.reduce((least, candidate, index) => candidate.score < costs[least].score ? index : least, 0)
    const admission = admit(limits, request, costs[best].wait, now)
    if (admission.isErr()) return refuse(admission.error.reason, admission.error.retryAfter)
    const admitted = admission.value
    return {
      kind: 'dispatch',
      endpoint: candidates[best].id,
      priority: request.call.priority,
      attempt: {
        firstToken: at => limits.firstToken(admitted, at),
        finished: (usage, at) => limits.finished(admitted, usage.promptTokens + usage.completionTokens, at),
        failed: at => limits.finished(admitted, undefined, at)
      }
    }
  }

  return { choose }
}

/** The complete policy. */
export const wasabireel: Policy = { name: 'wasabireel', create: context => createPolicy(context) }

/** Ablation variants: cache events of level ends only; no cache events; rendezvous placement only; no admission by deadline. */
export const variants: readonly Policy[] = [
  { name: 'levelEvents', create: context => createPolicy(context, { depth: 'levels' }) },
  { name: 'answersOnly', create: context => createPolicy(context, { depth: 'none' }) },
  { name: 'stateless', create: context => createPolicy(context, { depth: 'none', usesCacheAndReports: false }) },
  { name: 'noAdmission', create: context => createPolicy(context, { admission: false }) }
]

/** Oracle policy: decides from exact cache contents and queues, without delay. */
export const oracle: Policy = { name: 'allKnowing', create: createOracle }
