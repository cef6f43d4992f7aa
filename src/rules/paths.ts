/** Normalisation of request paths, so that no alternative spelling of a path bypasses a rule. */

const percentSequence = /%([0-9a-f]{2})/gi
const decoder = new TextDecoder('utf-8', { ignoreBOM: true })

/** Decodes each percent sequence; what is no sequence stays, and bytes that are no UTF-8 become replacement characters, so that one invalid sequence does not leave the others undecoded. */
const decodePath = (path: string): string => {
  const bytes: Buffer[] = []
  let end = 0
  for (const { index, 0: sequence, 1: digits } of path.matchAll(percentSequence)) {
    bytes.push(Buffer.from(path.slice(end, index)), Buffer.from(digits, 'hex'))
    end = index + sequence.length
  }
  return decoder.decode(Buffer.concat([...bytes, Buffer.from(path.slice(end))]))
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
