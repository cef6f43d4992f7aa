/** Waits for what another part of the process does, without a timer. */

/**
 * Lets the event loop turn until something holds.
 *
 * @param holds - asked once each turn
 */
export const waitFor = async (holds: () => boolean): Promise<void> => {
  while (!holds()) await new Promise(resolve => setImmediate(resolve))
}
