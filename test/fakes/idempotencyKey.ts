/** Idempotency keys for tests. */

/**
 * Creates an idempotency key, a UUID of version 7.
 *
 * @param time - timestamp in the key, in ms since 1970
 * @param serial - distinguishes keys with the same timestamp
 * @returns the key
 */
export const createIdempotencyKey = (time: number, serial = 1): string => {
  const timestamp = time.toString(16).padStart(12, '0')
  return `${timestamp.slice(0, 8)}-${timestamp.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`
}
