/** Policies to compare with: none knows more than reports, its own requests or cache events tell. */
import { createCache } from '../../src/cache/cacheMachine.js'
import { cacheDefaults } from '../../src/cache/cacheTypes.js'
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import { createRendezvousOrders } from '../../src/routing/rendezvous.js'
import type { Attempt, CallQuestion, Decision, EntryContext, EntryPolicy, Policy } from './benchTypes.js'

type Choose = (question: CallQuestion, open: readonly Endpoint[], now: number) => Endpoint

const comeBack = 500

const open = (question: CallQuestion, endpoints: readonly Endpoint[]): readonly Endpoint[] =>
  endpoints.filter(endpoint => endpoint.state === 'live' && !question.exclude.includes(endpoint.id))

/** Wraps a choice among live endpoints. */
const choosing = (choose: Choose, handle?: EntryPolicy['handle'], attemptAt: (endpoint: string) => Attempt = () => ({})): EntryPolicy => ({
  handle,
  choose: (question, endpoints, now): Decision => {
    const candidates = open(question, endpoints)
    if (candidates.length === 0) return { kind: 'refuse', reason: 'noEndpoint', retryAfter: comeBack }
    const { id } = choose(question, candidates, now)
    return { kind: 'dispatch', endpoint: id, priority: question.call.priority, attempt: attemptAt(id) }
  }
})

const random = ({ random }: EntryContext): EntryPolicy =>
  choosing((_, candidates) => candidates[random.below(candidates.length)])

const roundRobin = ({ random }: EntryContext): EntryPolicy => {
  let turn = random.below(1000)
  return choosing((_, candidates) => candidates[turn++ % candidates.length])
}

const reportedLoad = ({ report, slots }: Endpoint): number =>
  report === undefined ? 0 : (report.running + report.waiting) / slots

const leastLoaded = ({ random }: EntryContext): EntryPolicy => choosing((_, candidates) => {
  const least = Math.min(...candidates.map(reportedLoad))
  const equals = candidates.filter(candidate => reportedLoad(candidate) === least)
  return equals[random.below(equals.length)]
})

/** The block that names guidance and branch. */
const prefixWord = ({ chain }: CallQuestion): number => {
  const blocks = chain.levels[Math.min(1, chain.levels.length - 1)]
  return chain.words[2 * blocks - 1]
}

const ordered = (context: EntryContext): (question: CallQuestion, candidates: readonly Endpoint[]) => readonly Endpoint[] => {
  const all = context.endpoints()
  const orders = createRendezvousOrders(context.hash, all)
  const place = new Map(all.map(({ id }, index) => [id, index]))
  return (question, candidates) => {
    const order = [...orders.order(prefixWord(question))]
    return [...candidates].sort((left, right) => order.indexOf(place.get(left.id) ?? -1) - order.indexOf(place.get(right.id) ?? -1))
  }
}

const consistentHash = (context: EntryContext): EntryPolicy => {
  const order = ordered(context)
  return choosing((question, candidates) => order(question, candidates)[0])
}

const loadBound = 1.25

const boundedHash = (context: EntryContext): EntryPolicy => {
  const order = ordered(context)
  const own = new Map<string, number>()
  const add = (id: string, change: number): void => {
    own.set(id, Math.max(0, (own.get(id) ?? 0) + change))
  }
  const load = (endpoint: Endpoint): number => Math.max(own.get(endpoint.id) ?? 0, (endpoint.report?.running ?? 0) + (endpoint.report?.waiting ?? 0))
  const choose: Choose = (question, candidates) => {
    const slots = candidates.reduce((sum, one) => sum + one.slots, 0)
    const total = candidates.reduce((sum, one) => sum + load(one), 1)
    const within = order(question, candidates).find(one => load(one) + 1 <= Math.ceil(loadBound * total * one.slots / slots))
    const chosen = within ?? order(question, candidates)[0]
    add(chosen.id, 1)
    return chosen
  }
  return choosing(choose, undefined, id => ({ finished: () => add(id, -1), failed: () => add(id, -1) }))
}

const preciseIndex = (context: EntryContext): EntryPolicy => {
  const cache = createCache({
    ...cacheDefaults,
    random: context.random,
    workers: context.endpoints,
    endpointOf: id => context.endpoints().find(endpoint => endpoint.id === id)
  })
  const choose: Choose = (question, candidates, now) => {
    const held = candidates.map(one => cache.matched(one.id, one.incarnation, question.chain, now).blocks)
    const most = Math.max(...held)
    const equals = candidates.filter((_, index) => held[index] === most)
    return equals[context.random.below(equals.length)]
  }
  return choosing(choose, (input, now) => input.kind === 'peer.message' || input.kind === 'peer.lost' ? [] : cache.handle(input, now))
}

/** The baselines, in the order of the tables. */
export const baselines: readonly Policy[] = [
  { name: 'random', create: random },
  { name: 'roundRobin', create: roundRobin },
  { name: 'leastLoaded', create: leastLoaded },
  { name: 'consistentHash', create: consistentHash },
  { name: 'boundedHash', create: boundedHash },
  { name: 'preciseIndex', create: preciseIndex }
]
