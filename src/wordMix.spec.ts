import { mixWord, mixWords } from './wordMix.js'

describe('word mixing', () => {
  it('gives the published values of the finalizer', () => {
    expect(mixWord(0)).toBe(0)
    expect(mixWord(1)).toBe(0x514e28b7)
    expect(mixWord(0xffffffff)).toBe(0x81f16f39)
  })

  it('tells the order of its words apart', () => {
    expect(mixWords(1, 2)).not.toBe(mixWords(2, 1))
  })
})
