/** Frames between instances: a length of four bytes, then one CBOR value. */
import { Encoder } from 'cbor-x'
import { err, ok, type Result } from 'neverthrow'

/** Why bytes from another instance are not a frame. */
export type FrameProblem =
  | { readonly kind: 'frameTooLarge', readonly size: number, readonly limit: number }
  | { readonly kind: 'notCbor' }

const lengthBytes = 4
const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

/**
 * Encodes one value.
 *
 * @param value - any CBOR value
 * @returns the frame
 */
export const encodeFrame = (value: unknown): Buffer => {
  const payload = codec.encode(value)
  const frame = Buffer.allocUnsafe(lengthBytes + payload.length)
  frame.writeUInt32BE(payload.length)
  payload.copy(frame, lengthBytes)
  return frame
}

/** Gathers bytes into frames. */
export interface FrameReader {
  /** Takes bytes; answers with the values completed by them. After a problem nothing more is read. */
  readonly push: (bytes: Buffer) => Result<readonly unknown[], FrameProblem>
}

const decode = (payload: Buffer): Result<unknown, FrameProblem> => {
  try {
    return ok(codec.decode(payload))
  } catch {
    return err({ kind: 'notCbor' })
  }
}

/**
 * Creates a reader.
 *
 * @param limit - largest payload accepted, in bytes
 * @returns the reader
 */
export const createFrameReader = (limit: number): FrameReader => {
  let pending: Buffer = Buffer.alloc(0)

  const push = (bytes: Buffer): Result<readonly unknown[], FrameProblem> => {
    pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes])
    const values: unknown[] = []
    while (pending.length >= lengthBytes) {
      const size = pending.readUInt32BE(0)
      if (size > limit) return err({ kind: 'frameTooLarge', size, limit })
      if (pending.length < lengthBytes + size) break
      const value = decode(pending.subarray(lengthBytes, lengthBytes + size))
      if (value.isErr()) return err(value.error)
      values.push(value.value)
      pending = pending.subarray(lengthBytes + size)
    }
    return ok(values)
  }

  return { push }
}
