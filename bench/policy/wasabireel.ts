/** The project's own decisions as a policy, and the chooser that knows everything. */
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
import type { Attempt, CallQuestion, Decision, EntryContext, EntryPolicy, Policy } from './benchTypes.js'
import type { FakeWorker } from './fakeWorker.js'

const refused = (reason: string, retryAfter: number): Decision => ({ kind: 'refuse', reason, retryAfter })

const limitsOf = (context: EntryContext): Limits => createLimits({
  ...limitsDefaults,
  hash: context.hash,
  self: context.self,
  incarnation: context.incarnation,
  random: context.random,
  instancesOf: context.entriesOf,
  worthExponent: context.deployment.worthExponent
})

const admit = (limits: Limits, question: CallQuestion, expectedWait: number, now: number): ReturnType<Limits['admit']> => limits.admit({
  workspace: question.call.workspace,
  limit: {},
  priority: question.call.priority,
  worth: question.call.worth,
  deadline: question.deadline,
  expectedWait,
  tokens: question.chain.tokens + question.call.completionTokens
}, now)

const mayRetry = (limits: Limits, question: CallQuestion, expectedWait: number, now: number): boolean =>
  !question.retried || limits.retry({ workspace: question.call.workspace, retried: false, deadline: question.deadline, expectedWait }, now).isOk()

const questionOf = ({ call, chain, deadline, exclude }: CallQuestion): RoutingRequest => ({
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

const noKnowledge: RoutingOptions['cache'] = {
  matched: () => ({ blocks: 0, certain: false, known: false, age: 0 }),
  learned: () => {},
  holders: () => []
}

/** What a variant leaves out. */
interface Without {
  readonly depth?: EventDepth
  readonly admission?: boolean
  /** Routes by placement and own requests alone. */
  readonly knowledge?: boolean
}

const create = (context: EntryContext, without: Without = {}): EntryPolicy => {
  const { depth = 'all', admission: admits = true, knowledge = true } = without
  const { hash, random, deployment: { objective } } = context
  const cache = createCache({
    ...cacheDefaults,
    random,
    depth,
    workers: context.endpoints,
    endpointOf: id => context.endpoints().find(endpoint => endpoint.id === id)
  })
  const routing = createRouting({ hash, random, cache: knowledge ? cache : noKnowledge, objective })
  const limits = limitsOf(context)

  const choose: EntryPolicy['choose'] = (question, endpoints, now) => {
    const asked = questionOf(question)
    const choice = routing.choose(asked, knowledge ? endpoints : endpoints.map(withoutReport), now)
    if (choice.isErr()) return refused('noEndpoint', 500 + random.below(500))
    const { expectedWait, endpoint } = choice.value
    if (!mayRetry(limits, question, expectedWait, now)) return refused('retryBudget', 500 + random.below(500))
    const admission = admit(limits, question, admits ? expectedWait : 0, now)
    if (admission.isErr()) return refused(admission.error.reason, admission.error.retryAfter)
    const flight = routing.started(asked, choice.value, now)
    return { kind: 'dispatch', endpoint, expectedWait, priority: question.call.priority, attempt: attemptOf(admission.value, flight) }
  }

  const attemptOf = (admission: Admission, flight: InFlightRequest): Attempt => ({
    firstToken: now => {
      limits.firstToken(admission, now)
      routing.firstToken(flight, now)
    },
    finished: (usage, now) => {
      limits.finished(admission, usage.promptTokens + usage.completionTokens, now)
      routing.finished(flight, usage, now)
    },
    failed: now => {
      limits.finished(admission, undefined, now)
      routing.failed(flight)
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

const allKnowing = (context: EntryContext): EntryPolicy => {
  const { objective } = context.deployment
  const limits = limitsOf(context)
  const rates = context.workers.map(worker => worker.speed.prefillRate)
  const meanCost = rates.length / rates.reduce((sum, rate) => sum + rate, 0)

  const cost = (worker: FakeWorker, { chain, call }: CallQuestion): { readonly wait: number, readonly score: number } => {
    const uncached = chain.tokens - worker.cachedTokens(chain)
    const wait = worker.exactWait(call.priority) + uncached / worker.speed.prefillRate
    return { wait, score: wait + objective.recomputation * uncached * meanCost }
  }

  const choose: EntryPolicy['choose'] = (question, _, now) => {
    const open = context.workers.filter(worker => worker.up() && !question.exclude.includes(worker.id))
    if (open.length === 0) return refused('noEndpoint', 500)
    const costs = open.map(worker => cost(worker, question))
    const best = costs.reduce((least, one, index) => one.score < costs[least].score ? index : least, 0)
    const admission = admit(limits, question, costs[best].wait, now)
    if (admission.isErr()) return refused(admission.error.reason, admission.error.retryAfter)
    const admitted = admission.value
    return {
      kind: 'dispatch',
      endpoint: open[best].id,
      priority: question.call.priority,
      attempt: {
        firstToken: at => limits.firstToken(admitted, at),
        finished: (usage, at) => limits.finished(admitted, usage.promptTokens + usage.completionTokens, at),
        failed: at => limits.finished(admitted, undefined, at)
      }
    }
  }

  return { choose }
}

/** The decisions with all they know. */
export const wasabireel: Policy = { name: 'wasabireel', create: context => create(context) }

/** Ablations: events of level ends only, no events, placement alone, no admission by deadline. */
export const variants: readonly Policy[] = [
  { name: 'levelEvents', create: context => create(context, { depth: 'levels' }) },
  { name: 'answersOnly', create: context => create(context, { depth: 'none' }) },
  { name: 'stateless', create: context => create(context, { depth: 'none', knowledge: false }) },
  { name: 'noAdmission', create: context => create(context, { admission: false }) }
]

/** Exact cache contents and queues, no lag. */
export const oracle: Policy = { name: 'allKnowing', create: allKnowing }
