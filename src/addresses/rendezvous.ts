/**
 * Rendezvous hashing: each key ranks all candidates by a hash of the pair, so
 * that losing a candidate moves only the keys that it held. The weighted form
 * gives each candidate a share of keys in proportion to its weight.
 */
import type { Hash } from '../hash.js'
import { mixWord } from '../wordMix.js'

const hashRange = 2 ** 32

/** Something that keys are placed on. */
export interface Candidate {
  readonly id: string
  readonly weight: number
}

/**
 * Scores a key on a candidate from the hashes of both.
 *
 * @param key - 32-bit hash of the key
 * @param candidate - 32-bit hash of the candidate's id
 * @param weight - share of keys relative to the others, above 0
 * @returns the score; the highest wins
 */
export const rendezvousScore = (key: number, candidate: number, weight = 1): number => {
  const unit = (mixWord(mixWord(key) ^ candidate) + 0.5) / hashRange
  return weight / -Math.log(unit)
}

/** Where keys are placed, with the hashes of ids remembered. */
export interface RendezvousHash {
  /** Prepares unweighted placement on these ids; the result gives the best for a key, or undefined if there is none. */
  readonly ownerAmong: (ids: readonly string[]) => (key: string) => string | undefined
  /** All candidates for a key, best first. */
  readonly rank: <C extends Candidate>(key: string, candidates: readonly C[]) => readonly C[]
  /** A number from 0 up to but excluding 1 that depends on the key alone. */
  readonly unit: (key: string) => number
}

const rememberedIds = 10_000

/**
 * Creates a placement that remembers the hashes of the ids it has seen.
 *
 * @param hash - equal on every instance
 */
export const createRendezvousHash = (hash: Hash): RendezvousHash => {
  const hashes = new Map<string, number>()

  const hashOf = (id: string): number => {
    const known = hashes.get(id)
    if (known !== undefined) return known
    if (hashes.size >= rememberedIds) hashes.clear()
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
