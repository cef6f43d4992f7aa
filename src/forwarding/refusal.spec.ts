import { createRandom } from '../random.js'
import { refusalResponse, outcomeOf, type Refusal } from './refusal.js'

const returnOf = (refusal: Refusal, unit: number): number => {
  const { headers } = refusalResponse(refusal, unit)
  return Number(headers[headers.indexOf('Retry-After') + 1])
}

describe('refusals', () => {
  it('say "not run" only where that is so', () => {
    expect(refusalResponse({ kind: 'overloaded', wait: 100 }, 0).status).toBe(503)
    expect(outcomeOf({ kind: 'late' })).toBe('unknown')
    expect(refusalResponse({ kind: 'late' }, 0).status).toBe(504)
    expect(refusalResponse({ kind: 'broken' }, 0).status).toBe(502)
  })

  it('name no time to come back where coming back is useless', () => {
    for (const kind of ['noRoute', 'unknownKey', 'late', 'broken'] as const) {
      expect(refusalResponse({ kind }, 0.5).headers).not.toContain('Retry-After')
    }
  })

  it('spread the return of a hundred callers that are turned away together, and let none come before there is a place', () => {
    const random = createRandom(7)
    const returns = Array.from({ length: 100 }, () => returnOf({ kind: 'overloaded', wait: 600 }, random.unit()))
    expect(Math.min(...returns)).toBeGreaterThanOrEqual(0.6)
    expect(Math.max(...returns)).toBeLessThanOrEqual(0.9)
    // No tenth of the span has more than a quarter of them.
    for (let from = 0.6; from < 0.9; from += 0.03) expect(returns.filter(at => at >= from && at < from + 0.03).length).toBeLessThanOrEqual(25)
  })
})
