/** Idempotency keys for tests. */

/**
 * A UUID of version 7.
 *
 * @param time - ms since the epoch
 * @param serial - tells keys of the same time apart
 */
export const createIdempotencyKey = (time: number, serial = 1): string => {
  const stamp = time.toString(16).padStart(12, '0')
  return `${stamp.slice(0, 8)}-${stamp.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`
}
