/**
 * Mixes 32-bit words for rendezvous placement. Names and prompts are hashed by
 * xxHash once; what is done for every pair of a key and a candidate is this
 * finalizer of MurmurHash3 (Appleby, 2011), since a call into WebAssembly for
 * each of 600 workers would take most of a decision's time.
 */

const goldenRatio = 0x9e3779b1

/**
 * Spreads a word: every input bit affects every output bit.
 *
 * @param word - 32 bits
 * @returns 32 bits, unsigned
 */
export const mixWord = (word: number): number => {
  let mixed = word ^ (word >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Mixes two words into one.
 *
 * @param left - 32 bits
 * @param right - 32 bits
 * @returns 32 bits, unsigned
 */
export const mixWords = (left: number, right: number): number => mixWord(left ^ Math.imul(right, goldenRatio))
