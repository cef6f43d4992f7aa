/**
 * The workers that may serve a model, kept from one decision to the next. A
 * decision compares the endpoints with those seen before, one by one, and looks
 * closer only at those that changed.
 */
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { Hash } from '../hash.js'
import type { RendezvousOrders } from './rendezvous.js'
import { createRendezvousOrders } from './rendezvous.js'
import type { RoutingRequest } from './routingTypes.js'

/** The workers that hold what a question asks for. */
export interface CandidateSet {
  readonly workers: readonly Endpoint[]
  readonly orders: RendezvousOrders
  readonly meanSlots: number
  /** Index of each worker by its id. */
  readonly indexOf: ReadonlyMap<string, number>
}

/** Finds the candidates of questions. */
export interface CandidateIndex {
  readonly find: (question: RoutingRequest, endpoints: readonly Endpoint[]) => CandidateSet
}

type Wanted = Pick<RoutingRequest, 'model' | 'adapter' | 'weightVersion'>

/** The weight version that would serve a question on this endpoint; undefined if it cannot. */
export const servedVersion = (wanted: Wanted, endpoint: Endpoint): string | undefined => {
  if (endpoint.kind !== 'worker' || endpoint.state !== 'live') return undefined
  for (const held of endpoint.models) {
    if (held.model !== wanted.model || held.adapter !== wanted.adapter) continue
    if (wanted.weightVersion === undefined || held.weightVersion === wanted.weightVersion) return held.weightVersion
  }
  return undefined
}

interface Known {
  seen: Endpoint[]
  set: CandidateSet
}

/** Models, adapters and versions remembered at once; the oldest is dropped. */
const maxKnown = 64

const keyOf = (wanted: Wanted): string => `${wanted.model}\n${wanted.adapter ?? ''}\n${wanted.weightVersion ?? ''}`

const sameMembers = (left: readonly Endpoint[], right: readonly Endpoint[]): boolean =>
  left.length === right.length && left.every((worker, index) => worker.id === right[index].id && worker.slots === right[index].slots)

/**
 * Creates the index.
 *
 * @param hash - the process's hash functions
 * @returns an index that has seen no endpoint
 */
export const createCandidateIndex = (hash: Hash): CandidateIndex => {
  const known = new Map<string, Known>()

  const build = (wanted: Wanted, endpoints: readonly Endpoint[], earlier: CandidateSet | undefined): CandidateSet => {
    const workers = endpoints.filter(endpoint => servedVersion(wanted, endpoint) !== undefined)
    if (earlier !== undefined && sameMembers(earlier.workers, workers)) return { ...earlier, workers }
    const indexOf = new Map(workers.map((worker, index) => [worker.id, index]))
    const meanSlots = workers.reduce((sum, one) => sum + one.slots, 0) / Math.max(1, workers.length)
    return { workers, indexOf, meanSlots, orders: createRendezvousOrders(hash, workers) }
  }

  const unchanged = (seen: readonly Endpoint[], endpoints: readonly Endpoint[]): boolean => {
    if (seen.length !== endpoints.length) return false
    for (let index = 0; index < seen.length; index++) {
      if (seen[index] !== endpoints[index]) return false
    }
    return true
  }

  const find = (question: RoutingRequest, endpoints: readonly Endpoint[]): CandidateSet => {
    const key = keyOf(question)
    const entry = known.get(key)
    if (entry !== undefined && unchanged(entry.seen, endpoints)) return entry.set
    const set = build(question, endpoints, entry?.set)
    known.delete(key)
    known.set(key, { seen: [...endpoints], set })
    const oldest = known.keys().next().value
    if (known.size > maxKnown && oldest !== undefined) known.delete(oldest)
    return set
  }

  return { find }
}
