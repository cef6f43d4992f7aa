import { createLoadTime } from './loadTime.js'

describe('the load time', () => {
  it('is learned from the statuses before and after the end of a load', () => {
    const time = createLoadTime()
    for (let load = 0; load < 20; load++) time.noteLoad(900, 1_020)
    expect(time.expected()).toBeCloseTo(810)
  })

  it('is not raised by a load of which only the end was seen, since it may have ended before', () => {
    const time = createLoadTime()
    time.noteLoad(0, 2_000)
    expect(time.expected()).toBe(600)
  })

  it('is lowered by a load that was found finished sooner than expected', () => {
    const time = createLoadTime()
    time.noteLoad(900, 1_020)
    for (let load = 0; load < 20; load++) time.noteLoad(0, 400)
    expect(time.expected()).toBeLessThan(400)
  })
})
