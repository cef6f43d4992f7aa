/** Waits, without a timer, for a condition that other code of the process brings about. */

/**
 * Waits until a condition holds.
 *
 * @param condition - checked once in each turn of the event loop
 */
export const waitFor = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await new Promise(resolve => setImmediate(resolve))
}
