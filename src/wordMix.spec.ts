import { mixWord, mixWords } from './wordMix.js'

describe('word mixing', () => {
  it('returns the published values of the MurmurHash3 finalizer', () => {
    expect(mixWord(0)).toBe(0)
    expect(mixWord(1)).toBe(0x514e28b7)
    expect(mixWord(0xffffffff)).toBe(0x81f16f39)
  })

  it('depends on the order of the words', () => {
    expect(mixWords(1, 2)).not.toBe(mixWords(2, 1))
  })
})
