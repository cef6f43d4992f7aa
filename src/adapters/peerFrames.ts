/** Framing of messages between instances: a length prefix of four bytes (big-endian), then one CBOR value. */
import { err, ok, type Result } from 'neverthrow'
import { createByteBuffer } from '../byteBuffer.js'
import { decodeCbor, encodeCbor, type CborProblem } from '../cbor.js'

/** Why received bytes are not a valid frame; sizes in bytes. */
export type FrameError =
  | { readonly kind: 'frameTooLarge', readonly size: number, readonly limit: number }
  | CborProblem

const lengthPrefixBytes = 4

/**
 * Encodes one value as a frame.
 *
 * @param value - any value that CBOR can represent
 * @returns the frame, with its length prefix
 */
export const encodeFrame = (value: unknown): Buffer => {
  const payload = encodeCbor(value)
  const frame = Buffer.allocUnsafe(lengthPrefixBytes + payload.length)
  frame.writeUInt32BE(payload.length)
  payload.copy(frame, lengthPrefixBytes)
  return frame
}

/** Incremental decoder of frames. */
export interface FrameReader {
  /**
   * Adds received bytes and returns the values whose frames they complete. After
   * an error the stream cannot be resynchronised, and the reader must not be used again.
   */
  readonly push: (bytes: Buffer) => Result<readonly unknown[], FrameError>
}

/**
 * Creates a frame reader.
 *
 * @param limit - maximum size of a payload, in bytes
 * @returns the reader
 */
export const createFrameReader = (limit: number): FrameReader => {
  const buffered = createByteBuffer()
  /** Number of buffered bytes without which nothing can be read. */
  let needed = lengthPrefixBytes

  const push = (bytes: Buffer): Result<readonly unknown[], FrameError> => {
    buffered.push(bytes)
    if (buffered.size() < needed) return ok([])
    let rest = buffered.bytes()
    const values: unknown[] = []
    while (rest.length >= lengthPrefixBytes) {
      const size = rest.readUInt32BE(0)
      if (size > limit) return err({ kind: 'frameTooLarge', size, limit })
      needed = lengthPrefixBytes + size
      if (rest.length < needed) break
      const value = decodeCbor(rest.subarray(lengthPrefixBytes, needed))
      if (value.isErr()) return err(value.error)
      values.push(value.value)
      rest = rest.subarray(needed)
      needed = lengthPrefixBytes
    }
    if (values.length > 0) {
      buffered.clear()
      buffered.push(rest)
    }
    return ok(values)
  }

  return { push }
}
