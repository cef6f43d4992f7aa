/**
 * Divides the workers of a service into groups of at most 16, each of which one
 * instance coordinates. All instances with the same list of workers find the same
 * groups. A worker that comes or goes hardly moves others: the groups are chosen by
 * rendezvous hashing, and only a full group passes workers on to another one.
 */
import { rendezvousScore } from '../addresses/rendezvous.js'
import type { Hash } from '../hash.js'

/** The groups of one service. */
export interface WorkerGroups {
  /** Number of groups; 0 without workers. */
  readonly count: number
  /** Ids of the workers of a group. */
  readonly members: (group: number) => readonly string[]
  /** Group of a worker; undefined if it is in none. */
  readonly groupOf: (worker: string) => number | undefined
  /** Group of the worker that rendezvous hashing assigns to a key, the same worker that is preferred within the group; undefined without workers. */
  readonly affinityGroup: (key: string) => number | undefined
}

/** Largest number of workers in a group, which bounds what one coordinator has to decide. */
export const maxGroupSize = 16
/** Mean number of workers in a group; below the largest, so that few groups are full. */
const meanGroupSize = 12

/**
 * Divides workers into groups.
 *
 * @param ids - ids of the workers, in any order
 * @param hash - hash functions, equal on all instances
 */
export const divideIntoGroups = (ids: readonly string[], hash: Hash): WorkerGroups => {
  const workers = ids.map(id => ({ id, hashed: hash.h32(id) })).sort((left, right) => left.hashed - right.hashed || (left.id < right.id ? -1 : 1))
  const count = Math.ceil(workers.length / meanGroupSize)
  const groupHashes = Array.from({ length: count }, (_, group) => hash.h32(`group/${group}`))
  const members: string[][] = groupHashes.map(() => [])
  const groups = new Map<string, number>()

  for (const { id, hashed } of workers) {
    let best = -1
    let bestScore = -1
    groupHashes.forEach((groupHash, group) => {
      const score = members[group].length < maxGroupSize ? rendezvousScore(hashed, groupHash) : -1
      if (score <= bestScore) return
      best = group
      bestScore = score
    })
    members[best].push(id)
    groups.set(id, best)
  }

  const affinityGroup = (key: string): number | undefined => {
    const keyHash = hash.h32(key)
    let best: string | undefined
    let bestScore = -1
    for (const { id, hashed } of workers) {
      const score = rendezvousScore(keyHash, hashed)
      if (score <= bestScore) continue
      best = id
      bestScore = score
    }
    return best === undefined ? undefined : groups.get(best)
  }

  return { count, members: group => members.at(group) ?? [], groupOf: worker => groups.get(worker), affinityGroup }
}
