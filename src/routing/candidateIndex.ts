/**
 * Index of the workers that can serve a model. The candidate set of each model is
 * cached between decisions. It is rebuilt only if the list of endpoints has
 * changed, and its rendezvous orders only if a worker or its slots have changed.
 */
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { Hash } from '../hash.js'
import type { RendezvousOrders } from './rendezvous.js'
import { createRendezvousOrders } from './rendezvous.js'
import type { RoutingRequest } from './routingTypes.js'

/** The live workers that hold the model, adapter and weight version of a request. */
export interface CandidateSet {
  readonly workers: readonly Endpoint[]
  readonly orders: RendezvousOrders
  /** Mean of the declared slots; 0 without workers. */
  readonly meanSlots: number
  /** Index of each worker by its id. */
  readonly indexOf: ReadonlyMap<string, number>
}

/** Finds the candidate workers of requests. */
export interface CandidateIndex {
  /** Returns the candidates among these endpoints, from the cache if the endpoints are unchanged. */
  readonly find: (request: RoutingRequest, endpoints: readonly Endpoint[]) => CandidateSet
}

type ModelSelector = Pick<RoutingRequest, 'model' | 'adapter' | 'weightVersion'>

/**
 * Returns the weight version with which an endpoint would serve a request.
 *
 * @param selector - the model, adapter and weight version wanted
 * @param endpoint - the endpoint
 * @returns the weight version, or undefined if the endpoint is no live worker or holds no match
 */
export const servedVersion = (selector: ModelSelector, endpoint: Endpoint): string | undefined => {
  if (endpoint.kind !== 'worker' || endpoint.state !== 'live') return undefined
  for (const held of endpoint.models) {
    if (held.model !== selector.model || held.adapter !== selector.adapter) continue
    if (selector.weightVersion === undefined || held.weightVersion === selector.weightVersion) return held.weightVersion
  }
  return undefined
}

interface CacheEntry {
  /** The list of endpoints that the set was built from. */
  endpoints: Endpoint[]
  set: CandidateSet
}

/** Maximum number of cached candidate sets, by model, adapter and weight version; the one built longest ago is evicted. */
const maxCachedSets = 64

const keyOf = (selector: ModelSelector): string => `${selector.model}\n${selector.adapter ?? ''}\n${selector.weightVersion ?? ''}`

const sameWorkers = (left: readonly Endpoint[], right: readonly Endpoint[]): boolean =>
  left.length === right.length && left.every((worker, index) => worker.id === right[index].id && worker.slots === right[index].slots)

/**
 * Creates a candidate index.
 *
 * @param hash - the process's hash functions
 * @returns an index with nothing cached
 */
export const createCandidateIndex = (hash: Hash): CandidateIndex => {
  const cached = new Map<string, CacheEntry>()

  const build = (selector: ModelSelector, endpoints: readonly Endpoint[], previous: CandidateSet | undefined): CandidateSet => {
    const workers = endpoints.filter(endpoint => servedVersion(selector, endpoint) !== undefined)
    if (previous !== undefined && sameWorkers(previous.workers, workers)) return { ...previous, workers }
    const indexOf = new Map(workers.map((worker, index) => [worker.id, index]))
    const meanSlots = workers.reduce((sum, worker) => sum + worker.slots, 0) / Math.max(1, workers.length)
    return { workers, indexOf, meanSlots, orders: createRendezvousOrders(hash, workers) }
  }

  const unchanged = (previous: readonly Endpoint[], endpoints: readonly Endpoint[]): boolean => {
    if (previous.length !== endpoints.length) return false
    for (let index = 0; index < previous.length; index++) {
      if (previous[index] !== endpoints[index]) return false
    }
    return true
  }

  const find = (request: RoutingRequest, endpoints: readonly Endpoint[]): CandidateSet => {
    const key = keyOf(request)
    const entry = cached.get(key)
    if (entry !== undefined && unchanged(entry.endpoints, endpoints)) return entry.set
    const set = build(request, endpoints, entry?.set)
    cached.delete(key)
    cached.set(key, { endpoints: [...endpoints], set })
    const oldest = cached.keys().next().value
    if (cached.size > maxCachedSets && oldest !== undefined) cached.delete(oldest)
    return set
  }

  return { find }
}
