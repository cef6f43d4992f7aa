/**
 * The loads of a service's groups as one instance last heard them, and the choice of
 * the group that it asks. The load is a fleet in which an instance sends a request
 * every second or less often, so that it seldom hears of a group itself: questions and answers
 * carry the freshest loads that their sender knows, and a coordinator, which hears
 * from all instances, passes them on.
 */
import type { Random } from '../random.js'
import { maxGroupLoadsPerMessage, type GroupLoad } from './coordinationMessages.js'

/** The loads of the groups of one service. */
export interface GroupLoads {
  /** Records what a message says; an older statement does not replace a newer one. */
  readonly note: (loads: readonly GroupLoad[], now: number) => void
  /** The freshest loads, for a message. */
  readonly freshest: (now: number) => GroupLoad[]
  /** The least loaded one of these groups if its load is known and much below that of `group`. */
  readonly lessLoaded: (group: number, load: number, alternatives: readonly number[], now: number) => number | undefined
  /** Chooses the group to ask, among those that may have room. */
  readonly choose: (groups: readonly number[], preferred: number | undefined, random: Random, now: number) => number | undefined
}

/** Age, in ms, from which a load says nothing any more. */
const maxAge = 1_000
/** Load, relative to that of another group, from which a request does not follow its shared part into a group. */
const affinityLoadRatio = 1.2

/** Load of a group, relative to that of another one, from which its coordinator names the other one instead; a request with a shared part has been sent there for it. */
const passOnRatio = 1.15
/** Age of the other load up to which it is trusted for that, in ms. */
const passOnAge = 50

/** Creates the loads of the groups of a service, of which nothing is known. */
export const createGroupLoads = (): GroupLoads => {
  const known = new Map<number, { readonly load: number, readonly at: number }>()

  const note = (loads: readonly GroupLoad[], now: number): void => {
    for (const [group, load, age] of loads) if ((known.get(group)?.at ?? -Infinity) < now - age) known.set(group, { load, at: now - age })
  }

  const loadOf = (group: number, now: number): number | undefined => {
    const entry = known.get(group)
    return entry === undefined || now - entry.at > maxAge ? undefined : entry.load
  }

  const freshest = (now: number): GroupLoad[] =>
    [...known]
      .filter(([, { at }]) => now - at <= maxAge)
      .sort(([, left], [, right]) => right.at - left.at)
      .slice(0, maxGroupLoadsPerMessage)
      .map(([group, { load, at }]) => [group, load, Math.round(now - at)])

  const lessLoaded = (group: number, load: number, alternatives: readonly number[], now: number): number | undefined => {
    let best: number | undefined
    let bestLoad = load / passOnRatio
    for (const other of alternatives) {
      const entry = known.get(other)
      if (other === group || entry === undefined || now - entry.at > passOnAge || entry.load >= bestLoad) continue
      best = other
      bestLoad = entry.load
    }
    return best
  }

  /** The less loaded one of two groups; a group of unknown load counts as like the other. */
  const better = (left: number, right: number, now: number): number =>
    (loadOf(right, now) ?? Infinity) < (loadOf(left, now) ?? -Infinity) ? right : left

  const drawTwo = (groups: readonly number[], random: Random): readonly [number, number] => {
    const first = random.below(groups.length)
    const second = (first + 1 + random.below(groups.length - 1)) % groups.length
    return [groups[first], groups[second]]
  }

  const choose = (groups: readonly number[], preferred: number | undefined, random: Random, now: number): number | undefined => {
    if (groups.length <= 1) return groups.at(0)
    const drawn = better(...drawTwo(groups, random), now)
    if (preferred === undefined || !groups.includes(preferred)) return drawn
    const preferredLoad = loadOf(preferred, now) ?? 0
    const otherLoad = loadOf(drawn, now) ?? Infinity
    return preferredLoad > otherLoad * affinityLoadRatio ? drawn : preferred
  }

  return { note, freshest, lessLoaded, choose }
}
