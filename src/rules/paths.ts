/** Normalisation of request paths, so that no alternative spelling of a path bypasses a rule. */

/** Decodes percent-encoding; a path with invalid encoding is returned unchanged. */
const decodePath = (path: string): string => {
  try {
    return decodeURIComponent(path)
  } catch {
    return path
  }
}

/**
 * Normalises a path: removes the query and fragment, decodes percent-encoding, resolves empty,
 * `.` and `..` segments, and removes a trailing slash.
 *
 * @param path - the path of a request as received
 * @returns the path that selectors are matched against, starting with `/`
 */
export const normalisePath = (path: string): string => {
  const segments: string[] = []
  for (const segment of decodePath(path.split(/[?#]/, 1)[0]).split('/')) {
    if (segment === '' || segment === '.') continue
    if (segment === '..') segments.pop()
    else segments.push(segment)
  }
  return `/${segments.join('/')}`
}
