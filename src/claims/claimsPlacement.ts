/** Maps calls to partitions, and partitions to the instances that hold them. */
import type { Hash } from '../hash.js'
import { callName } from './claimsMessages.js'
import type { CallKey } from './claimsMessages.js'
import { partitionCount } from './claimsTypes.js'
import type { ClaimsInstance } from './claimsTypes.js'

/**
 * Computes the partition of a call.
 *
 * @param hash - the same function on every instance
 * @param call - workspace and key
 * @returns the partition's number, from 0
 */
export const partitionOf = (hash: Hash, call: CallKey): number =>
  hash.h32(callName(call)) % partitionCount

/**
 * Builds the stream name of a partition. The name contains the partition count,
 * so that instances configured with different counts never share a stream.
 *
 * @param partition - the partition's number, from 0
 * @returns the stream's name
 */
export const streamOf = (partition: number): string => `claims.${partitionCount}.${partition}`

/** Assigns partitions to instances by rendezvous hashing with bounded load. */
export interface Placement {
  /** Replaces the list of instances. */
  readonly update: (instances: readonly ClaimsInstance[]) => void
  /** Ids of the partition's holder and then of its standbys; empty if no instance is live. */
  readonly holders: (partition: number) => readonly string[]
  /** Finds an instance in the current list. */
  readonly find: (id: string) => ClaimsInstance | undefined
}

/** Number of standbys for each partition. */
const standbyCount = 2

interface Candidate {
  readonly id: string
  /** Rendezvous hash weights, by partition. */
  readonly weights: Uint32Array
  /** Number of partitions assigned so far. */
  load: number
}

/**
 * Creates a placement with an empty list of instances.
 *
 * @param hash - the same function on every instance
 * @returns the placement
 */
export const createPlacement = (hash: Hash): Placement => {
  let instancesById = new Map<string, ClaimsInstance>()
  let weights = new Map<string, Uint32Array>()
  let assigned: readonly (readonly string[])[] | undefined

  const update = (instances: readonly ClaimsInstance[]): void => {
    instancesById = new Map(instances.map(instance => [instance.id, instance]))
    assigned = undefined
  }

  const weightsOf = (id: string): Uint32Array =>
    weights.get(id) ?? Uint32Array.from({ length: partitionCount }, (_, partition) => hash.h32(`${partition}|${id}`))

  const assign = (): readonly (readonly string[])[] => {
    const live = [...instancesById.values()].filter(instance => instance.state === 'live')
    const candidates = live.map(({ id }): Candidate => ({ id, weights: weightsOf(id), load: 0 }))
    weights = new Map(candidates.map(candidate => [candidate.id, candidate.weights]))
    const maxLoad = Math.ceil(partitionCount / candidates.length)
    return Array.from({ length: partitionCount }, (_, partition) => {
      const holder = findHeaviest(candidates, partition, candidate => candidate.load < maxLoad)
      if (holder === undefined) return []
      holder.load++
      return [holder.id, ...chooseStandbys(candidates, partition, holder)]
    })
  }

  const holders = (partition: number): readonly string[] => {
    assigned ??= assign()
    return assigned[partition]
  }

  return { update, holders, find: id => instancesById.get(id) }
}

const findHeaviest = (candidates: readonly Candidate[], partition: number, isEligible: (candidate: Candidate) => boolean): Candidate | undefined => {
  let best: Candidate | undefined
  for (const candidate of candidates) {
    if (isEligible(candidate) && (best === undefined || isHeavier(candidate, best, partition))) best = candidate
  }
  return best
}

const isHeavier = (left: Candidate, right: Candidate, partition: number): boolean => {
  const difference = left.weights[partition] - right.weights[partition]
  return difference === 0 ? left.id < right.id : difference > 0
}

const chooseStandbys = (candidates: readonly Candidate[], partition: number, holder: Candidate): string[] => {
  const chosen = [holder]
  while (chosen.length <= standbyCount) {
    const next = findHeaviest(candidates, partition, candidate => !chosen.includes(candidate))
    if (next === undefined) break
    chosen.push(next)
  }
  return chosen.slice(1).map(candidate => candidate.id)
}
