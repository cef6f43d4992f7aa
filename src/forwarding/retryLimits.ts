/** Limits of retries that hold for each request. */

/** Maximum number of retries of one request, second attempts included; after that its caller gets an error. */
export const maxRetries = 4
