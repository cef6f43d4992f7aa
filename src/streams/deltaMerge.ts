/**
 * Merges the deltas of a stream into the message that the stream spells out:
 * texts are joined, lists of indexed parts are merged part by part, other lists
 * are joined, and any other value replaces the one before it.
 */

type Fields = { [key: string]: unknown }

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value)

const isIndexed = (value: unknown): value is Fields & { index: number } =>
  isFields(value) && typeof value.index === 'number'

const mergeLists = (target: unknown[], delta: readonly unknown[]): unknown[] => {
  for (const part of delta) {
    const place = isIndexed(part) ? target.findIndex(known => isIndexed(known) && known.index === part.index) : -1
    if (place < 0) target.push(structuredClone(part))
    else target[place] = mergeValue(target[place], part)
  }
  return target
}

const mergeValue = (target: unknown, delta: unknown): unknown => {
  if (typeof target === 'string' && typeof delta === 'string') return target + delta
  if (Array.isArray(target) && Array.isArray(delta)) return mergeLists(target, delta)
  if (isFields(target) && isFields(delta)) return mergeDelta(target, delta)
  return structuredClone(delta)
}

/** Keys whose value is complete in each delta. */
const wholeKeys = new Set(['role', 'type', 'id', 'index'])

/**
 * Merges one delta into what came before it.
 *
 * @param target - the message so far, which is changed
 * @param delta - the next delta
 * @returns the target
 */
export const mergeDelta = (target: Fields, delta: Fields): Fields => {
  for (const [key, value] of Object.entries(delta)) {
    if (value === null || value === undefined || key === '__proto__') continue
    target[key] = wholeKeys.has(key) ? value : mergeValue(target[key], value)
  }
  return target
}
