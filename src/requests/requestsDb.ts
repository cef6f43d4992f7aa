/** Table of unfinished requests and attempts. */
import type { ActiveAttempt, ActiveRequest } from './requestsTypes.js'

/** The unfinished requests and attempts of one instance. */
export interface RequestsDb {
  readonly requests: Map<number, ActiveRequest>
  readonly attempts: Map<number, ActiveAttempt>
  /** Returns a new attempt number, unique in this process. */
  readonly nextAttempt: () => number
  /** Returns the unfinished request that an attempt belongs to. */
  readonly requestOfAttempt: (attempt: number) => ActiveRequest | undefined
}

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export const createRequestsDb = (): RequestsDb => {
  const requests = new Map<number, ActiveRequest>()
  const attempts = new Map<number, ActiveAttempt>()
  let lastAttempt = 0

  const requestOfAttempt = (attempt: number): ActiveRequest | undefined => {
    const activeAttempt = attempts.get(attempt)
    return activeAttempt === undefined ? undefined : requests.get(activeAttempt.request)
  }

  return { requests, attempts, nextAttempt: () => ++lastAttempt, requestOfAttempt }
}
