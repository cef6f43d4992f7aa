/** Guards against a bound for slow readers that does not fit into the memory of a small process. */
import { heldBound } from '../heldBytes/heldBound.js'
import { processMemory, readMemoryLimits } from './processMemory.js'

describe('the memory of a process', () => {
  it.each([
    [{ constrained: 2 ** 64, heap: 114e6 }, 171e6],
    [{ constrained: 186e6, heap: 4.3e9 }, 186e6],
    [{ constrained: 186e6, heap: 100e6 }, 150e6],
    [{ constrained: undefined, heap: 4.3e9 }, undefined],
    [{ constrained: 0, heap: 4.3e9 }, undefined]
  ])('with the limits %j is %p', (limits, memory) => {
    expect(processMemory(limits)).toBe(memory)
  })

  it('gives the smallest deployment, with a heap of 110 MB, the least bound of 16 MiB', () => {
    expect(heldBound(0, processMemory({ constrained: 2 ** 64, heap: 114e6 }))).toBe(16_777_216)
  })

  it('is read from the environment without an error', () => {
    expect(readMemoryLimits().heap).toBeGreaterThan(0)
  })
})
