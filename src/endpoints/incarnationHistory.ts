/**
 * Orders the incarnations of one endpoint. The list of ended incarnations
 * identifies late reports of an incarnation that was superseded.
 */

/** The current and the ended incarnations of an endpoint, as known to this instance. */
export interface IncarnationHistory {
  /** The current incarnation; empty until the endpoint has answered some instance. */
  readonly incarnation: string
  /** Number of observed changes of incarnation. */
  readonly generation: number
  /** Ended incarnations, newest last. */
  readonly past: readonly string[]
}

/** Order of another incarnation relative to the known one; `unclear` if neither history decides it. */
export type HistoryOrder = 'same' | 'older' | 'newer' | 'unclear'

/** Maximum number of ended incarnations kept per endpoint. */
const maxEndedIncarnations = 32

/**
 * Compares the local history of an endpoint with one received from another instance.
 *
 * @param known - the local history
 * @param received - the other instance's history
 * @returns the order of the received current incarnation relative to the known one
 */
export const compareHistories = (known: IncarnationHistory, received: IncarnationHistory): HistoryOrder => {
  if (received.incarnation === known.incarnation) return 'same'
  if (received.generation > known.generation && received.past.includes(known.incarnation)) return 'newer'
  if (received.incarnation === '' || known.past.includes(received.incarnation)) return 'older'
  if (known.incarnation === '' || received.past.includes(known.incarnation)) return 'newer'
  if (received.generation === known.generation) return 'unclear'
  return received.generation > known.generation ? 'newer' : 'older'
}

/**
 * Merges lists of ended incarnations and keeps the newest.
 *
 * @param current - the current incarnation, left out of the result
 * @param pasts - lists of ended incarnations, newest last
 * @returns the merged list, newest last
 */
export const mergeEndedIncarnations = (current: string, ...pasts: ReadonlyArray<readonly string[]>): readonly string[] => {
  const merged = new Set(pasts.flat())
  merged.delete(current)
  merged.delete('')
  return [...merged].slice(-maxEndedIncarnations)
}

/**
 * Makes an incarnation the current one and adds the previous one to the ended ones.
 *
 * @param known - the local history
 * @param incarnation - the new current incarnation
 * @returns the history after the change
 */
export const startIncarnation = (known: IncarnationHistory, incarnation: string): IncarnationHistory => ({
  incarnation,
  generation: known.generation + 1,
  past: mergeEndedIncarnations(incarnation, known.past, [known.incarnation])
})
