import { createByteBuffer } from './byteBuffer.js'

describe('the byte buffer', () => {
  it('returns what was pushed, and nothing after it was cleared', () => {
    const buffer = createByteBuffer()
    for (const part of ['ab', '', 'c', 'defg'.repeat(1_000)]) buffer.push(Buffer.from(part))
    expect(buffer.bytes().toString()).toBe('abc' + 'defg'.repeat(1_000))
    expect(buffer.size()).toBe(4_003)
    buffer.clear()
    buffer.push(Buffer.from('h'))
    expect(buffer.bytes().toString()).toBe('h')
  })

  it('never writes into a part that was pushed', () => {
    const part = Buffer.from('abcdef').subarray(0, 3)
    const buffer = createByteBuffer()
    buffer.push(part)
    buffer.push(Buffer.from('xyz'))
    expect(Buffer.from(part.buffer, part.byteOffset, 6).toString()).toBe('abcdef')
  })

  it('copies few bytes for each one received, however small the parts are', () => {
    const buffer = createByteBuffer()
    const allocations = jest.spyOn(Buffer, 'allocUnsafe')
    for (let index = 0; index < 100_000; index++) buffer.push(Buffer.from('x'))
    const allocated = allocations.mock.calls.reduce((sum, [size]) => sum + size, 0)
    allocations.mockRestore()
    expect(allocated).toBeLessThan(600_000)
    expect(buffer.size()).toBe(100_000)
  })
})
