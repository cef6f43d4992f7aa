/** The hash chain of a prompt's blocks. */
import type { Hash } from '../../hash.js'

/** What separates one cache from another. */
export interface ChainIdentity {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
}

/**
 * Computes the chain.
 *
 * @param hash - hash functions
 * @param identity - seeds the chain
 * @param texts - the prompt's levels
 * @param blockBytes - bytes of text in one block
 * @returns the value after each block, as 16 hexadecimal digits
 */
export const chainOf = (hash: Hash, identity: ChainIdentity, texts: readonly string[], blockBytes: number): readonly string[] => {
  const { workspace, model, adapter = null, weightVersion } = identity
  let value = hash.h64(JSON.stringify([workspace, model, adapter, weightVersion]))
  const blocks: string[] = []
  for (const text of texts) {
    const bytes = Buffer.from(text, 'utf8')
    const count = Math.max(1, Math.ceil(bytes.length / blockBytes))
    for (let index = 0; index < count; index++) {
      value = hash.h64Raw(bytes.subarray(index * blockBytes, (index + 1) * blockBytes), value)
      blocks.push(value.toString(16).padStart(16, '0'))
    }
  }
  return blocks
}
