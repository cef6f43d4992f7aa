/** Limits of retries that hold for each request. */

/** Maximum number of retries of one request whose attempts failed; after that its caller gets an error. */
export const maxRetries = 4
/** Maximum number of second attempts of one request beside silent ones; those that reached no worker are not counted. */
export const maxSecondAttempts = 4
