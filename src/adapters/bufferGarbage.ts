/**
 * Frees buffers that are no longer used before they add up. Bytes from a socket lie
 * outside the heap, and the runtime lets some ten megabytes of unused ones wait for its
 * next collection: more than a small machine has to spare while callers send as
 * fast as they can. At the usual rates the runtime collects in time by itself.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Frees buffers in time. */
export interface BufferGarbage {
  /** Notes that bytes have been received from a socket. */
  readonly noteReceived: (bytes: number) => void
}

/** What the measurement depends on. */
export interface BufferGarbageOptions {
  /** Number of bytes in buffers that are in use. */
  readonly inUse: () => number
  /** Number of bytes in all buffers, used or not. */
  readonly allocated?: () => number
  /** Frees the unused ones. */
  readonly collect?: () => void
}

/** Number of bytes received between two measurements. */
const measureBytes = 4_194_304
/** Number of bytes in unused buffers from which they are freed. */
const maxUnused = 12_582_912

let runtimeCollect: (() => void) | undefined

/** Lets the runtime collect garbage. Its function is hidden unless a flag shows it. */
const collectGarbage = (): void => {
  if (runtimeCollect === undefined) {
    setFlagsFromString('--expose-gc')
    runtimeCollect = runInNewContext('gc') as () => void
    setFlagsFromString('--no-expose-gc')
  }
  runtimeCollect()
}

/** Creates the measurement of a process. */
export const createBufferGarbage = ({ inUse, allocated = () => process.memoryUsage().arrayBuffers, collect = collectGarbage }: BufferGarbageOptions): BufferGarbage => {
  let received = 0
  return {
    noteReceived: bytes => {
      received += bytes
      if (received < measureBytes) return
      received = 0
      if (allocated() - inUse() > maxUnused) collect()
    }
  }
}
