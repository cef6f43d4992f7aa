/**
 * The succession of incarnations of one endpoint. Late reports of an incarnation
 * that was superseded are known as such by the list of those that ended.
 */

/** What is known of an endpoint's incarnations. */
export interface IncarnationHistory {
  /** Empty until the endpoint has answered someone. */
  readonly incarnation: string
  /** Counts the changes of incarnation that were observed. */
  readonly generation: number
  /** Incarnations that ended, newest last. */
  readonly past: readonly string[]
}

/** How another incarnation stands to the known one. */
export type HistoryOrder = 'same' | 'older' | 'newer' | 'unclear'

/** Ended incarnations that are remembered per endpoint. */
const rememberedPast = 32

/**
 * Judges a lineage that another instance tells.
 *
 * @param known - what is known here
 * @param told - what the other instance knows
 * @returns how the told incarnation stands to the known one
 */
export const compareHistories = (known: IncarnationHistory, told: IncarnationHistory): HistoryOrder => {
  if (told.incarnation === known.incarnation) return 'same'
  if (told.generation > known.generation && told.past.includes(known.incarnation)) return 'newer'
  if (told.incarnation === '' || known.past.includes(told.incarnation)) return 'older'
  if (known.incarnation === '' || told.past.includes(known.incarnation)) return 'newer'
  if (told.generation === known.generation) return 'unclear'
  return told.generation > known.generation ? 'newer' : 'older'
}

/**
 * Joins what two instances know of the past.
 *
 * @param current - the incarnation that stays
 * @param pasts - ended incarnations, newest last
 * @returns the joined past without the current incarnation
 */
export const mergeEndedIncarnations = (current: string, ...pasts: ReadonlyArray<readonly string[]>): readonly string[] => {
  const joined = new Set(pasts.flat())
  joined.delete(current)
  joined.delete('')
  return [...joined].slice(-rememberedPast)
}

/**
 * Continues a lineage with a new incarnation.
 *
 * @param known - what is known here
 * @param incarnation - the incarnation that follows
 * @returns the lineage after the change
 */
export const startIncarnation = (known: IncarnationHistory, incarnation: string): IncarnationHistory => ({
  incarnation,
  generation: known.generation + 1,
  past: mergeEndedIncarnations(incarnation, known.past, [known.incarnation])
})
