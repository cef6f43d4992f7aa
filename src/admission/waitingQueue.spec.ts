import { createWaitingQueue, type QueuedRequest } from './waitingQueue.js'

const build = (request: number, over: Partial<QueuedRequest> = {}): QueuedRequest => ({ request, priority: 1, since: request, expiresAt: 1_000, ...over })

describe('the waiting line', () => {
  it('serves the most urgent first, then the oldest', () => {
    const line = createWaitingQueue()
    for (const waiting of [build(3), build(1), build(2, { priority: 0 })]) line.add(waiting)
    expect(line.inOrder().map(({ request }) => request)).toEqual([2, 1, 3])
  })

  it('gives back each overdue request once, and forgets the removed', () => {
    const line = createWaitingQueue()
    line.add(build(1, { expiresAt: 100 }))
    line.add(build(2, { expiresAt: 100 }))
    line.add(build(3, { expiresAt: 200 }))
    line.remove(2)
    expect(line.nextExpiry()).toBe(100)
    expect(line.removeExpired(100).map(({ request }) => request)).toEqual([1])
    expect(line.removeExpired(150)).toEqual([])
    expect(line.size()).toBe(1)
  })

  /** All workers are away for 150 ms while eleven requests come each 10 ms; then one place comes free each 10 ms. */
  it('keeps no request beyond its time, and lets none go before an older one, in a spell without workers', () => {
    const line = createWaitingQueue()
    const served: number[] = []
    const turnedAway: number[] = []
    let last = 0
    for (let now = 0; now < 600; now += 10) {
      const arrivals = now < 150 ? 11 : 0
      for (let count = 0; count < arrivals; count++) {
        last++
        line.add(build(last, { since: now, expiresAt: now + 150 }))
      }
      turnedAway.push(...line.removeExpired(now).map(({ request }) => request))
      const [next] = now < 150 ? [] : line.inOrder()
      if (next === undefined) continue
      expect(now).toBeLessThan(next.expiresAt)
      line.remove(next.request)
      served.push(next.request)
    }
    expect(line.size()).toBe(0)
    expect(served.length + turnedAway.length).toBe(last)
    expect(served).toEqual([...served].sort((left, right) => left - right))
  })
})
