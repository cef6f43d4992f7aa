/** Guards against clients that take all descriptors of an instance, and against the loss of connections that others use. */
import { connectionLimitsOf, connectionToClose, type ConnectionUse } from './connectionLimit.js'

const choose = (uses: Readonly<Record<string, ConnectionUse>>): string | undefined => connectionToClose(Object.entries(uses), 1_000)

describe('the connection that is closed for a new one', () => {
  it('is the oldest one without a request', () => {
    expect(choose({ a: { kind: 'idle', since: 0 }, b: { kind: 'unused', since: 900 }, c: { kind: 'unused', since: 800 }, d: { kind: 'busy' } })).toBe('c')
  })

  it('is the one whose body has stopped the longest, if each has a request', () => {
    expect(choose({ a: { kind: 'idle', since: 0 }, b: { kind: 'reading', since: 700 }, c: { kind: 'reading', since: 600 } })).toBe('c')
  })

  it('is the one that has been idle the longest, if no body has stopped', () => {
    expect(choose({ a: { kind: 'idle', since: 500 }, b: { kind: 'reading', since: 950 }, c: { kind: 'idle', since: 300 }, d: { kind: 'busy' } })).toBe('c')
  })

  it('is none if all are in use', () => {
    expect(choose({ a: { kind: 'busy' }, b: { kind: 'reading', since: 999 } })).toBeUndefined()
    expect(choose({})).toBeUndefined()
  })
})

describe('the limits of connections', () => {
  it('leave descriptors to the instance itself', () => {
    for (const descriptors of [400, 2_069, 10_250]) {
      const { callers, status } = connectionLimitsOf(descriptors)
      expect(callers + 3 * status).toBeLessThanOrEqual(descriptors * 0.75)
    }
    expect(connectionLimitsOf(undefined)).toEqual({ callers: Infinity, status: Infinity })
    expect(connectionLimitsOf(10)).toEqual({ callers: 16, status: 16 })
  })
})
