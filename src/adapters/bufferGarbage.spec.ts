/** Guards against unused buffers that add up to more than a small machine has to spare while callers send fast. */
import { createBufferGarbage } from './bufferGarbage.js'

const mebibyte = 1_048_576

describe('unused buffers', () => {
  it('are freed once many of them have added up, and not at the usual rates', () => {
    let allocated = 20 * mebibyte
    let collected = 0
    const garbage = createBufferGarbage({ inUse: () => 16 * mebibyte, allocated: () => allocated, collect: () => { collected++ } })
    for (let count = 0; count < 64; count++) garbage.noteReceived(mebibyte)
    expect(collected).toBe(0)
    allocated = 40 * mebibyte
    garbage.noteReceived(mebibyte)
    expect(collected).toBe(0)
    for (let count = 0; count < 3; count++) garbage.noteReceived(mebibyte)
    expect(collected).toBe(1)
  })

  it('are freed by the runtime without a flag at its start', () => {
    const before = process.memoryUsage().arrayBuffers
    const garbage = createBufferGarbage({ inUse: () => before })
    let most = 0
    for (let count = 0; count < 400; count++) {
      garbage.noteReceived(Buffer.alloc(mebibyte).length)
      most = Math.max(most, process.memoryUsage().arrayBuffers - before)
    }
    expect(most).toBeLessThan(32 * mebibyte)
  })
})
