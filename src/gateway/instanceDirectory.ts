/**
 * The directory of one instance: which instances callers may connect to. It lists the
 * instance itself while it is ready, and, as a last resort, while it accepts
 * connections and knows no other that is ready.
 */
import { selectDirectoryAddresses, type ServingMember } from '../fleet/directory.js'
import type { Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import type { FleetMember } from '../ports/feedPort.js'
import type { DirectoryAnswer } from './gatewayInterface.js'

/** What the directory depends on. */
export interface InstanceDirectoryOptions {
  readonly self: FleetMember
  readonly hash: Hash
  /** Whether the instance accepts requests. */
  readonly isReady: (now: Moment) => boolean
  /** Whether it accepts connections of callers. */
  readonly acceptsCallers: (now: Moment) => boolean
  /** Whether its event loop lags, or it is cut off from workers that others reach. */
  readonly isImpaired: () => boolean
  /** The other instances that are ready. */
  readonly others: (now: Moment) => readonly ServingMember[]
  /** Time for which callers may cache an answer, in ms. */
  readonly addressLife: () => number
}

/**
 * Creates the directory of an instance.
 *
 * @param options - the instance and the others
 * @returns a function that answers at a time
 */
export const createInstanceDirectory = (options: InstanceDirectoryOptions) => (now: Moment): DirectoryAnswer => {
  const { self, hash, isReady, acceptsCallers, isImpaired, addressLife } = options
  const others = options.others(now)
  const isLastResort = others.length === 0 && acceptsCallers(now)
  const serving = isReady(now) || isLastResort ? [{ member: self, impaired: isImpaired() }, ...others] : others
  return { addresses: selectDirectoryAddresses(self.id, serving, hash), ttl: addressLife() }
}
