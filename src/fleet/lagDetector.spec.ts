import { createLagDetector } from './lagDetector.js'

/** Runs ticks at these intervals in ms; returns whether the instance counts as lagging after each. */
const replay = (intervals: readonly number[]): readonly boolean[] => {
  const detector = createLagDetector(20)
  let now = 0
  detector.recordTick(now)
  return intervals.map(interval => {
    now += interval
    detector.recordTick(now)
    return detector.isLagging()
  })
}

describe('the lag detector', () => {
  it('reports no lag while ticks are on time or slightly late', () => {
    expect(replay([20, 21, 35, 20, 60, 20])).toEqual([false, false, false, false, false, false])
  })

  it('reports lag at once, and recovers after ticks have been on time for a while', () => {
    const states = replay([20, 400, ...Array.from({ length: 100 }, () => 20)])
    expect(states.slice(0, 3)).toEqual([false, true, true])
    expect(states.indexOf(false, 2) * 20).toBeGreaterThan(500)
    expect(states.at(-1)).toBe(false)
  })
})
