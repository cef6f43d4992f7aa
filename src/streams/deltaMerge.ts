/**
 * Merges the deltas of a streamed response into the complete message: strings and
 * lists are concatenated, list items with an `index` are merged with the item of
 * the same index, objects are merged recursively, and any other value replaces the
 * previous one.
 */

type JsonObject = { [key: string]: unknown }

const isJsonObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value)

const isIndexed = (value: unknown): value is JsonObject & { index: number } =>
  isJsonObject(value) && typeof value.index === 'number'

const mergeLists = (target: unknown[], delta: readonly unknown[]): unknown[] => {
  for (const part of delta) {
    const position = isIndexed(part) ? target.findIndex(item => isIndexed(item) && item.index === part.index) : -1
    if (position < 0) target.push(structuredClone(part))
    else target[position] = mergeValue(target[position], part)
  }
  return target
}

const mergeValue = (target: unknown, delta: unknown): unknown => {
  if (typeof target === 'string' && typeof delta === 'string') return target + delta
  if (Array.isArray(target) && Array.isArray(delta)) return mergeLists(target, delta)
  if (isJsonObject(target) && isJsonObject(delta)) return mergeDelta(target, delta)
  return structuredClone(delta)
}

/** Keys whose value is complete in each delta and therefore replaces the previous one. */
const replacedKeys = new Set(['role', 'type', 'id', 'index'])

/**
 * Merges one delta into the message so far. Null values and the key `__proto__` are skipped.
 *
 * @param target - the message so far, which is modified
 * @param delta - the next delta
 * @returns the target
 */
export const mergeDelta = (target: JsonObject, delta: JsonObject): JsonObject => {
  for (const [key, value] of Object.entries(delta)) {
    if (value === null || value === undefined || key === '__proto__') continue
    target[key] = replacedKeys.has(key) ? value : mergeValue(target[key], value)
  }
  return target
}
