/**
 * Computes the hash chain of a prompt. Each block is hashed with the hash of the
 * block before it as the seed, and the first block with a hash of the cache
 * identity, so that equal hashes mean equal prefixes in the same workspace,
 * model, adapter and weight version. A block never spans two levels: the hash at
 * the end of a level identifies the prefix up to that level in every prompt.
 */
import type { Hash } from '../hash.js'
import type { CacheIdentity, PrefixHasher, PrefixChain, PrefixHasherOptions } from './prefixTypes.js'
import { bytesPerToken, prefixHasherDefaults } from './prefixTypes.js'

/** Hexadecimal digits of a 64-bit hash. */
const hexDigits = 16
/** Hexadecimal digits of a 32-bit word. */
const wordDigits = 8

const identitySeed = (hash: Hash, identity: CacheIdentity): bigint =>
  hash.h64(JSON.stringify([identity.workspace, identity.model, identity.adapter ?? null, identity.weightVersion]))

/** A chain under construction. */
interface ChainBuilder {
  readonly blocks: string[]
  readonly tokenEnds: number[]
  readonly levels: number[]
  /** Hash after the last block. */
  value: bigint
  /** Bytes of text in all blocks so far. */
  bytes: number
}

const appendBlock = (hash: Hash, builder: ChainBuilder, bytes: Uint8Array): void => {
  builder.value = hash.h64Raw(bytes, builder.value)
  builder.bytes += bytes.length
  builder.blocks.push(builder.value.toString(16).padStart(hexDigits, '0'))
  builder.tokenEnds.push(Math.ceil(builder.bytes / bytesPerToken))
}

const appendLevel = (hash: Hash, builder: ChainBuilder, text: string, blockBytes: number): void => {
  const bytes = Buffer.from(text, 'utf8')
  const count = Math.max(1, Math.ceil(bytes.length / blockBytes))
  for (let index = 0; index < count; index++) {
    appendBlock(hash, builder, bytes.subarray(index * blockBytes, (index + 1) * blockBytes))
  }
  builder.levels.push(builder.blocks.length)
}

/**
 * Splits the hash of a block into 32-bit words.
 *
 * @param block - 16 hexadecimal digits
 * @returns the high and the low word
 */
export const blockWords = (block: string): readonly [number, number] =>
  [parseInt(block.slice(0, wordDigits), 16), parseInt(block.slice(wordDigits), 16)]

const wordsOf = (blocks: readonly string[]): Uint32Array => {
  const words = new Uint32Array(blocks.length * 2)
  blocks.forEach((block, index) => {
    words[2 * index] = parseInt(block.slice(0, wordDigits), 16)
    words[2 * index + 1] = parseInt(block.slice(wordDigits), 16)
  })
  return words
}

/**
 * Creates a prefix hasher.
 *
 * @param hash - hash functions
 * @param options - block size; must be the same on every instance
 * @returns the prefix hasher
 */
export const createPrefixHasher = (hash: Hash, options: PrefixHasherOptions = prefixHasherDefaults): PrefixHasher => {
  const chain = (identity: CacheIdentity, prompt: string | readonly string[]): PrefixChain => {
    const texts = typeof prompt === 'string' ? [prompt] : prompt
    const builder: ChainBuilder = { blocks: [], tokenEnds: [], levels: [], value: identitySeed(hash, identity), bytes: 0 }
    for (const text of texts) appendLevel(hash, builder, text, options.blockBytes)
    const { blocks, tokenEnds, levels } = builder
    return { blocks, words: wordsOf(blocks), tokenEnds, levels, tokens: tokenEnds.at(-1) ?? 0 }
  }
  return { chain }
}
