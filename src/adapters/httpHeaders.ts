/** Headers that a proxy passes on. */

const hopByHop = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host', 'content-length'
])

/**
 * Leaves out the headers that belong to a single connection.
 *
 * @param headers - names in lower case
 * @returns the headers to pass on
 */
export const endToEndHeaders = (headers: Readonly<Record<string, string>>): Record<string, string> => {
  const named = new Set((headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !hopByHop.has(name) && !named.has(name)))
}
