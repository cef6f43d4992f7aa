/** Requests and dispatches that are not finished. */
import type { ActiveAttempt, ActiveRequest } from './requestsTypes.js'

/** The unfinished requests and attempts of one instance. */
export interface RequestsDb {
  readonly requests: Map<number, ActiveRequest>
  readonly attempts: Map<number, ActiveAttempt>
  readonly nextAttempt: () => number
  /** The unfinished request of an attempt. */
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
  let counter = 0

  const ofAttempt = (attempt: number): ActiveRequest | undefined => {
    const known = attempts.get(attempt)
    return known === undefined ? undefined : requests.get(known.request)
  }

  return { requests, attempts, nextAttempt: () => ++counter, requestOfAttempt: ofAttempt }
}
