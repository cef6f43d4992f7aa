/** Guards against slow callers that take the memory of an instance, and against cuts of callers that are not the cause. */
import { heldBound } from '../heldBytes/heldBound.js'
import { decideCuts, type UnreadResponse } from './slowReaders.js'

const mebibyte = 1_048_576
const build = (request: number, overrides: Partial<UnreadResponse> = {}): UnreadResponse => ({ request, workspace: 'a', held: mebibyte, progressAt: 0, begun: true, ...overrides })
const cutRequests = (responses: readonly UnreadResponse[], bound: number, now = 1_000): readonly number[] => decideCuts(responses, bound, now).map(({ request }) => request)

describe('slow readers', () => {
  it('are not cut while there is room, however slow they are', () => {
    expect(cutRequests([build(1, { held: 10 * mebibyte }), build(2)], 11 * mebibyte, 1e9)).toEqual([])
  })

  it('are cut by what they have held for how long without progress, and no more of them than needed', () => {
    const slow = build(1, { held: 2 * mebibyte, progressAt: 0 })
    const fresh = build(2, { held: 8 * mebibyte, progressAt: 999 })
    const slower = build(3, { held: 3 * mebibyte, progressAt: 0 })
    expect(cutRequests([fresh, slow, slower], 12 * mebibyte)).toEqual([3])
    expect(cutRequests([fresh, slow, slower], 10 * mebibyte)).toEqual([3, 1])
  })

  it('of the workspace that holds the most are cut, and not those of others that are slower', () => {
    const flood = Array.from({ length: 40 }, (_, index) => build(index, { workspace: 'flood', progressAt: 900 }))
    const quiet = build(100, { workspace: 'quiet', held: 4 * mebibyte, progressAt: 0 })
    const cuts = cutRequests([quiet, ...flood], 40 * mebibyte)
    expect(cuts).toHaveLength(8)
    expect(cuts).not.toContain(100)
  })

  it('are told by an error if nothing of their answer has been sent, else by its end', () => {
    expect(decideCuts([build(1, { begun: false })], 1, 500)).toEqual([{ request: 1, workspace: 'a', held: mebibyte, stalled: 500, told: 'error' }])
    expect(decideCuts([build(1)], 1, 500)).toMatchObject([{ told: 'brokenOff' }])
  })

  it('hold a twelfth of the memory, bounded below and above, 64 MiB where it is not known, or what the settings say', () => {
    expect(heldBound(0, 186e6)).toBe(16_777_216)
    expect(heldBound(0, 1_200e6)).toBe(100e6)
    expect(heldBound(0, 1e12)).toBe(268_435_456)
    for (const memory of [undefined, 0, -1, NaN]) expect(heldBound(0, memory)).toBe(67_108_864)
    expect(heldBound(5, 186e6)).toBe(5)
  })

  it('among 5,000 are found in a few ms', () => {
    const responses = Array.from({ length: 5_000 }, (_, index) => build(index, { workspace: `w${index % 50}`, held: 1_000 + index, progressAt: index }))
    const startedAt = performance.now()
    expect(cutRequests(responses, 17_000_000, 10_000).length).toBeGreaterThan(0)
    expect(performance.now() - startedAt).toBeLessThan(250)
  })
})
