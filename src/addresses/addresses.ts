/**
 * Which instances a caller should use. Each workspace gets a few instances by
 * weighted rendezvous hashing, spread over data centres, so that its limits and
 * its prefix knowledge stay local to them. Each caller gets these in an order of
 * its own, so that the callers of a lost instance divide over all the others.
 */
import type { Member } from '../ports/membershipPort.js'
import type { RendezvousHash } from './rendezvous.js'

/** One instance of the answer. */
export interface CallerAddress {
  readonly id: string
  readonly host: string
  readonly port: number
  readonly dataCentre: string
  /** Share of the caller's requests, relative to the other entries. */
  readonly weight: number
}

/** The answer to a caller that asks which addresses to use. */
export interface AddressList {
  readonly workspace: string
  /** Best first. */
  readonly addresses: readonly CallerAddress[]
  /** How long the caller may keep the answer, in ms. */
  readonly timeToLive: number
}

/** What the answer depends on. */
export interface AddressQuery {
  readonly workspace: string
  /** Identifies the caller, such as its host; callers with different names get different orders. */
  readonly caller: string
  /** Instances that are alive; leaving ones are omitted from the answer. */
  readonly members: readonly Member[]
  /** Instances for this workspace; large workspaces need more. */
  readonly width?: number
}

/** Instances that an ordinary workspace uses. */
export const defaultWidth = 4

/** The longest time that a caller keeps an answer, in ms. */
export const longestTimeToLive = 10_000

/** The part of the time to live that differs between callers. */
const timeToLiveSpread = 0.4

interface Entry extends Member {
  readonly weight: number
}

/** A seed that has not been heard of may have no caller address yet. */
const isServing = ({ kind, state, address }: Member): boolean => kind === 'entry' && state === 'live' && address.port > 0

/** Takes the best of each data centre in turn, in the order of the ranking. */
const spread = (ranked: readonly Entry[], width: number): readonly Entry[] => {
  const turns = new Map<string, number>()
  return ranked
    .map((entry, place) => {
      const turn = turns.get(entry.dataCentre) ?? 0
      turns.set(entry.dataCentre, turn + 1)
      return { entry, turn, place }
    })
    .sort((left, right) => left.turn - right.turn || left.place - right.place)
    .slice(0, width)
    .map(({ entry }) => entry)
}

/**
 * Estimates with which probability each instance of one data centre is among
 * the `quota` that a workspace takes there: in proportion to its size, and 1 at
 * most.
 */
const inclusions = (members: readonly Entry[], quota: number): ReadonlyMap<string, number> => {
  const result = new Map<string, number>()
  let open = [...members]
  let left = Math.min(quota, members.length)
  for (;;) {
    const total = open.reduce((sum, { size }) => sum + size, 0)
    const share = left / total
    const certain = open.filter(({ size }) => size * share >= 1)
    if (certain.length === 0) {
      open.forEach(({ id, size }) => result.set(id, size * share))
      return result
    }
    certain.forEach(({ id }) => result.set(id, 1))
    left -= certain.length
    open = open.filter(({ size }) => size * share < 1)
  }
}

interface Serving {
  readonly entries: readonly Entry[]
  /** What an entry weighs in an answer, so that all workspaces together load each instance by its size. */
  readonly weights: ReadonlyMap<string, number>
  readonly chosen: Map<string, readonly Entry[]>
}

const weigh = (entries: readonly Entry[], width: number): ReadonlyMap<string, number> => {
  const dataCentres = new Map<string, Entry[]>()
  for (const entry of entries) dataCentres.set(entry.dataCentre, [...dataCentres.get(entry.dataCentre) ?? [], entry])
  const quota = width / dataCentres.size
  const weights = new Map<string, number>()
  for (const group of dataCentres.values()) {
    const probabilities = inclusions(group, quota)
    group.forEach(({ id, size }) => weights.set(id, size / (probabilities.get(id) ?? 1)))
  }
  return weights
}

/** Results for the latest lists of members; members are never changed in place. */
const remembered = new WeakMap<readonly Member[], Map<number, Serving>>()

const servingOf = (members: readonly Member[], width: number): Serving => {
  const widths = remembered.get(members) ?? new Map<number, Serving>()
  remembered.set(members, widths)
  const known = widths.get(width)
  if (known !== undefined) return known
  const entries = members.filter(isServing).map(member => ({ ...member, weight: member.size }))
  const serving = { entries, weights: weigh(entries, width), chosen: new Map<string, readonly Entry[]>() }
  widths.set(width, serving)
  return serving
}

/**
 * Chooses the instances of one workspace.
 *
 * @param placement - equal on every instance
 * @param workspace - the workspace
 * @param members - instances that are alive
 * @param width - how many to choose
 * @returns the chosen instances, best first, with the weights of the answer
 */
export const workspaceInstances = (placement: RendezvousHash, workspace: string, members: readonly Member[], width = defaultWidth): readonly Entry[] => {
  const { entries, weights, chosen } = servingOf(members, width)
  const known = chosen.get(workspace)
  if (known !== undefined) return known
  const choice = spread(placement.rank(workspace, entries), width).map(entry => ({ ...entry, weight: weights.get(entry.id) ?? entry.size }))
  chosen.set(workspace, choice)
  return choice
}

/** Callers refresh at different times, so that a change moves them one after another. */
const timeToLiveOf = (placement: RendezvousHash, key: string): number =>
  Math.round(longestTimeToLive * (1 - timeToLiveSpread * placement.unit(key)))

/**
 * Answers a caller that asks which addresses to use.
 *
 * @param placement - equal on every instance
 * @param query - who asks, and which instances are alive
 * @returns the list; empty only when no instance serves
 */
export const addressList = (placement: RendezvousHash, query: AddressQuery): AddressList => {
  const { workspace, caller, members, width } = query
  const key = `${workspace}\u0000${caller}`
  const ordered = placement.rank(key, workspaceInstances(placement, workspace, members, width))
  return {
    workspace,
    addresses: ordered.map(({ id, address, dataCentre, weight }) => ({ id, ...address, dataCentre, weight })),
    timeToLive: timeToLiveOf(placement, key)
  }
}
