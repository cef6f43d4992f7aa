/** How many bytes an instance may hold for its callers: of their requests' bodies, and as many again of responses that they have not read. */

/** Share of the memory of the process that may be held. */
const memoryShare = 1 / 12
/** Least bound, in bytes: the largest plain answer, or request body, and as much again for the others. */
const minBound = 16_777_216
const maxBound = 268_435_456
/** Bound without a known limit of the memory, in bytes. */
const defaultBound = 67_108_864

/**
 * The bound for what is held for all callers together, in bytes.
 *
 * @param configured - the setting, in bytes; 0 derives the bound from the memory
 * @param memory - limit of the memory of this process, in bytes; undefined if it is not known
 */
export const heldBound = (configured: number, memory: number | undefined): number => {
  if (configured > 0) return configured
  if (memory === undefined || !(memory > 0)) return defaultBound
  return Math.min(maxBound, Math.max(minBound, Math.floor(memory * memoryShare)))
}
