/** Which partition a call belongs to, and which instances hold a partition. */
import type { Hash } from '../hash.js'
import { callName } from './claimsMessages.js'
import type { Attempt } from './claimsMessages.js'
import { partitionCount } from './claimsTypes.js'
import type { ClaimsInstance } from './claimsTypes.js'

/**
 * The partition of a call.
 *
 * @param hash - equal on every instance
 * @param call - workspace and key
 */
export const partitionOf = (hash: Hash, call: Pick<Attempt, 'workspace' | 'key'>): number =>
  hash.h32(callName(call)) % partitionCount

/**
 * The stream of a partition. The count is part of the name, so that instances
 * with another count are never mistaken for readers of the same streams.
 *
 * @param partition - from 0
 */
export const streamOf = (partition: number): string => `claims.${partitionCount}.${partition}`

/** Ranks instances for a partition by rendezvous hashing. */
export interface Placement {
  readonly update: (instances: readonly ClaimsInstance[]) => void
  /** The holder, then its stand-bys. */
  readonly holders: (partition: number) => readonly string[]
  readonly find: (id: string) => ClaimsInstance | undefined
}

const ranked = 3

/**
 * Creates a placement that knows no instance yet.
 *
 * @param hash - equal on every instance
 */
export const createPlacement = (hash: Hash): Placement => {
  let known = new Map<string, ClaimsInstance>()
  const cache = new Map<number, readonly string[]>()

  const update = (instances: readonly ClaimsInstance[]): void => {
    known = new Map(instances.map(instance => [instance.id, instance]))
    cache.clear()
  }

  const rank = (partition: number): readonly string[] =>
    [...known.values()]
      .filter(instance => instance.state === 'live')
      .map(({ id }) => ({ id, weight: hash.h32(`${partition}|${id}`) }))
      .sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1))
      .slice(0, ranked)
      .map(({ id }) => id)

  const holders = (partition: number): readonly string[] => {
    const list = cache.get(partition) ?? rank(partition)
    cache.set(partition, list)
    return list
  }

  return { update, holders, find: id => known.get(id) }
}
