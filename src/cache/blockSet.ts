/**
 * A set of 64-bit block values in one typed array, by open addressing with
 * linear probing. A slot is two 32-bit words; the pair 0, 0 marks a free one.
 */

/** A set of blocks. */
export interface BlockSet {
  readonly has: (high: number, low: number) => boolean
  /** @returns whether the block is in the set afterwards */
  readonly add: (high: number, low: number) => boolean
  readonly remove: (high: number, low: number) => void
  readonly clear: () => void
  readonly size: () => number
  readonly bytes: () => number
}

const bytesPerSlot = 8
const firstSlots = 64
const maxFill = 0.75

/** Bytes of a set that holds this many blocks just before it doubles. */
export const bytesPerBlock = bytesPerSlot / maxFill

/**
 * Creates an empty set.
 *
 * @param maxBlocks - blocks held at most; more are turned away
 * @returns the set
 */
export const createBlockSet = (maxBlocks: number): BlockSet => {
  let slots = firstSlots
  let words = new Uint32Array(2 * slots)
  let size = 0

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
    if (size > slots * maxFill) grow()
    return true
  }

  const vacate = (start: number): void => {
    let free = start
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
    vacate(slot)
    size--
  }

  const clear = (): void => {
    slots = firstSlots
    words = new Uint32Array(2 * slots)
    size = 0
  }

  return { has: (high, low) => find(high, low) >= 0, add, remove, clear, size: () => size, bytes: () => words.byteLength }
}
