import { abandonedMemory, addAbandonedRun, applyStatedRequests, countAbandoned, createAbandonedRuns, type AbandonedRuns } from './abandonedRuns.js'

const runTime = 1_000 // ms

/** Builds runs whose connections were closed at these times, in ms. */
const buildRuns = (closedAt: readonly number[], deadline = 5_000): AbandonedRuns => {
  const runs = createAbandonedRuns()
  closedAt.forEach((at, index) => addAbandonedRun(runs, `r${index}`, { sentAt: at - 100, closedAt: at, memoryTokens: 32, deadline }, runTime))
  return runs
}

describe('runs whose connection was closed', () => {
  it('take their places and their memory for as long as a whole run takes', () => {
    const runs = buildRuns([0, 500])
    expect([countAbandoned(runs, 999), abandonedMemory(runs, 999)]).toEqual([2, 64])
    expect([countAbandoned(runs, 1_000), abandonedMemory(runs, 1_000)]).toEqual([1, 32])
    expect(countAbandoned(runs, 1_500)).toBe(0)
  })

  it('take them no longer than the worker works on a request', () => {
    expect(countAbandoned(buildRuns([0], 300), 300)).toBe(0)
  })

  it('take them no longer once the worker states fewer requests', () => {
    const runs = buildRuns([0, 10, 20])
    expect(applyStatedRequests(runs, { at: 100, unexplained: 1 }, runTime)).toBe(2)
    expect(countAbandoned(runs, 100)).toBe(1)
    expect(applyStatedRequests(runs, { at: 200, unexplained: -3 }, runTime)).toBe(1)
    expect(countAbandoned(runs, 200)).toBe(0)
  })

  it('take them for longer if the worker states that it still has them, but not beyond its time limit', () => {
    const runs = buildRuns([0], 1_600)
    applyStatedRequests(runs, { at: 900, unexplained: 1 }, runTime)
    expect(countAbandoned(runs, 1_599)).toBe(1)
    expect(countAbandoned(runs, 1_600)).toBe(0)
  })

  it('are not judged by what the worker stated before it can have dropped them', () => {
    const runs = buildRuns([100])
    expect(applyStatedRequests(runs, { at: 110, unexplained: 0 }, runTime)).toBe(0)
    expect(countAbandoned(runs, 200)).toBe(1)
  })
  it('take no place at a worker that has dropped all of a dozen before, until it has kept one', () => {
    const runs = createAbandonedRuns()
    const close = (key: string, at: number): void => addAbandonedRun(runs, key, { sentAt: at - 100, closedAt: at, memoryTokens: 32, deadline: at + 5_000 }, runTime)
    for (let index = 0; index < 12; index++) {
      close(`r${index}`, 100 * index)
      applyStatedRequests(runs, { at: 100 * index + 50, unexplained: 0 }, runTime)
    }
    close('kept', 2_000)
    expect(countAbandoned(runs, 2_000)).toBe(0)
    applyStatedRequests(runs, { at: 2_050, unexplained: 1 }, runTime)
    close('next', 2_100)
    expect(countAbandoned(runs, 2_100)).toBe(2)
  })
})
