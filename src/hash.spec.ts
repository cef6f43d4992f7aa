import { loadHash } from './hash.js'
import { createRandom } from './random.js'

describe('the hash and random functions', () => {
  it('return the published xxHash values', async () => {
    const hash = await loadHash()
    expect(hash.h64('')).toBe(0xef46db3751d8e999n)
    expect(hash.h32('')).toBe(0x02cc5d05)
  })

  it('return the same random sequence for the same seed', () => {
    const draw = (seed: number): number[] => {
      const random = createRandom(seed)
      return [random.below(100), random.below(100), random.below(100)]
    }
    expect(draw(7)).toEqual(draw(7))
    expect(draw(7)).not.toEqual(draw(8))
  })
})
