import fc from 'fast-check'
import { createFrameReader, encodeFrame } from './peerFrames.js'

describe('peer frames', () => {
  it('are decoded in order, however the byte stream is split', () => {
    fc.assert(fc.property(fc.array(fc.record({ kind: fc.string(), n: fc.nat() }), { maxLength: 5 }), fc.integer({ min: 1, max: 9 }), (values, step) => {
      const bytes = Buffer.concat(values.map(encodeFrame))
      const reader = createFrameReader(4096)
      const read: unknown[] = []
      for (let at = 0; at < bytes.length; at += step) read.push(...reader.push(bytes.subarray(at, at + step))._unsafeUnwrap())
      expect(read).toEqual(values)
    }), { seed: 11, numRuns: 100 })
  })

  it('are rejected by their length prefix if they exceed the size limit', () => {
    const reader = createFrameReader(8)
    expect(reader.push(Buffer.from([0, 0, 1, 0]))._unsafeUnwrapErr()).toEqual({ kind: 'frameTooLarge', size: 256, limit: 8 })
  })

  it('are rejected if the payload is not CBOR', () => {
    expect(createFrameReader(64).push(Buffer.from([0, 0, 0, 2, 0xff, 0xff]))._unsafeUnwrapErr()).toEqual({ kind: 'notCbor' })
  })

  it('are rejected if the payload repeats its elements by references', () => {
    expect(createFrameReader(64).push(Buffer.from([0, 0, 0, 9, 0x82, 0xd8, 28, 0x81, 0x61, 0x61, 0xd8, 29, 0]))._unsafeUnwrapErr()).toEqual({ kind: 'notCbor' })
  })

  it('are not decoded before their last byte has arrived', () => {
    const frame = encodeFrame({ kind: 'a' })
    expect(createFrameReader(64).push(frame.subarray(0, frame.length - 1))._unsafeUnwrap()).toEqual([])
  })

  it('that arrive in small parts are copied no more than a few times', () => {
    const frame = encodeFrame({ kind: 'a', text: 'x'.repeat(100_000) })
    const concat = jest.spyOn(Buffer, 'concat')
    const reader = createFrameReader(200_000)
    let values: readonly unknown[] = []
    for (let at = 0; at < frame.length; at += 10) values = reader.push(frame.subarray(at, at + 10))._unsafeUnwrap()
    const copied = concat.mock.results.reduce((sum, { value }) => sum + value.length, 0)
    concat.mockRestore()
    expect(values).toHaveLength(1)
    expect(copied).toBeLessThan(500_000)
  })
})
