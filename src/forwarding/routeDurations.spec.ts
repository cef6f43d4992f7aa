import { createRouteDurations, type RouteDurations } from './routeDurations.js'

const build = (count: number, duration: number): RouteDurations => {
  const durations = createRouteDurations()
  for (let index = 0; index < count; index++) durations.add('a', index === 0 ? duration : 10, true, 1_000)
  return durations
}

describe('the durations of a route', () => {
  it('name the longest once enough requests have ended, for each route', () => {
    expect(build(19, 700).longest('a', 1_000)).toBeUndefined()
    expect(build(20, 700).longest('a', 1_000)).toBe(700)
    expect(build(20, 700).longest('b', 1_000)).toBeUndefined()
  })

  it('take a request without a whole answer for one that may be longer, not for one that shows how long they are', () => {
    const durations = build(19, 700)
    for (let index = 0; index < 20; index++) durations.add('a', 5, false, 1_000)
    expect(durations.longest('a', 1_000)).toBeUndefined()
    durations.add('a', 10, true, 1_000)
    durations.add('a', 900, false, 1_000)
    expect(durations.longest('a', 1_000)).toBe(900)
  })

  it('keep the longest for as long as a window, and forget it after two', () => {
    const durations = build(20, 700)
    for (let index = 0; index < 20; index++) durations.add('a', 50, true, 35_000)
    expect(durations.longest('a', 40_000)).toBe(700)
    expect(durations.longest('a', 61_000)).toBe(50)
    expect(durations.longest('a', 200_000)).toBeUndefined()
  })
})
