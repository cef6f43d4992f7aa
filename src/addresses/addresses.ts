/**
 * Which instances a caller should use. Each workspace gets a few instances by
 * weighted rendezvous hashing, spread over data centres, so that its limits and
 * its prefix knowledge stay local to them. Each caller gets these in an order of
 * its own, so that the callers of a lost instance divide over all the others.
 */
import type { Member } from '../ports/membershipPort.js'
import type { Placement } from './rendezvous.js'

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

const isServing = (member: Member): boolean => member.kind === 'entry' && member.state === 'live'

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
 * Chooses the instances of one workspace.
 *
 * @param placement - equal on every instance
 * @param workspace - the workspace
 * @param members - instances that are alive
 * @param width - how many to choose
 * @returns the chosen instances, best first
 */
export const workspaceEntries = (placement: Placement, workspace: string, members: readonly Member[], width = defaultWidth): readonly Member[] => {
  const serving = members.filter(isServing).map(member => ({ ...member, weight: member.size }))
  return spread(placement.rank(workspace, serving), width)
}

/**
 * Answers a caller that asks which addresses to use.
 *
 * @param placement - equal on every instance
 * @param query - who asks, and which instances are alive
 * @returns the list; empty only when no instance serves
 */
export const addressList = (placement: Placement, query: AddressQuery): AddressList => {
  const { workspace, caller, members, width = defaultWidth } = query
  const entries = workspaceEntries(placement, workspace, members, width).map(member => ({ ...member, weight: member.size }))
  const ordered = placement.rank(`${workspace}\u0000${caller}`, entries)
  return {
    workspace,
    addresses: ordered.map(({ id, address, dataCentre, weight }) => ({ id, ...address, dataCentre, weight })),
    timeToLive: timeToLiveOf(placement, `${workspace}\u0000${caller}`)
  }
}

/** Callers refresh at different times, so that a change moves them one after another. */
const timeToLiveOf = (placement: Placement, key: string): number => {
  const part = placement.unit(key)
  return Math.round(longestTimeToLive * (1 - timeToLiveSpread * part))
}
