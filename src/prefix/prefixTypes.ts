/** Types of prompt prefix hashing: a cached prefix is identified by a chain of block hashes. */

/** The scope of a cached prefix: chains of different identities have no hash in common. */
export interface CacheIdentity {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
}

/** The hash chain of one prompt. A level is one message of a chat, or the whole of a plain text prompt. */
export interface PrefixChain {
  /** The chained hash after each block, as 16 hexadecimal digits. */
  readonly blocks: readonly string[]
  /** The same hashes as pairs of 32-bit words, the high word first. */
  readonly words: Uint32Array
  /** Estimated number of tokens from the start of the prompt to the end of each block. */
  readonly tokenEnds: readonly number[]
  /** Number of blocks from the start of the prompt to the end of each level. */
  readonly levels: readonly number[]
  /** Estimated number of tokens of the whole prompt. */
  readonly tokens: number
}

/** Options of a prefix hasher. They must be the same on every instance, or their hashes do not match. */
export interface PrefixHasherOptions {
  /** Maximum size of a block of prompt text, in bytes. */
  readonly blockBytes: number
}

/** Computes hash chains of prompts. */
export interface PrefixHasher {
  /**
   * Computes the hash chain of a prompt.
   *
   * @param identity - scope of the cache
   * @param prompt - a plain text prompt, or the texts of the messages of a chat
   * @returns the chain, with at least one block for each message
   */
  readonly chain: (identity: CacheIdentity, prompt: string | readonly string[]) => PrefixChain
}

/** Average size of a token, in bytes of UTF-8 text. */
export const bytesPerToken = 4

/** Default options, suited to prompts of a few thousand tokens. */
export const prefixHasherDefaults: PrefixHasherOptions = { blockBytes: 512 }
