/**
 * Decides which requests an instance that shuts down still takes. Callers that have
 * cached its address, or hold connections to it, send requests long after the
 * signal; one that is taken and cannot end before the process does is lost, while
 * one that is refused as not run is sent to another instance at once. A request is
 * taken if its deadline lies before the end, or, as long as callers may have the
 * address cached, if requests of its route have lately lasted much shorter than what
 * is left and it may run again.
 */

/** The shutdown of an instance; times in ms. */
export interface ShutdownProgress {
  /** Time since the earliest moment at which the signal may have come. */
  readonly since: number
  /** Time until the requests that are still in progress are ended. */
  readonly left: number
  /** Whether new connections of callers are accepted. */
  readonly accepting: boolean
}

/** What the decision depends on; times in ms. */
export interface ArrivalInShutdown {
  readonly progress: ShutdownProgress
  /** Time until the deadline of the request. */
  readonly needed: number
  /** Longest recent duration of requests of its route; undefined if it is not known, or if the request may not run again. */
  readonly longest: number | undefined
}

/** Multiple of the longest recent duration that has to be left: the next request may be longer, and its worker slower. */
const durationMargin = 2

/**
 * Whether a request that no worker has had yet may still begin, as it will probably end in time.
 *
 * @param arrival - the request and how far the shutdown is
 */
export const mayBeginInShutdown = ({ progress, needed, longest }: ArrivalInShutdown): boolean => {
  if (needed <= progress.left) return true
  return longest !== undefined && durationMargin * longest <= progress.left
}

/**
 * Whether a request that arrives during the shutdown is taken.
 *
 * @param arrival - the request and how far the shutdown is
 */
export const isTakenInShutdown = (arrival: ArrivalInShutdown): boolean => {
  const { progress, needed } = arrival
  const mayStillCome = progress.accepting || needed <= progress.left
  return mayStillCome && mayBeginInShutdown(arrival)
}
