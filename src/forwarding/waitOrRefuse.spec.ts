import { decideWait, type WaitInput } from './waitOrRefuse.js'

const buildInput = (overrides: Partial<WaitInput> = {}): WaitInput =>
  ({ arrivedAt: 0, deadline: 5_000, objective: 400, lastEventAt: undefined, workersExhausted: false, hasLiveWorker: true, isRetry: false, pausedUntil: undefined, ...overrides })

describe('a request for which no worker is available', () => {
  it('waits at most half of its objective, and not past its deadline', () => {
    expect(decideWait(buildInput(), 10)).toEqual({ kind: 'wait', until: 200 })
    expect(decideWait(buildInput({ deadline: 150 }), 10)).toEqual({ kind: 'wait', until: 150 })
    expect(decideWait(buildInput(), 200)).toMatchObject({ kind: 'refuse', refusal: { kind: 'noWorker' } })
  })

  it('is refused at once if all workers asked for a longer pause, and told how long it lasts', () => {
    expect(decideWait(buildInput({ pausedUntil: 900 }), 10)).toEqual({ kind: 'refuse', refusal: { kind: 'turnedAway', wait: 890 } })
    expect(decideWait(buildInput({ pausedUntil: 150 }), 10)).toEqual({ kind: 'wait', until: 200 })
  })

  it('waits for as long as its caller waits for the next event if its stream has begun', () => {
    expect(decideWait(buildInput({ lastEventAt: 1_000, isRetry: true }), 1_100)).toEqual({ kind: 'wait', until: 2_500 })
    expect(decideWait(buildInput({ lastEventAt: 1_000, isRetry: true }), 2_500)).toMatchObject({ kind: 'refuse' })
    expect(decideWait(buildInput({ lastEventAt: 4_000 }), 4_100)).toEqual({ kind: 'wait', until: 5_000 })
  })

  it('is refused if it may be sent to no further worker', () => {
    expect(decideWait(buildInput({ workersExhausted: true }), 10)).toMatchObject({ kind: 'refuse', refusal: { kind: 'turnedAway' } })
    expect(decideWait(buildInput({ isRetry: true, hasLiveWorker: false }), 10)).toMatchObject({ kind: 'refuse', refusal: { kind: 'noWorker' } })
  })
})
