/** Collects bytes that arrive in parts. Copies and memory stay linear in the bytes, however small the parts are. */

/** Bytes collected so far. */
export interface ByteBuffer {
  /** Appends bytes, which must not change afterwards. */
  readonly push: (bytes: Buffer) => void
  /** Number of bytes. */
  readonly size: () => number
  /** Joins the bytes. */
  readonly bytes: () => Buffer
  /** Removes all bytes. */
  readonly clear: () => void
}

/** Size of the first block that is allocated for small parts, in bytes. */
const minBlock = 1_024
/** Maximum size of a block, in bytes. */
const maxBlock = 65_536
const noBytes = Buffer.alloc(0)

/** Creates an empty buffer. The first part is kept without a copy; the others are copied into blocks. */
export const createByteBuffer = (): ByteBuffer => {
  let parts: Buffer[] = []
  let block: Buffer = noBytes
  let blockUsed = 0
  let size = 0

  const reset = (bytes: Buffer): void => {
    parts = bytes.length === 0 ? [] : [bytes]
    block = noBytes
    blockUsed = 0
    size = bytes.length
  }

  const addBlock = (): void => {
    parts.push(block)
    block = Buffer.allocUnsafe(Math.min(maxBlock, Math.max(minBlock, size)))
    blockUsed = 0
  }

  const push = (bytes: Buffer): void => {
    if (size === 0) return reset(bytes)
    for (let copied = 0; copied < bytes.length;) {
      if (blockUsed === block.length) addBlock()
      const count = bytes.copy(block, blockUsed, copied)
      blockUsed += count
      copied += count
    }
    size += bytes.length
  }

  const bytes = (): Buffer => {
    if (blockUsed > 0) reset(Buffer.concat([...parts, block.subarray(0, blockUsed)], size))
    return parts[0] ?? noBytes
  }

  return { push, size: () => size, bytes, clear: () => reset(noBytes) }
}
