/** The identity of a cached prompt prefix: a chain of block hashes. */

/** What separates one cache from another; any difference gives another chain. */
export interface CacheIdentity {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
}

/** The hash chain of one prompt. A level is a message of a chat, or the whole of a plain prompt. */
export interface PrefixChain {
  /** The chain's value after each block, as 16 hexadecimal digits. */
  readonly blocks: readonly string[]
  /** The same values as pairs of 32-bit words: high, low. */
  readonly words: Uint32Array
  /** Tokens from the start of the prompt to the end of each block, estimated. */
  readonly tokenEnds: readonly number[]
  /** Number of blocks from the start of the prompt to the end of each level. */
  readonly levels: readonly number[]
  /** Tokens of the whole prompt, estimated. */
  readonly tokens: number
}

/** Settings of the chain; they must be equal on every instance. */
export interface PrefixHasherOptions {
  /** Bytes of prompt text in one block. */
  readonly blockBytes: number
}

/** Computes chains. */
export interface PrefixHasher {
  readonly chain: (identity: CacheIdentity, prompt: string | readonly string[]) => PrefixChain
}

/** Bytes of UTF-8 text that make one token, on average. */
export const bytesPerToken = 4

/** Settings that suit prompts of some thousand tokens. */
export const prefixHasherDefaults: PrefixHasherOptions = { blockBytes: 512 }
