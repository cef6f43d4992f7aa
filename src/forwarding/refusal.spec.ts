import { createRandom } from '../random.js'
import { refusalResponse, outcomeOf, type Refusal } from './refusal.js'

const retryAfterOf = (refusal: Refusal, unit: number): number => {
  const { headers } = refusalResponse(refusal, unit)
  return Number(headers[headers.indexOf('Retry-After') + 1])
}

describe('refusals', () => {
  it('state "not run" only if no worker can have run the request', () => {
    expect(refusalResponse({ kind: 'overloaded', wait: 100 }, 0).status).toBe(503)
    expect(outcomeOf({ kind: 'late' })).toBe('unknown')
    expect(refusalResponse({ kind: 'late' }, 0).status).toBe(504)
    expect(refusalResponse({ kind: 'broken' }, 0).status).toBe(502)
  })

  it('have no Retry-After header if a retry would not help', () => {
    for (const kind of ['noRoute', 'unknownKey', 'late', 'broken'] as const) {
      expect(refusalResponse({ kind }, 0.5).headers).not.toContain('Retry-After')
    }
  })

  it('spread the retries of a hundred callers that are refused together, none of them before the expected wait is over', () => {
    const random = createRandom(7)
    const retryTimes = Array.from({ length: 100 }, () => retryAfterOf({ kind: 'overloaded', wait: 600 }, random.unit()))
    expect(Math.min(...retryTimes)).toBeGreaterThanOrEqual(0.6)
    expect(Math.max(...retryTimes)).toBeLessThanOrEqual(0.9)
    // No tenth of the time span has more than a quarter of the retries.
    for (let from = 0.6; from < 0.9; from += 0.03) expect(retryTimes.filter(at => at >= from && at < from + 0.03).length).toBeLessThanOrEqual(25)
  })
})
