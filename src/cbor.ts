/**
 * CBOR as instances write it, in messages to each other and in records of the
 * store: numbers, texts, bytes, lists, maps and simple values. Tagged values other
 * than bytes are refused, since the library gives them meanings that no instance
 * uses. With references, for one, a few kilobytes describe a list of millions of
 * elements.
 */
import { Encoder } from 'cbor-x'
import { err, ok, type Result } from 'neverthrow'

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

/** Why bytes could not be decoded. */
export interface CborProblem {
  readonly kind: 'notCbor'
}

const notCbor: CborProblem = { kind: 'notCbor' }

const majorTypes = { byteText: 2, text: 3, tag: 6 } as const
/** Bits of the initial byte of an item that hold its length, or state how many bytes do. */
const lengthMask = 0x1f
const majorTypeShift = 5
/** Length bits from which the length, or the value, follows in 1, 2, 4 or 8 bytes; with further ones an item ends at a stop code. */
const firstLongLength = 24
const lastLongLength = 27
/** Initial bytes of an array of bytes; the tag's number is 64. */
const byteArrayTag = Buffer.from([0xd8, 64])

/** Whether the tag at this position stands before bytes. Before anything else the library could take it for a length. */
const isByteArray = (bytes: Buffer, position: number): boolean =>
  bytes[position] === byteArrayTag[0] && bytes[position + 1] === byteArrayTag[1] && bytes[position + 2] >> majorTypeShift === majorTypes.byteText

/** Whether an item is tagged or of indefinite length, at any depth. The items are looked at in the order of their bytes, without recursion. */
const holdsForeignItem = (bytes: Buffer): boolean => {
  let position = 0
  while (position < bytes.length) {
    const majorType = bytes[position] >> majorTypeShift
    const short = bytes[position] & lengthMask
    if (isByteArray(bytes, position)) {
      position += byteArrayTag.length
      continue
    }
    position++
    if (majorType === majorTypes.tag || short > lastLongLength) return true
    const lengthBytes = short < firstLongLength ? 0 : 2 ** (short - firstLongLength)
    if (majorType === majorTypes.byteText || majorType === majorTypes.text) {
      if (lengthBytes > 4 || position + lengthBytes > bytes.length) return true
      position += lengthBytes === 0 ? short : bytes.readUIntBE(position, lengthBytes)
    }
    position += lengthBytes
  }
  return false
}

/**
 * Encodes a value.
 *
 * @param value - of texts, numbers, booleans, bytes, null, undefined, lists and plain objects
 */
export const encodeCbor = (value: unknown): Buffer => codec.encode(value)

/**
 * Decodes a value.
 *
 * @param bytes - one encoded value
 */
export const decodeCbor = (bytes: Buffer): Result<unknown, CborProblem> => {
  if (holdsForeignItem(bytes)) return err(notCbor)
  try {
    return ok(codec.decode(bytes))
  } catch {
    return err(notCbor)
  }
}
