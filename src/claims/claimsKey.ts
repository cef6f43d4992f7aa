/** Idempotency keys: UUIDs of version 7, which carry the time they were made. */

const pattern = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/**
 * The time in a key.
 *
 * @param key - as the caller sent it
 * @returns ms since the epoch, or undefined if the key is no UUID of version 7 in lower case
 */
export const keyTime = (key: string): number | undefined =>
  pattern.test(key) ? Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16) : undefined
