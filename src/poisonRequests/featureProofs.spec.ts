import { createFeatureProofs } from './featureProofs.js'
import type { PoisonAttempt } from './poisonRequestsTypes.js'

const attempt = (id: number, workerStartedAt = 1): PoisonAttempt => ({ id, worker: 'w1', workerStartedAt, sentAt: 0, answered: true, begunAt: 0 })

const build = () => {
  const proofs = createFeatureProofs()
  /** Ticks every 50 ms up to a time. */
  const tickTo = (from: number, to: number): void => { for (let now = from; now <= to; now += 50) proofs.tick(now) }
  return { proofs, tickTo }
}

describe('a part of a prompt', () => {
  it('is proven sound by a worker that is heard long enough after it began, through any attempt', () => {
    const { proofs, tickTo } = build()
    proofs.begin(attempt(1), 'llm', ['a'], 1_000)
    proofs.begin(attempt(2), 'llm', ['b'], 1_100)
    tickTo(1_000, 1_350)
    expect(proofs.hear('w1', 1, 1_250)).toEqual([])
    expect(proofs.hear('w1', 1, 1_350)).toEqual([{ scope: 'llm', feature: 'a', begunAt: 1_000 }])
    expect(proofs.lastOf({ scope: 'llm', feature: 'a' })).toBe(1_000)
    expect(proofs.lastOf({ scope: 'llm', feature: 'b' })).toBeUndefined()
  })

  it('is not proven by an attempt that was cut or cancelled, nor by another lifetime of the worker', () => {
    const { proofs, tickTo } = build()
    proofs.begin(attempt(1), 'llm', ['a'], 1_000)
    proofs.begin(attempt(2), 'llm', ['b'], 1_000)
    proofs.drop('w1', 1)
    tickTo(1_000, 1_500)
    expect(proofs.hear('w1', 2, 1_500)).toEqual([])
    expect(proofs.hear('w1', 1, 1_500)).toEqual([])
  })

  it('is not proven by data that is read after the instance stood still', () => {
    const { proofs } = build()
    proofs.tick(1_000)
    proofs.begin(attempt(1), 'llm', ['a'], 1_000)
    expect(proofs.hear('w1', 1, 1_600)).toEqual([])
    proofs.tick(1_601)
    expect(proofs.hear('w1', 1, 1_700)).toEqual([])
  })
})
