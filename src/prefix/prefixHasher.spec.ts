import { loadHash } from '../hash.js'
import { createPrefixHasher } from './prefixHasher.js'
import type { CacheIdentity } from './prefixTypes.js'

const identity = (changes: Partial<CacheIdentity> = {}): CacheIdentity =>
  ({ workspace: 'lettings', model: 'm', weightVersion: 'w1', ...changes })

describe('the prefix hasher', () => {
  it('gives equal hashes to the blocks of equal leading messages and different ones after the first difference', async () => {
    const prefix = createPrefixHasher(await loadHash(), { blockBytes: 64 })
    const left = prefix.chain(identity(), ['g'.repeat(200), 'branch', 'listing 1'])
    const right = prefix.chain(identity(), ['g'.repeat(200), 'branch', 'listing 2'])
    expect(left.levels).toEqual([4, 5, 6])
    expect(left.blocks.slice(0, 5)).toEqual(right.blocks.slice(0, 5))
    expect(left.blocks[5]).not.toBe(right.blocks[5])
    expect(left.blocks.every(block => /^[0-9a-f]{16}$/.test(block))).toBe(true)
  })

  it('gives a different chain for any difference in the cache identity', async () => {
    const prefix = createPrefixHasher(await loadHash())
    const others = [identity({ workspace: 'sales' }), identity({ model: 'n' }), identity({ adapter: 'a' }), identity({ weightVersion: 'w2' })]
    const firstBlocks = new Set([identity(), ...others].map(cacheIdentity => prefix.chain(cacheIdentity, 'same prompt').blocks[0]))
    expect(firstBlocks.size).toBe(5)
  })

  it('distinguishes prompts whose messages differ only in their boundaries', async () => {
    const prefix = createPrefixHasher(await loadHash())
    expect(prefix.chain(identity(), ['ab', 'c']).blocks.at(-1)).not.toBe(prefix.chain(identity(), ['a', 'bc']).blocks.at(-1))
  })

  it('estimates tokens from UTF-8 bytes and keeps an empty message as a level', async () => {
    const chain = createPrefixHasher(await loadHash()).chain(identity(), ['żółw', ''])
    expect(chain.tokens).toBe(2)
    expect(chain.levels).toEqual([1, 2])
  })
})
