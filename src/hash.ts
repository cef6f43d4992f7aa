/**
 * xxHash functions for placement and for identifying prompt prefixes. The
 * library compiles its WebAssembly asynchronously, so a process loads one
 * `Hash` at startup and passes it to the modules that need it.
 */
import xxhash from 'xxhash-wasm'

/** Non-cryptographic hash functions with the same results on every instance. */
export interface Hash {
  /** 32-bit hash of a string. */
  readonly h32: (text: string, seed?: number) => number
  /** 64-bit hash of a string. */
  readonly h64: (text: string, seed?: bigint) => bigint
  /** 64-bit hash of bytes. */
  readonly h64Raw: (bytes: Uint8Array, seed?: bigint) => bigint
}

/**
 * Loads the hash functions.
 *
 * @returns the functions, which can be called synchronously
 */
export const loadHash = async (): Promise<Hash> => {
  const { h32, h64, h64Raw } = await xxhash()
  return { h32, h64, h64Raw }
}
