/** The retry budget of a workspace: retries are limited to a fraction of its first attempts. */

/** The retry budget of one workspace. */
export interface RetryBudget {
  /** Records a first attempt, which adds to the budget. */
  readonly recordFirstAttempt: () => void
  /** Takes one retry from the budget, and returns whether there was one. */
  readonly take: () => boolean
}

/** Upper bound of the retries saved. */
const maxSaved = 10
/** Retries that a workspace has before its first attempt. */
const initialSaved = 1

/**
 * Creates a retry budget.
 *
 * @param fraction - retries allowed per first attempt
 * @returns the budget
 */
export const createRetryBudget = (fraction: number): RetryBudget => {
  let saved = initialSaved

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
