import { createWaitingQueue, type QueuedRequest } from './waitingQueue.js'

const build = (request: number, overrides: Partial<QueuedRequest> = {}): QueuedRequest => ({ request, priority: 1, since: request, expiresAt: 1_000, ...overrides })

describe('the waiting queue', () => {
  it('orders requests by priority, then by age', () => {
    const queue = createWaitingQueue()
    for (const entry of [build(3), build(1), build(2, { priority: 0 })]) queue.add(entry)
    expect(queue.inOrder().map(({ request }) => request)).toEqual([2, 1, 3])
  })

  it('returns each expired request once, and none that was removed before', () => {
    const queue = createWaitingQueue()
    queue.add(build(1, { expiresAt: 100 }))
    queue.add(build(2, { expiresAt: 100 }))
    queue.add(build(3, { expiresAt: 200 }))
    queue.remove(2)
    expect(queue.nextExpiry()).toBe(100)
    expect(queue.removeExpired(100).map(({ request }) => request)).toEqual([1])
    expect(queue.removeExpired(150)).toEqual([])
    expect(queue.size()).toBe(1)
  })

  /** All workers are unavailable for 150 ms while eleven requests arrive every 10 ms; then one slot becomes free every 10 ms. */
  it('keeps no request past its expiry, and serves none before an older one, when all workers are unavailable for a short time', () => {
    const queue = createWaitingQueue()
    const served: number[] = []
    const rejected: number[] = []
    let last = 0
    for (let now = 0; now < 600; now += 10) {
      const arrivals = now < 150 ? 11 : 0
      for (let count = 0; count < arrivals; count++) {
        last++
        queue.add(build(last, { since: now, expiresAt: now + 150 }))
      }
      rejected.push(...queue.removeExpired(now).map(({ request }) => request))
      const [next] = now < 150 ? [] : queue.inOrder()
      if (next === undefined) continue
      expect(now).toBeLessThan(next.expiresAt)
      queue.remove(next.request)
      served.push(next.request)
    }
    expect(queue.size()).toBe(0)
    expect(served.length + rejected.length).toBe(last)
    expect(served).toEqual([...served].sort((left, right) => left - right))
  })
})
