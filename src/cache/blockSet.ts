/**
 * A hash set of 64-bit block hashes in a single typed array, with open addressing
 * and linear probing. A slot consists of two 32-bit words; the pair 0, 0 marks an
 * empty slot.
 */

/** A set of blocks, each given as the high and low 32-bit word of its hash. */
export interface BlockSet {
  readonly has: (high: number, low: number) => boolean
  /** Adds a block; returns whether it is in the set afterwards, which is false if the set is full. */
  readonly add: (high: number, low: number) => boolean
  readonly remove: (high: number, low: number) => void
  readonly clear: () => void
  /** Number of blocks in the set. */
  readonly size: () => number
  /** Size of the typed array in bytes. */
  readonly bytes: () => number
}

const bytesPerSlot = 8
const initialSlots = 64
/** Fraction of occupied slots above which the capacity doubles. */
const maxLoadFactor = 0.75

/** Memory per block, in bytes, of a set at its maximum load factor, just before its capacity doubles. */
export const bytesPerBlock = bytesPerSlot / maxLoadFactor

/**
 * Creates an empty set.
 *
 * @param maxBlocks - maximum number of blocks; further ones are rejected
 * @returns the set
 */
export const createBlockSet = (maxBlocks: number): BlockSet => {
  let slots = initialSlots
  let words = new Uint32Array(2 * slots)
  let size = 0

  /** Returns the slot of a block, or the bitwise complement of the empty slot where it belongs. */
  const find = (high: number, low: number): number => {
    let slot = low & (slots - 1)
    while (words[2 * slot] !== 0 || words[2 * slot + 1] !== 0) {
      if (words[2 * slot] === high && words[2 * slot + 1] === low) return slot
      slot = (slot + 1) & (slots - 1)
    }
    return ~slot
  }

  const grow = (): void => {
    const old = words
    slots *= 2
    words = new Uint32Array(2 * slots)
    for (let index = 0; index < old.length; index += 2) {
      if (old[index] === 0 && old[index + 1] === 0) continue
      const slot = ~find(old[index], old[index + 1])
      words[2 * slot] = old[index]
      words[2 * slot + 1] = old[index + 1]
    }
  }

  const add = (high: number, low: number): boolean => {
    const slot = find(high, low)
    if (slot >= 0) return true
    if (size >= maxBlocks) return false
    words[2 * ~slot] = high
    words[2 * ~slot + 1] = low
    size++
    if (size > slots * maxLoadFactor) grow()
    return true
  }

  /** Empties a slot and shifts later entries of its probe sequence back, so that no tombstones are needed. */
  const deleteSlot = (deleted: number): void => {
    let free = deleted
    let slot = (free + 1) & (slots - 1)
    while (words[2 * slot] !== 0 || words[2 * slot + 1] !== 0) {
      const home = words[2 * slot + 1] & (slots - 1)
      const distance = (slot - home) & (slots - 1)
      if (distance >= ((slot - free) & (slots - 1))) {
        words[2 * free] = words[2 * slot]
        words[2 * free + 1] = words[2 * slot + 1]
        free = slot
      }
      slot = (slot + 1) & (slots - 1)
    }
    words[2 * free] = 0
    words[2 * free + 1] = 0
  }

  const remove = (high: number, low: number): void => {
    const slot = find(high, low)
    if (slot < 0) return
    deleteSlot(slot)
    size--
  }

  const clear = (): void => {
    slots = initialSlots
    words = new Uint32Array(2 * slots)
    size = 0
  }

  return { has: (high, low) => find(high, low) >= 0, add, remove, clear, size: () => size, bytes: () => words.byteLength }
}
