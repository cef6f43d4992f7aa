/**
 * Selects the instances that a directory response lists. Callers pick one of the
 * addresses at random and can't weight them, so in a large fleet of unequal
 * instances the small ones would get as much traffic as the large ones. Each
 * instance therefore lists about half of the fleet by weighted rendezvous hashing:
 * large instances are in most responses, small ones in few. An instance keeps
 * listing the same ones while they are alive, so that callers keep their
 * connections. Instances whose event loop lags, or that are cut off from workers,
 * are left out while most of the fleet is well.
 */
import { rendezvousScore } from '../addresses/rendezvous.js'
import type { Hash } from '../hash.js'
import type { FleetMember } from '../ports/feedPort.js'

/** An instance that may be listed. */
export interface ServingMember {
  readonly member: FleetMember
  /** Whether its event loop lags, or it is cut off from workers that others reach. */
  readonly impaired: boolean
}

/** Minimum share of instances that are well for the others to be left out; with fewer, the traffic of all would overload these, too. */
const minHealthyShare = 0.5
/** Fleet size up to which all instances are listed, and minimum number listed beyond it: callers need alternatives when many instances fail at once. */
const fullListSize = 24
/** Maximum number of addresses that callers accept from one response. */
const maxAddresses = 64
/** Share of a larger fleet that one response lists. */
const listedShare = 0.5

/**
 * Selects the addresses of a directory response.
 *
 * @param selfId - id of the instance that responds
 * @param serving - instances that accept requests
 * @param hash - the process's hash functions
 * @returns the caller address of each instance, as IP:PORT
 */
export const selectDirectoryAddresses = (selfId: string, serving: readonly ServingMember[], hash: Hash): readonly string[] => {
  const healthy = serving.filter(({ impaired }) => !impaired)
  const candidates = healthy.length >= serving.length * minHealthyShare ? healthy : serving
  const members = candidates.map(({ member }) => member)
  if (members.length <= fullListSize) return members.map(({ front }) => front)
  const key = hash.h32(selfId)
  const count = Math.min(maxAddresses, Math.max(fullListSize, Math.ceil(members.length * listedShare)))
  return members
    .map(({ id, front, capacity }) => ({ front, score: rendezvousScore(key, hash.h32(id), capacity) }))
    .sort((left, right) => right.score - left.score)
    .slice(0, count)
    .map(({ front }) => front)
}
