/** Idempotency keys: UUIDs of version 7, which contain their time of creation. */

const uuidV7Pattern = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/**
 * Reads the time of creation from an idempotency key.
 *
 * @param key - the key as sent by the caller
 * @returns ms since the epoch, or undefined if the key is not a lower-case UUID of version 7
 */
export const keyTime = (key: string): number | undefined =>
  uuidV7Pattern.test(key) ? Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16) : undefined
