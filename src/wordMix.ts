/**
 * Mixes 32-bit words for rendezvous hashing. Names and prompts are hashed with
 * xxHash once. Each pair of a key and a candidate is hashed with this finalizer
 * of MurmurHash3 (Appleby, 2011), because a call into WebAssembly for each of
 * 600 workers would take most of the time of a decision.
 */

/** A prime close to 2^32 divided by the golden ratio. */
const goldenRatio = 0x9e3779b1

/**
 * Mixes the bits of a word, so that every input bit affects every output bit.
 *
 * @param word - a 32-bit integer
 * @returns an unsigned 32-bit integer
 */
export const mixWord = (word: number): number => {
  let mixed = word ^ (word >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Mixes two words into one; the result depends on their order.
 *
 * @param left - a 32-bit integer
 * @param right - a 32-bit integer
 * @returns an unsigned 32-bit integer
 */
export const mixWords = (left: number, right: number): number => mixWord(left ^ Math.imul(right, goldenRatio))
