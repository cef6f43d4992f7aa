/**
 * Limits how many prompt tokens the instances of a large fleet send to the part
 * store. The limit is made for a load in which hundreds of instances serve more
 * distinct prompts than the store holds: if each of them stored what it has not
 * stored itself, the store would evict parts before they are used again, and its
 * link would delay the requests that fetch parts. The fleet's rate is therefore
 * bounded so that a stored part survives long enough to be used again; each
 * instance takes an equal share without coordination.
 */

/** The budget of one instance; times in ms. */
export interface StoreBudget {
  /**
   * Takes tokens from the budget.
   *
   * @param tokens - tokens of the prompt to be stored
   * @param capacity - tokens that the part store holds
   * @param instances - number of instances that share the limit
   * @param now - present time
   * @returns whether the prompt may be stored; nothing is taken if not
   */
  readonly take: (tokens: number, capacity: number, instances: number, now: number) => boolean
}

/** Time for which a stored part should survive, in ms: the store's whole content is replaced at most once in it. */
const minSurvival = 20_000
/** Longest time without a stored prompt that adds to the budget, in ms. */
const maxSavedTime = 10_000

/** Creates a budget that allows one prompt at once. */
export const createStoreBudget = (): StoreBudget => {
  /** Tokens that may be stored; a prompt may overdraw them, and the next one waits until they are positive again. */
  let available = 0
  let updatedAt: number | undefined

  return {
    take: (tokens, capacity, instances, now) => {
      const tokensPerMs = capacity / minSurvival / Math.max(1, instances)
      available = Math.min(available + (now - (updatedAt ?? now)) * tokensPerMs, maxSavedTime * tokensPerMs)
      updatedAt = now
      if (available < 0) return false
      available -= tokens
      return true
    }
  }
}
