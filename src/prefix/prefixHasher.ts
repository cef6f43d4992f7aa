/**
 * Computes the hash chain of a prompt. Each block's value is the hash of its
 * text seeded by the value before it, and the first is seeded by the cache
 * identity, so that an equal value means an equal prefix in the same workspace,
 * model, adapter and weight version. A block never spans two levels: the value
 * at the end of a level names that level wherever it occurs.
 */
import type { Hash } from '../hash.js'
import type { CacheIdentity, PrefixHasher, PrefixChain, PrefixHasherOptions } from './prefixTypes.js'
import { bytesPerToken, prefixHasherDefaults } from './prefixTypes.js'

const hexDigits = 16
const halfDigits = 8

const identitySeed = (hash: Hash, identity: CacheIdentity): bigint =>
  hash.h64(JSON.stringify([identity.workspace, identity.model, identity.adapter ?? null, identity.weightVersion]))

interface Growing {
  readonly blocks: string[]
  readonly tokenEnds: number[]
  readonly levels: number[]
  value: bigint
  bytes: number
}

const appendBlock = (hash: Hash, growing: Growing, bytes: Uint8Array): void => {
  growing.value = hash.h64Raw(bytes, growing.value)
  growing.bytes += bytes.length
  growing.blocks.push(growing.value.toString(16).padStart(hexDigits, '0'))
  growing.tokenEnds.push(Math.ceil(growing.bytes / bytesPerToken))
}

const appendLevel = (hash: Hash, growing: Growing, text: string, blockBytes: number): void => {
  const bytes = Buffer.from(text, 'utf8')
  const count = Math.max(1, Math.ceil(bytes.length / blockBytes))
  for (let index = 0; index < count; index++) {
    appendBlock(hash, growing, bytes.subarray(index * blockBytes, (index + 1) * blockBytes))
  }
  growing.levels.push(growing.blocks.length)
}

/**
 * Splits a block's value into 32-bit words.
 *
 * @param block - 16 hexadecimal digits
 * @returns the high and the low word
 */
export const blockWords = (block: string): readonly [number, number] =>
  [parseInt(block.slice(0, halfDigits), 16), parseInt(block.slice(halfDigits), 16)]

const wordsOf = (blocks: readonly string[]): Uint32Array => {
  const words = new Uint32Array(blocks.length * 2)
  blocks.forEach((block, index) => {
    words[2 * index] = parseInt(block.slice(0, halfDigits), 16)
    words[2 * index + 1] = parseInt(block.slice(halfDigits), 16)
  })
  return words
}

/**
 * Creates the function that computes chains.
 *
 * @param hash - the process's hash functions
 * @param options - settings, equal on every instance
 * @returns the chain function
 */
export const createPrefixHasher = (hash: Hash, options: PrefixHasherOptions = prefixHasherDefaults): PrefixHasher => {
  const chain = (identity: CacheIdentity, prompt: string | readonly string[]): PrefixChain => {
    const texts = typeof prompt === 'string' ? [prompt] : prompt
    const growing: Growing = { blocks: [], tokenEnds: [], levels: [], value: identitySeed(hash, identity), bytes: 0 }
    for (const text of texts) appendLevel(hash, growing, text, options.blockBytes)
    const { blocks, tokenEnds, levels } = growing
    return { blocks, words: wordsOf(blocks), tokenEnds, levels, tokens: tokenEnds.at(-1) ?? 0 }
  }
  return { chain }
}
