/** Splits endpoints of the form `HOST:PORT`. */
import type { Address } from './catalog/catalogTypes.js'

/** Splits `HOST:PORT`. */
export const splitHostPort = (endpoint: string): Address => {
  const colon = endpoint.lastIndexOf(':')
  return { host: endpoint.slice(0, colon), port: Number(endpoint.slice(colon + 1)) }
}
