/** Which partition a call belongs to, and which instances hold a partition. */
import type { Hash } from '../hash.js'
import { callName } from './claimsMessages.js'
import type { CallKey } from './claimsMessages.js'
import { partitionCount } from './claimsTypes.js'
import type { ClaimsInstance } from './claimsTypes.js'

/**
 * The partition of a call.
 *
 * @param hash - equal on every instance
 * @param call - workspace and key
 */
export const partitionOf = (hash: Hash, call: CallKey): number =>
  hash.h32(callName(call)) % partitionCount

/**
 * The stream of a partition. The count is part of the name, so that instances
 * with another count are never mistaken for readers of the same streams.
 *
 * @param partition - from 0
 */
export const streamOf = (partition: number): string => `claims.${partitionCount}.${partition}`

/** Assigns partitions to instances by rendezvous hashing with bounded load. */
export interface Placement {
  readonly update: (instances: readonly ClaimsInstance[]) => void
  /** The holder, then its stand-bys. */
  readonly holders: (partition: number) => readonly string[]
  readonly find: (id: string) => ClaimsInstance | undefined
}

const standbyCount = 2

interface Candidate {
  readonly id: string
  /** One for each partition. */
  readonly weights: Uint32Array
  load: number
}

/**
 * Creates a placement that knows no instance yet.
 *
 * @param hash - equal on every instance
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
