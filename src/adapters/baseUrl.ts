/** Parses the base URLs of platform services that the settings contain. */
import type { Address } from '../endpoints/endpointsTypes.js'

const defaultPorts: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 }

/**
 * Extracts the host and port from a base URL. Brackets around an IPv6 address
 * are removed. Without a port in the URL, the port is the default of HTTP or
 * HTTPS, and 0 for any other scheme.
 *
 * @param baseUrl - `http://host:port`
 * @returns the address
 * @throws `TypeError` if `baseUrl` is not a valid URL
 */
export const parseBaseUrl = (baseUrl: string): Address => {
  const { hostname, port, protocol } = new URL(baseUrl)
  const host = hostname.replace(/^\[|\]$/g, '')
  return { host, port: port === '' ? defaultPorts[protocol] ?? 0 : Number(port) }
}
