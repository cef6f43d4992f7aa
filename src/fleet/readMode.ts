/**
 * Decides whether an instance reads the platform's store itself. In a small
 * fleet each does. In a larger one the calls would grow with the fleet while all
 * bring the same, so a few instances read often and pass on what they learn; the
 * others wait for that, and read themselves when the few fall silent. It answers
 * a fleet of tens of instances before a store whose calls are counted, in which
 * any instances may be killed, frozen or cut off from the store together.
 */
import type { StoreReadMode } from '../ports/feedPort.js'

/** Fleet size up to which each instance reads for itself. */
const readingFleet = 12
/** Instances that read for all in a larger fleet; of this many some live and reach the store whatever happens to single ones. */
export const readerCount = 3
/** Age of the newest proof, in ms, from which an instance does not rely on others: proofs get as old as two reads and two beats when all goes well. */
const relianceLimit = 2_600

/** What an instance knows of the fleet when it decides. */
export interface ReadModeInput {
  /** Instances that live, this one included. */
  readonly size: number
  /** Live instances before this one in the order that all share which reached the store lately. */
  readonly higherRankedReaders: number
  /** Age, in ms, of the newest proof of the configuration. */
  readonly proofAge: number
  /** Whether this instance gives orders, for which it must hear the store itself. */
  readonly holding: boolean
}

/**
 * Decides how to read.
 *
 * @param situation - what is known now
 */
export const chooseReadMode = ({ size, higherRankedReaders, proofAge, holding }: ReadModeInput): StoreReadMode => {
  if (size <= readingFleet) return 'forItself'
  if (higherRankedReaders < readerCount || holding) return 'forAll'
  return proofAge < relianceLimit ? 'throughPeers' : 'inReserve'
}
