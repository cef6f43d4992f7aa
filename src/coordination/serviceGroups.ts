/**
 * The groups of each service's workers and their coordinators, as one instance sees
 * them. Both are derived from lists of hundreds of entries and are needed for every
 * request, so they are kept until one of the lists changes.
 */
import { createRendezvousHash, type Candidate } from '../addresses/rendezvous.js'
import type { Hash } from '../hash.js'
import type { Worker } from '../workers/workersTypes.js'
import { divideIntoGroups, type WorkerGroups } from './workerGroups.js'

/** What the groups depend on. */
export interface ServiceGroupsOptions {
  readonly hash: Hash
  readonly liveWorkers: (service: string) => readonly Worker[]
  /** The instances that may coordinate; larger ones have more weight. */
  readonly coordinators: () => readonly Candidate[]
}

/** The groups; times in ms. */
export interface ServiceGroups {
  readonly groupsOf: (service: string, now: number) => WorkerGroups
  readonly coordinatorOf: (service: string, group: number, now: number) => string | undefined
}

/** Time between two comparisons of the lists, in ms; a new worker or instance is used that much later. */
const compareInterval = 100

/** Keeps a value until what it is made of has changed. */
const createKept = <Value>(read: () => { readonly signature: string, readonly create: () => Value }) => {
  let kept: { readonly signature: string, readonly value: Value } | undefined
  let nextComparison = -Infinity
  return (now: number): Value => {
    if (kept !== undefined && now < nextComparison) return kept.value
    nextComparison = now + compareInterval
    const { signature, create } = read()
    if (kept?.signature !== signature) kept = { signature, value: create() }
    return kept.value
  }
}

/**
 * Creates the groups of all services.
 *
 * @param options - the workers and instances
 */
export const createServiceGroups = ({ hash, liveWorkers, coordinators }: ServiceGroupsOptions): ServiceGroups => {
  const rendezvous = createRendezvousHash(hash)
  const services = new Map<string, (now: number) => WorkerGroups>()

  const groupsOf = (service: string, now: number): WorkerGroups => {
    const known = services.get(service) ?? createKept(() => {
      const ids = liveWorkers(service).map(({ id }) => id)
      return { signature: ids.join(), create: () => divideIntoGroups(ids, hash) }
    })
    services.set(service, known)
    return known(now)
  }

  const assignments = createKept(() => {
    const candidates = coordinators()
    return { signature: candidates.map(({ id, weight }) => `${id}/${weight}`).join(), create: () => ({ candidates, owners: new Map<string, string | undefined>() }) }
  })

  const coordinatorOf = (service: string, group: number, now: number): string | undefined => {
    const { candidates, owners } = assignments(now)
    const key = `placement/${service}/${group}`
    if (!owners.has(key)) owners.set(key, rendezvous.rank(key, candidates).at(0)?.id)
    return owners.get(key)
  }

  return { groupsOf, coordinatorOf }
}
