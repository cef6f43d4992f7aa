import { createRouteDurations, type RouteDurations } from './routeDurations.js'

const build = (count: number, duration: number): RouteDurations => {
  const durations = createRouteDurations()
  for (let index = 0; index < count; index++) durations.add('a', index === 0 ? duration : 10, 1_000)
  return durations
}

describe('the durations of a route', () => {
  it('name the longest once enough requests have ended, for each route', () => {
    expect(build(19, 700).longest('a', 1_000)).toBeUndefined()
    expect(build(20, 700).longest('a', 1_000)).toBe(700)
    expect(build(20, 700).longest('b', 1_000)).toBeUndefined()
  })

  it('keep the longest for as long as a window, and forget it after two', () => {
    const durations = build(20, 700)
    for (let index = 0; index < 20; index++) durations.add('a', 50, 35_000)
    expect(durations.longest('a', 40_000)).toBe(700)
    expect(durations.longest('a', 61_000)).toBe(50)
    expect(durations.longest('a', 200_000)).toBeUndefined()
  })
})
