/** Brings request paths into one form, so that no spelling slips past a rule. */

const decodeSegment = (segment: string): string => {
  try {
    return decodeURIComponent(segment)
  } catch {
    return segment
  }
}

/**
 * Cuts the query, decodes percent signs, and resolves empty and dot segments. A
 * final slash is dropped.
 *
 * @param path - a request's path as received
 * @returns the path that rules are matched against
 */
export const normalisePath = (path: string): string => {
  const segments: string[] = []
  for (const segment of decodeSegment(path.split(/[?#]/, 1)[0]).split('/')) {
    if (segment === '' || segment === '.') continue
    if (segment === '..') segments.pop()
    else segments.push(segment)
  }
  return `/${segments.join('/')}`
}
