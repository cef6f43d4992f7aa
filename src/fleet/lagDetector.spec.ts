import { createLagDetector } from './lagDetector.js'

/** Ticks at these intervals, and what was believed after each. */
const play = (intervals: readonly number[]): readonly boolean[] => {
  const strain = createLagDetector(20)
  let now = 0
  strain.recordTick(now)
  return intervals.map(interval => {
    now += interval
    strain.recordTick(now)
    return strain.isLagging()
  })
}

describe('the strain of an instance', () => {
  it('is none while ticks come in time, or one is a little late', () => {
    expect(play([20, 21, 35, 20, 60, 20])).toEqual([false, false, false, false, false, false])
  })

  it('is seen at once, and forgotten when ticks have been in time for a while', () => {
    const beliefs = play([20, 400, ...Array.from({ length: 100 }, () => 20)])
    expect(beliefs.slice(0, 3)).toEqual([false, true, true])
    expect(beliefs.indexOf(false, 2) * 20).toBeGreaterThan(500)
    expect(beliefs.at(-1)).toBe(false)
  })
})
