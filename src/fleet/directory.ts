/**
 * Chooses the instances that a directory answer names. Callers pick one of the
 * addresses at random and cannot weigh them, so in a large fleet of unequal
 * instances the small ones would get as much as the large. Each instance names
 * about half of the fleet: large ones are in most answers, small ones in few. An
 * instance always names the same ones while these live, so that callers keep
 * their connections. Those that fall behind their work are left out while most
 * of the fleet keeps up.
 */
import { rendezvousScore } from '../addresses/rendezvous.js'
import type { Hash } from '../hash.js'
import type { FleetMember } from '../ports/feedPort.js'

/** An instance that may be named. */
export interface ServingMember {
  readonly member: FleetMember
  /** Whether it falls behind its work. */
  readonly strained: boolean
}

/** Part of the fleet that has to keep up for the others to be left out: they would only fall behind, too. */
const relaxedShare = 0.5
/** Fleet size up to which all are named: callers need some to choose from when many are lost at once. */
const wholeFleet = 24
/** Addresses that callers take from one answer. */
const mostAddresses = 64
/** Part of a larger fleet that one answer names. */
const namedShare = 0.5

/**
 * Chooses the addresses.
 *
 * @param asked - id of the instance that answers
 * @param serving - instances that take requests
 * @param hash - the process's hash functions
 * @returns IP:PORT of each
 */
export const selectDirectoryAddresses = (asked: string, serving: readonly ServingMember[], hash: Hash): readonly string[] => {
  const relaxed = serving.filter(({ strained }) => !strained)
  const named = relaxed.length >= serving.length * relaxedShare ? relaxed : serving
  const members = named.map(({ member }) => member)
  if (members.length <= wholeFleet) return members.map(({ front }) => front)
  const key = hash.h32(asked)
  const count = Math.min(mostAddresses, Math.max(wholeFleet, Math.ceil(members.length * namedShare)))
  return members
    .map(({ id, front, capacity }) => ({ front, score: rendezvousScore(key, hash.h32(id), capacity) }))
    .sort((left, right) => right.score - left.score)
    .slice(0, count)
    .map(({ front }) => front)
}
