/** Retries as a fraction of first attempts, per workspace. */

/** The budget of one workspace. */
export interface RetryBudget {
  readonly recordFirstAttempt: () => void
  /** Takes one retry, if there is one left. */
  readonly take: () => boolean
}

/** Retries that may be saved up. */
const maxSaved = 10
/** Retries that a workspace without history has. */
const firstSaved = 1

/**
 * Creates a budget.
 *
 * @param fraction - retries per first attempt
 * @returns the budget
 */
export const createRetryBudget = (fraction: number): RetryBudget => {
  let saved = firstSaved

  const recordFirstAttempt = (): void => {
    saved = Math.min(maxSaved, saved + fraction)
  }

  const take = (): boolean => {
    if (saved < 1) return false
    saved--
    return true
  }

  return { recordFirstAttempt, take }
}
