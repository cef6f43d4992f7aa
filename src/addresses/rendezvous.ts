/**
 * Rendezvous (highest random weight) hashing: each key ranks all candidates by a
 * hash of key and candidate, so that losing a candidate moves only the keys that
 * were assigned to it. The weighted form gives each candidate a share of keys in
 * proportion to its weight.
 */
import type { Hash } from '../hash.js'
import { mixWord } from '../wordMix.js'

/** Number of values of a 32-bit hash. */
const hashRange = 2 ** 32

/** A candidate that keys can be assigned to. */
export interface Candidate {
  readonly id: string
  readonly weight: number
}

/**
 * Computes the score of a candidate for a key from the hashes of both.
 *
 * @param key - 32-bit hash of the key
 * @param candidate - 32-bit hash of the candidate's id
 * @param weight - share of keys relative to the other candidates, above 0
 * @returns the score; the candidate with the highest score gets the key
 */
export const rendezvousScore = (key: number, candidate: number, weight = 1): number => {
  const unit = (mixWord(mixWord(key) ^ candidate) + 0.5) / hashRange
  return weight / -Math.log(unit)
}

/** Rendezvous hashing of keys onto candidates, with a cache of the candidates' id hashes. */
export interface RendezvousHash {
  /** Prepares unweighted hashing onto these ids; the returned function gives the owner of a key, or undefined if there are no ids. */
  readonly ownerAmong: (ids: readonly string[]) => (key: string) => string | undefined
  /** Returns all candidates in the order of their weighted scores for a key, highest first. */
  readonly rank: <C extends Candidate>(key: string, candidates: readonly C[]) => readonly C[]
  /** Hashes a key to a number from 0 up to but excluding 1. */
  readonly unit: (key: string) => number
}

/** Number of cached id hashes at which the cache is cleared. */
const maxCachedHashes = 10_000

/**
 * Creates a rendezvous hash that caches the hashes of candidate ids.
 *
 * @param hash - the hash function, equal on every instance
 * @returns the rendezvous hash, with an empty cache
 */
export const createRendezvousHash = (hash: Hash): RendezvousHash => {
  const hashes = new Map<string, number>()

  const hashOf = (id: string): number => {
    const cached = hashes.get(id)
    if (cached !== undefined) return cached
    if (hashes.size >= maxCachedHashes) hashes.clear()
    const value = hash.h32(id)
    hashes.set(id, value)
    return value
  }

  const ownerAmong = (ids: readonly string[]): ((key: string) => string | undefined) => {
    const sorted = [...ids].sort()
    const idHashes = Uint32Array.from(sorted, hashOf)
    return key => {
      const keyHash = mixWord(hash.h32(key))
      let best = 0
      let bestScore = -1
      for (let index = 0; index < idHashes.length; index++) {
        const score = mixWord(keyHash ^ idHashes[index])
        if (score <= bestScore) continue
        best = index
        bestScore = score
      }
      return sorted[best]
    }
  }

  const rank = <C extends Candidate>(key: string, candidates: readonly C[]): readonly C[] => {
    const keyHash = hash.h32(key)
    return candidates
      .map(candidate => ({ candidate, score: rendezvousScore(keyHash, hashOf(candidate.id), candidate.weight) }))
      .sort((left, right) => right.score - left.score || (left.candidate.id < right.candidate.id ? -1 : 1))
      .map(({ candidate }) => candidate)
  }

  return { ownerAmong, rank, unit: key => mixWord(hash.h32(key)) / hashRange }
}
