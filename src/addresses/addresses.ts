/**
 * Chooses the instances that a caller should connect to. Weighted rendezvous
 * hashing assigns each workspace a few instances, spread over data centres, so
 * that its limits and the record of its cached prefixes stay local to them. Each
 * caller gets these instances in its own order, so that the callers of a lost
 * instance are divided over all the others.
 */
import type { Member } from '../ports/membershipPort.js'
import type { RendezvousHash } from './rendezvous.js'

/** One instance in an address list. */
export interface CallerAddress {
  readonly id: string
  readonly host: string
  readonly port: number
  readonly dataCentre: string
  /** Share of the caller's requests, relative to the other addresses of the list. */
  readonly weight: number
}

/** The list of addresses that a caller should use. */
export interface AddressList {
  readonly workspace: string
  /** The addresses in order of preference, the preferred one first. */
  readonly addresses: readonly CallerAddress[]
  /** How long the caller may cache the list, in ms. */
  readonly timeToLive: number
}

/** Everything that an address list depends on. */
export interface AddressQuery {
  readonly workspace: string
  /** Identifies the caller, for example by its host; different callers get the instances in different orders. */
  readonly caller: string
  /** Instances that are alive; leaving ones are omitted from the list. */
  readonly members: readonly Member[]
  /** Number of instances for this workspace, `defaultWidth` unless given; large workspaces need more. */
  readonly width?: number
}

/** Number of instances that a workspace uses unless its width is given. */
export const defaultWidth = 4

/** Maximum time for which a caller caches an address list, in ms. */
export const maxTimeToLive = 10_000

/** Fraction of `maxTimeToLive` by which the time to live varies between callers. */
const timeToLiveJitter = 0.4

/** An instance with its weight in rendezvous hashing or in an address list. */
interface WeightedInstance extends Member {
  readonly weight: number
}

/** Returns whether an instance accepts callers. A seed from which no message has arrived may have no caller address yet; its port is 0. */
const isServing = ({ kind, state, address }: Member): boolean => kind === 'entry' && state === 'live' && address.port > 0

/** Takes the best-ranked instance of each data centre, then the second of each, and so on, up to `width`. */
const spreadOverDataCentres = (ranked: readonly WeightedInstance[], width: number): readonly WeightedInstance[] => {
  const rounds = new Map<string, number>()
  return ranked
    .map((entry, place) => {
      const round = rounds.get(entry.dataCentre) ?? 0
      rounds.set(entry.dataCentre, round + 1)
      return { entry, round, place }
    })
    .sort((left, right) => left.round - right.round || left.place - right.place)
    .slice(0, width)
    .map(({ entry }) => entry)
}

/**
 * Estimates the probability that each instance of one data centre is among the
 * `quota` instances that a workspace uses there: proportional to its size, and
 * 1 at most.
 */
const inclusionProbabilities = (members: readonly WeightedInstance[], quota: number): ReadonlyMap<string, number> => {
  const result = new Map<string, number>()
  let undecided = [...members]
  let remaining = Math.min(quota, members.length)
  for (;;) {
    const total = undecided.reduce((sum, { size }) => sum + size, 0)
    const share = remaining / total
    const certain = undecided.filter(({ size }) => size * share >= 1)
    if (certain.length === 0) {
      undecided.forEach(({ id, size }) => result.set(id, size * share))
      return result
    }
    certain.forEach(({ id }) => result.set(id, 1))
    remaining -= certain.length
    undecided = undecided.filter(({ size }) => size * share < 1)
  }
}

/** The instances that accept callers, and what is computed from them. */
interface ServingInstances {
  readonly entries: readonly WeightedInstance[]
  /** Weight of each instance in address lists, such that all workspaces together load each instance in proportion to its size. */
  readonly weights: ReadonlyMap<string, number>
  /** Cached choice of instances by workspace. */
  readonly chosen: Map<string, readonly WeightedInstance[]>
}

const addressWeights = (instances: readonly WeightedInstance[], width: number): ReadonlyMap<string, number> => {
  const dataCentres = new Map<string, WeightedInstance[]>()
  for (const instance of instances) dataCentres.set(instance.dataCentre, [...dataCentres.get(instance.dataCentre) ?? [], instance])
  const quota = width / dataCentres.size
  const weights = new Map<string, number>()
  for (const group of dataCentres.values()) {
    const probabilities = inclusionProbabilities(group, quota)
    group.forEach(({ id, size }) => weights.set(id, size / (probabilities.get(id) ?? 1)))
  }
  return weights
}

/** Results for each member list and width; an array of members is never modified in place. */
const servingCache = new WeakMap<readonly Member[], Map<number, ServingInstances>>()

const servingInstances = (members: readonly Member[], width: number): ServingInstances => {
  const byWidth = servingCache.get(members) ?? new Map<number, ServingInstances>()
  servingCache.set(members, byWidth)
  const cached = byWidth.get(width)
  if (cached !== undefined) return cached
  const entries = members.filter(isServing).map(member => ({ ...member, weight: member.size }))
  const serving = { entries, weights: addressWeights(entries, width), chosen: new Map<string, readonly WeightedInstance[]>() }
  byWidth.set(width, serving)
  return serving
}

/**
 * Chooses the instances of one workspace.
 *
 * @param rendezvous - the rendezvous hash, equal on every instance
 * @param workspace - name of the workspace
 * @param members - instances that are alive
 * @param width - number of instances to choose
 * @returns the chosen instances, best-ranked of each data centre first, with their weights for address lists
 */
export const workspaceInstances = (rendezvous: RendezvousHash, workspace: string, members: readonly Member[], width = defaultWidth): readonly WeightedInstance[] => {
  const { entries, weights, chosen } = servingInstances(members, width)
  const cached = chosen.get(workspace)
  if (cached !== undefined) return cached
  const choice = spreadOverDataCentres(rendezvous.rank(workspace, entries), width).map(instance => ({ ...instance, weight: weights.get(instance.id) ?? instance.size }))
  chosen.set(workspace, choice)
  return choice
}

/** Returns the time to live of an address list, in ms. It varies between callers, so that they refresh at different times and a change does not move all of them at once. */
const timeToLiveOf = (rendezvous: RendezvousHash, key: string): number =>
  Math.round(maxTimeToLive * (1 - timeToLiveJitter * rendezvous.unit(key)))

/**
 * Builds the address list for one caller.
 *
 * @param rendezvous - the rendezvous hash, equal on every instance
 * @param query - the caller, its workspace and the instances that are alive
 * @returns the list; its addresses are empty only when no instance accepts callers
 */
export const addressList = (rendezvous: RendezvousHash, query: AddressQuery): AddressList => {
  const { workspace, caller, members, width } = query
  const key = `${workspace}\u0000${caller}`
  const ordered = rendezvous.rank(key, workspaceInstances(rendezvous, workspace, members, width))
  return {
    workspace,
    addresses: ordered.map(({ id, address, dataCentre, weight }) => ({ id, ...address, dataCentre, weight })),
    timeToLive: timeToLiveOf(rendezvous, key)
  }
}
