/** Selects the HTTP headers that a proxy forwards. */

const hopByHop = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host', 'content-length'
])

/**
 * Removes hop-by-hop headers, including those that the Connection header lists,
 * and also `expect`, `host` and `content-length`.
 *
 * @param headers - headers with names in lower case
 * @returns the headers to forward
 */
export const endToEndHeaders = (headers: Readonly<Record<string, string>>): Record<string, string> => {
  const connectionOptions = new Set((headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !hopByHop.has(name) && !connectionOptions.has(name)))
}
