/** Addresses of platform services as settings give them. */
import type { Address } from '../endpoints/endpointsTypes.js'

const defaultPorts: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 }

/**
 * Takes host and port out of a base URL.
 *
 * @param baseUrl - `http://host:port`; throws `TypeError` when it is no URL
 * @returns the address
 */
export const addressOf = (baseUrl: string): Address => {
  const { hostname, port, protocol } = new URL(baseUrl)
  const host = hostname.replace(/^\[|\]$/g, '')
  return { host, port: port === '' ? defaultPorts[protocol] ?? 0 : Number(port) }
}
