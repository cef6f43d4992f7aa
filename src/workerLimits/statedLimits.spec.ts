import { createStatedLimits } from './statedLimits.js'

const limit = (perSecond: number, statedAt: number, startedAt = 1) => ({ worker: 'w1', startedAt, perSecond, statedAt })

describe('the limits that workers state', () => {
  it('change with newer statements and not with older ones', () => {
    const limits = createStatedLimits()
    expect(limits.state(limit(2, 100))).toBe('stated')
    expect(limits.state(limit(2, 110))).toBe('none')
    expect(limits.state(limit(1, 120))).toBe('changed')
    expect(limits.state(limit(2, 115))).toBe('none')
    expect(limits.get('w1', 1)?.perSecond).toBe(1)
  })

  it('end with a response without one, unless its request was sent before the last statement', () => {
    const limits = createStatedLimits()
    limits.state(limit(2, 100))
    expect(limits.withdraw('w1', 1, 90)).toBe('none')
    expect(limits.withdraw('w1', 1, 101)).toBe('withdrawn')
    expect(limits.get('w1', 1)).toBeUndefined()
    expect(limits.withdraw('w1', 1, 200)).toBe('none')
  })

  it('hold for one lifetime of a worker', () => {
    const limits = createStatedLimits()
    limits.state(limit(2, 100, 7))
    expect(limits.get('w1', 8)).toBeUndefined()
    expect(limits.withdraw('w1', 8, 300)).toBe('none')
    expect(limits.state(limit(3, 200, 6))).toBe('none')
    expect(limits.state(limit(3, 200, 8))).toBe('stated')
    expect(limits.get('w1', 7)).toBeUndefined()
  })
})
