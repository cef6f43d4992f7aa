import { createReadLease, type Moment } from './readLease.js'

const at = (steady: number, wall = steady): Moment => ({ steady, wall })

describe('the read lease', () => {
  it('has an infinite age without a proof', () => {
    expect(createReadLease().age(at(0))).toBe(Infinity)
  })

  it('is as old as the request whose response proved the version', () => {
    const lease = createReadLease()
    lease.renew(at(100))
    expect(lease.age(at(350))).toBe(250)
  })

  it('ignores a proof older than the current one', () => {
    const lease = createReadLease()
    lease.renew(at(200))
    lease.renew(at(100))
    expect(lease.age(at(250))).toBe(50)
  })

  it('ages while the machine is suspended and its monotonic clock stops', () => {
    const lease = createReadLease()
    lease.renew(at(100, 1_000))
    expect(lease.age(at(110, 9_000))).toBe(8_000)
  })

  it('does not lose age when the time of day is set back', () => {
    const lease = createReadLease()
    lease.renew(at(100, 1_000))
    expect(lease.age(at(700, 200))).toBe(600)
  })
})
