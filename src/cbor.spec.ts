import { Encoder } from 'cbor-x'
import fc from 'fast-check'
import { valuesOf } from '../test/fixtures/hostileValues.js'
import { decodeCbor, encodeCbor } from './cbor.js'
import { fleetMessageSchema } from './fleet/fleetMessages.js'

const library = new Encoder({ useRecords: false, mapsAsObjects: true })

/** The head of a list or map of `length` items. */
const head = (majorType: number, length: number): Buffer => {
  const bytes = Buffer.from([majorType << 5 | 26, 0, 0, 0, 0])
  bytes.writeUInt32BE(length, 1)
  return bytes
}

const list = (items: readonly Buffer[]): Buffer => Buffer.concat([head(4, items.length), ...items])

/** A list in which each element but the first is a reference to the first, which is such a list itself: `size` bytes grow as the sum, elements as the product of the lengths. */
const referringList = (element: Buffer, length: number): Buffer =>
  list([Buffer.concat([Buffer.from([0xd8, 28]), element]), ...Array(length - 1).fill(Buffer.from([0xd8, 29, 0]))])

describe('CBOR', () => {
  it('returns what instances write', () => {
    const value = { a: [1, -1, 2 ** 40, 1.5, 1e308, true, null, undefined, new Uint8Array([1, 2, 3]), Buffer.from('ab'), 'ü'.repeat(40), 'x'.repeat(70_000)], b: { c: [] }, d: '' }
    expect(decodeCbor(encodeCbor(value))._unsafeUnwrap()).toEqual(value)
    fc.assert(fc.property(valuesOf(fleetMessageSchema).filter(message => fleetMessageSchema.safeParse(message).success), message => {
      expect(decodeCbor(encodeCbor(message))._unsafeUnwrap()).toEqual(library.decode(library.encode(message)))
    }), { seed: 51, numRuns: 500 })
  })

  it('refuses references, with which a record of 40 KB held an instance for 49 s', () => {
    const bytes = referringList(list(Array(100).fill(encodeCbor('v'))), 100)
    expect((library.decode(bytes) as unknown[][]).flat()).toHaveLength(10_000)
    expect(decodeCbor(bytes)._unsafeUnwrapErr()).toEqual({ kind: 'notCbor' })
  })

  it.each([
    ['a date', library.encode(new Date(0))],
    ['a large number', library.encode(2n ** 70n)],
    ['a pattern', library.encode(/a/)],
    ['a tag in a map in a list', list([Buffer.concat([head(5, 1), encodeCbor('a'), Buffer.from([0xc1, 0])])])],
    ['a length in place of bytes', Buffer.from([0xd8, 64, 0x1a, 0x7f, 0xff, 0xff, 0xff])],
    ['a list of indefinite length', Buffer.from([0x9f, 0xff])],
    ['a stop code', Buffer.from([0xff])],
    ['a text longer than the bytes', Buffer.from([0x7a, 0xff, 0xff, 0xff, 0xff, 0x61])],
    ['a text whose length takes 8 bytes', Buffer.from([0x7b, 0, 0, 0, 0, 0, 0, 0, 1, 0x61])],
    ['a list longer than the bytes', head(4, 2 ** 25)],
    ['lists in each other, each longer than the bytes', Buffer.concat(Array(50).fill(head(4, 2 ** 25)))],
    ['lists in each other, a million deep', Buffer.alloc(1_000_000, 0x81)],
    ['a value and more', Buffer.from([0, 0])],
    ['no bytes', Buffer.alloc(0)]
  ])('refuses %s', (_what, bytes) => {
    expect(decodeCbor(bytes).isErr()).toBe(true)
    expect(decodeCbor(encodeCbor('next'))._unsafeUnwrap()).toBe('next')
  })

  it('returns any bytes as a value or as a problem, as the library does without tags', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 32 }), bytes => {
      const decoded = decodeCbor(Buffer.from(bytes))
      if (decoded.isOk()) expect(decoded.value).toEqual(library.decode(Buffer.from(bytes)))
    }), { seed: 52, numRuns: 5_000 })
  })
})
