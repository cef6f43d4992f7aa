/** Guards against request bodies that take the memory of an instance, and against refusals of callers that are not the cause. */
import { bodyClassOf, classBound, refuseForMemory, refuseStalled, type RequestBody } from './requestBodies.js'

const mebibyte = 1_048_576
const build = (request: number, overrides: Partial<RequestBody> = {}): RequestBody => ({ request, workspace: '', held: mebibyte, progressAt: 0, whole: false, ...overrides })
const refused = (bodies: readonly RequestBody[], bound: number, now = 1_000): readonly number[] => refuseForMemory(bodies, bound, now).map(({ request }) => request)

describe('request bodies', () => {
  it('are all read while there is room', () => {
    expect(refused([build(1), build(2, { whole: true })], 2 * mebibyte)).toEqual([])
  })

  it('that do not go on give way to those that do', () => {
    expect(refused([build(1, { progressAt: 999 }), build(2, { progressAt: 10 }), build(3, { progressAt: 998 })], 2.5 * mebibyte)).toEqual([2])
  })

  // Guards against a refusal that promises "not run" for a request that a worker may have.
  it('never give way once they are whole, whatever they hold', () => {
    const whole = Array.from({ length: 8 }, (_, index) => build(index, { whole: true }))
    expect(new Set(refused([...whole, build(8), build(9)], 4 * mebibyte))).toEqual(new Set([8, 9]))
    expect(refused(whole, mebibyte)).toEqual([])
  })

  it('of the workspace that holds the most give way first', () => {
    const crowd = Array.from({ length: 20 }, (_, index) => build(index, { progressAt: 999 }))
    const refusals = refused([build(100, { workspace: 'quiet' }), ...crowd], 10 * mebibyte)
    expect(refusals).toHaveLength(12)
    expect(refusals).not.toContain(100)
  })

  it('that are small have a part of the bound of their own, and one of the full size always has room', () => {
    expect([0, 131_072, 131_073].map(bodyClassOf)).toEqual(['small', 'small', 'large'])
    const limits = { bound: 16 * mebibyte, bodyBytes: 4 * mebibyte }
    expect(classBound('small', limits, 12 * mebibyte)).toBe(4 * mebibyte)
    expect(classBound('large', limits, 12 * mebibyte)).toBe(12 * mebibyte)
    expect(classBound('large', { ...limits, bodyBytes: 100 * mebibyte }, 0)).toBe(100 * mebibyte)
  })

  // Guards against refusals of the usual requests while there is memory.
  it('that are small may take all that large ones leave', () => {
    const limits = { bound: 16 * mebibyte, bodyBytes: 4 * mebibyte }
    expect(classBound('small', limits, 0)).toBe(16 * mebibyte)
    expect(classBound('small', limits, 5 * mebibyte)).toBe(11 * mebibyte)
  })

  it('are given up after the longest time without a byte, and not while they wait for a worker', () => {
    const bodies = [build(1, { held: 0 }), build(2, { progressAt: 500 }), build(3, { whole: true })]
    expect(refuseStalled(bodies, 1_000, 1_000)).toEqual([{ reason: 'stalled', request: 1, workspace: '', held: 0, stalled: 1_000 }])
    expect(refuseStalled(bodies, 0, 1e9)).toEqual([])
  })
})
