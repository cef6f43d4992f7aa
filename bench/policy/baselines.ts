/** Baseline policies for comparison. They use only load reports, the entry instance's own requests or cache events. */
import { createCache } from '../../src/cache/cacheMachine.js'
import { cacheDefaults } from '../../src/cache/cacheTypes.js'
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import { createRendezvousOrders } from '../../src/routing/rendezvous.js'
import type { AttemptListener, Decision, EntryContext, EntryPolicy, Policy, PolicyRequest } from './benchTypes.js'

/** Chooses one of the candidates, of which there is at least one. */
type Choose = (request: PolicyRequest, candidates: readonly Endpoint[], now: number) => Endpoint

/** Delay that a refused caller should wait for, in ms. */
const retryDelay = 500

/** Returns the live endpoints that no attempt of this call has failed at. */
const selectableEndpoints = (request: PolicyRequest, endpoints: readonly Endpoint[]): readonly Endpoint[] =>
  endpoints.filter(endpoint => endpoint.state === 'live' && !request.exclude.includes(endpoint.id))

/**
 * Creates a policy that dispatches to the chosen candidate and refuses if there is none.
 *
 * @param choose - choice among the candidates
 * @param handle - handler of cache events, peer messages and ticks, if the policy has one
 * @param createListener - creates the attempt's callbacks for the chosen endpoint
 */
const createChoicePolicy = (choose: Choose, handle?: EntryPolicy['handle'], createListener: (endpoint: string) => AttemptListener = () => ({})): EntryPolicy => ({
  handle,
  choose: (request, endpoints, now): Decision => {
    const candidates = selectableEndpoints(request, endpoints)
    if (candidates.length === 0) return { kind: 'refuse', reason: 'noEndpoint', retryAfter: retryDelay }
    const { id } = choose(request, candidates, now)
    return { kind: 'dispatch', endpoint: id, priority: request.call.priority, attempt: createListener(id) }
  }
})

const createRandomPolicy = ({ random }: EntryContext): EntryPolicy =>
  createChoicePolicy((_, candidates) => candidates[random.below(candidates.length)])

const createRoundRobin = ({ random }: EntryContext): EntryPolicy => {
  let turn = random.below(1000)
  return createChoicePolicy((_, candidates) => candidates[turn++ % candidates.length])
}

/** Running and waiting requests per slot as last reported; 0 without a report. */
const reportedLoad = ({ report, slots }: Endpoint): number =>
  report === undefined ? 0 : (report.running + report.waiting) / slots

const createLeastLoaded = ({ random }: EntryContext): EntryPolicy => createChoicePolicy((_, candidates) => {
  const least = Math.min(...candidates.map(reportedLoad))
  const tied = candidates.filter(candidate => reportedLoad(candidate) === least)
  return tied[random.below(tied.length)]
})

/** Hash word of the last block of the second prompt level, which identifies guidance and branch. */
const prefixKey = ({ chain }: PolicyRequest): number => {
  const blocks = chain.levels[Math.min(1, chain.levels.length - 1)]
  return chain.words[2 * blocks - 1]
}

/** Creates a function that sorts candidates by rendezvous hashing on the prefix key. */
const createRendezvousSort = (context: EntryContext): (request: PolicyRequest, candidates: readonly Endpoint[]) => readonly Endpoint[] => {
  const all = context.endpoints()
  const orders = createRendezvousOrders(context.hash, all)
  const positions = new Map(all.map(({ id }, index) => [id, index]))
  return (request, candidates) => {
    const order = [...orders.order(prefixKey(request))]
    return [...candidates].sort((left, right) => order.indexOf(positions.get(left.id) ?? -1) - order.indexOf(positions.get(right.id) ?? -1))
  }
}

const createConsistentHash = (context: EntryContext): EntryPolicy => {
  const order = createRendezvousSort(context)
  return createChoicePolicy((request, candidates) => order(request, candidates)[0])
}

/** Bound of consistent hashing with bounded loads: a worker's load relative to its share of the total by slots. */
const loadBound = 1.25

/** Consistent hashing with bounded loads; a worker's load is the larger of this entry's own requests in flight and the reported load. */
const createBoundedHash = (context: EntryContext): EntryPolicy => {
  const order = createRendezvousSort(context)
  const inFlight = new Map<string, number>()
  const add = (id: string, change: number): void => {
    inFlight.set(id, Math.max(0, (inFlight.get(id) ?? 0) + change))
  }
  const load = (endpoint: Endpoint): number => Math.max(inFlight.get(endpoint.id) ?? 0, (endpoint.report?.running ?? 0) + (endpoint.report?.waiting ?? 0))
  const choose: Choose = (request, candidates) => {
    const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0)
    const total = candidates.reduce((sum, candidate) => sum + load(candidate), 1)
    const belowBound = order(request, candidates).find(candidate => load(candidate) + 1 <= Math.ceil(loadBound * total * candidate.slots / slots))
    const chosen = belowBound ?? order(request, candidates)[0]
    add(chosen.id, 1)
    return chosen
  }
  return createChoicePolicy(choose, undefined, id => ({ finished: () => add(id, -1), failed: () => add(id, -1) }))
}

/** Chooses the worker with the longest cached prefix according to its cache events, ignoring load. */
const createPreciseIndex = (context: EntryContext): EntryPolicy => {
  const cache = createCache({
    ...cacheDefaults,
    random: context.random,
    workers: context.endpoints,
    endpointOf: id => context.endpoints().find(endpoint => endpoint.id === id)
  })
  const choose: Choose = (request, candidates, now) => {
    const matchedBlocks = candidates.map(candidate => cache.matched(candidate.id, candidate.incarnation, request.chain, now).blocks)
    const most = Math.max(...matchedBlocks)
    const tied = candidates.filter((_, index) => matchedBlocks[index] === most)
    return tied[context.random.below(tied.length)]
  }
  return createChoicePolicy(choose, (input, now) => input.kind === 'peer.message' || input.kind === 'peer.lost' ? [] : cache.handle(input, now))
}

/** The baseline policies in the order of the tables. */
export const baselines: readonly Policy[] = [
  { name: 'random', create: createRandomPolicy },
  { name: 'roundRobin', create: createRoundRobin },
  { name: 'leastLoaded', create: createLeastLoaded },
  { name: 'consistentHash', create: createConsistentHash },
  { name: 'boundedHash', create: createBoundedHash },
  { name: 'preciseIndex', create: createPreciseIndex }
]
