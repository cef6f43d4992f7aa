import { createRetryBudget } from './retryBudget.js'

const bounds = { fraction: 0.2, slack: 50, window: 10_000 }

const takeAll = (instances: number, requests: number): number => {
  const window = createRetryBudget(bounds)
  for (let at = 0; at < requests; at++) window.recordRequest(at)
  let taken = 0
  while (window.take(instances, requests)) taken++
  return taken
}

describe('the retry budget', () => {
  it('keeps all instances together below the fraction and the slack', () => {
    const instances = 6
    const requestsEach = 100
    expect(instances * takeAll(instances, requestsEach)).toBeLessThanOrEqual(bounds.fraction * instances * requestsEach + bounds.slack)
  })

  it('leaves repeats to an instance that is alone', () => {
    expect(takeAll(1, 0)).toBeGreaterThan(20)
  })

  it('gives repeats back when the window has passed', () => {
    const window = createRetryBudget(bounds)
    while (window.take(1, 0));
    expect(window.take(1, 5_000)).toBe(false)
    expect(window.take(1, 12_000)).toBe(true)
  })
})
