/**
 * Hashing for placement and prefix identity, by xxHash. The library compiles
 * its WebAssembly asynchronously, so a process loads one `Hash` at start and
 * passes it to whatever needs it.
 */
import xxhash from 'xxhash-wasm'

/** Non-cryptographic hash functions, equal on every instance. */
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
 * @returns the functions, ready for synchronous use
 */
export const loadHash = async (): Promise<Hash> => {
  const { h32, h64, h64Raw } = await xxhash()
  return { h32, h64, h64Raw }
}
