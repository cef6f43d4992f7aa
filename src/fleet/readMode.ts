/**
 * Decides whether an instance reads the platform's store itself. In a small fleet
 * every instance does. In a larger one the number of calls would grow with the
 * fleet although all return the same data, so a few instances, the readers, poll
 * often and pass the results on. The others rely on them, and read the store
 * themselves if the readers fall silent. The scheme is designed for tens to
 * hundreds of instances and a store whose calls are counted, where any group of
 * instances may be killed, frozen or cut off from the store at the same time.
 * When readers are missing, the others take their turns one after the other, since
 * all notice it at the same moment.
 */
import type { StoreReadMode } from '../ports/feedPort.js'

/** Fleet size up to which each instance reads for itself. */
const maxSelfReadingFleetSize = 12
/** Number of readers in a larger fleet: enough that some stay alive and connected to the store when single ones fail. */
export const readerCount = 3
/** Proof age in ms from which an instance no longer relies on others; in normal operation it rises to the duration of two reads and two heartbeat intervals. */
const maxReliedProofAge = 2_600

/** Time in ms after which the next instance takes its turn while readers are missing: enough to read the store and to be heard by the others. */
const turnDuration = 150

/** Input of the decision. */
export interface ReadModeInput {
  /** Number of live instances, including this one. */
  readonly size: number
  /** Number of readers that rank before this instance and recently reached the store; the order is the same on all instances. */
  readonly higherRankedReaders: number
  /** Number of live instances that rank before this one and do not read for others. */
  readonly turn: number
  /** Time for which there have been too few readers before this instance, in ms; 0 if there are enough. */
  readonly readersMissingFor: number
  /** The present mode. */
  readonly current: StoreReadMode
  /** Age of the newest proof that the configuration is up to date, in ms. */
  readonly proofAge: number
  /** Whether this instance holds the rollout lease, which requires direct access to the store. */
  readonly holding: boolean
}

/**
 * Chooses how an instance reads the store.
 *
 * @param input - current state of the fleet and of this instance
 * @returns the read mode
 */
export const chooseReadMode = ({ size, higherRankedReaders, turn, readersMissingFor, current, proofAge, holding }: ReadModeInput): StoreReadMode => {
  if (size <= maxSelfReadingFleetSize) return 'forItself'
  const isMissing = higherRankedReaders < readerCount
  const isDue = current === 'forAll' || readersMissingFor >= turn * turnDuration
  if (holding || (isMissing && isDue)) return 'forAll'
  if (isMissing && current === 'forItself') return current
  return proofAge < maxReliedProofAge ? 'throughPeers' : 'inReserve'
}
