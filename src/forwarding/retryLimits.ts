/** Limits of retries that hold for each request. */

/** Maximum number of retries of one request whose attempts failed; after that its caller gets an error. */
export const maxRetries = 4
/** Number of workers that may have crashed of one request; after that it is not retried. */
export const maxCrashes = 2
/** Maximum number of second attempts of one request beside silent ones; those that reached no worker are not counted. */
export const maxSecondAttempts = 4
