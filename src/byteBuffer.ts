/** Collects bytes that arrive in parts. Copies and memory stay linear in the bytes, however small the parts are. */

/** Bytes collected so far. */
export interface ByteBuffer {
  /** Appends bytes. */
  readonly push: (bytes: Buffer) => void
  /** Number of bytes. */
  readonly size: () => number
  /** The bytes; valid until the next `push` or `clear`. */
  readonly bytes: () => Buffer
  /** Removes all bytes. */
  readonly clear: () => void
}

/** Capacity of a buffer that has to grow, in bytes. */
const minCapacity = 1_024

/** Creates an empty buffer. The first part is kept without a copy. */
export const createByteBuffer = (): ByteBuffer => {
  let storage: Buffer = Buffer.alloc(0)
  let size = 0

  const grow = (needed: number): void => {
    const larger = Buffer.allocUnsafe(Math.max(minCapacity, 2 * needed))
    storage.copy(larger, 0, 0, size)
    storage = larger
  }

  const push = (bytes: Buffer): void => {
    if (size === 0) storage = bytes
    else {
      if (size + bytes.length > storage.length) grow(size + bytes.length)
      bytes.copy(storage, size)
    }
    size += bytes.length
  }

  const clear = (): void => {
    storage = Buffer.alloc(0)
    size = 0
  }

  return { push, size: () => size, bytes: () => storage.subarray(0, size), clear }
}
