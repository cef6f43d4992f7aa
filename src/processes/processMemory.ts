/** The memory that this process may use, as far as its environment states it. */
import { getHeapStatistics } from 'node:v8'

/** What the environment states, in bytes. */
export interface MemoryLimits {
  /** Limit of the control group; undefined or beyond any real memory if there is none. */
  readonly constrained: number | undefined
  /** Limit of the heap. */
  readonly heap: number
}

/** Memory of a process in multiples of the limit of its heap: the rest is code, stacks and buffers. */
const processPerHeap = 1.5
/** A heap limit above this, in bytes, is Node's own default and says nothing about the memory. */
const maxDeliberateHeap = 2_000_000_000
/** A limit above this, in bytes, stands for none. */
const maxConstrained = 2 ** 50

/** Reads the limits of this process. */
export const readMemoryLimits = (): MemoryLimits => ({ constrained: process.constrainedMemory?.(), heap: getHeapStatistics().heap_size_limit })

/**
 * The memory of a process with these limits.
 *
 * @param limits - the limits
 * @returns the memory in bytes; undefined if none of the limits says anything about it
 */
export const processMemory = ({ constrained = 0, heap }: MemoryLimits): number | undefined => {
  const known = [
    ...(constrained > 0 && constrained < maxConstrained ? [constrained] : []),
    ...(heap > 0 && heap < maxDeliberateHeap ? [heap * processPerHeap] : [])
  ]
  return known.length === 0 ? undefined : Math.min(...known)
}
