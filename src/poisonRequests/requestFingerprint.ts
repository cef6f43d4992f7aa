/** Recognizes a request that comes again under another id: two requests with the same workspace, method, host, path, query and body have the same fingerprint, whichever instance computes it. */
import type { Hash } from '../hash.js'
import type { Call } from '../ports/forwardPort.js'

/** What identifies a request apart from its id. */
export interface IdentifiableRequest {
  readonly call: Call
  /** The workspace that sends it; undefined on routes that need no key. */
  readonly workspace: { readonly name: string } | undefined
}

/** Separates the texts of a fingerprint; it occurs in none of them. */
const separator = '\n'
const hexDigits = 16

/** Computes the fingerprint of a request, of 16 hexadecimal digits; a request that is asked for again is not hashed again. */
export type RequestFingerprints = (request: IdentifiableRequest) => string

/**
 * Creates the fingerprints of the requests of one instance.
 *
 * @param hash - the hash functions
 */
export const createRequestFingerprints = (hash: Pick<Hash, 'h64' | 'h64Raw'>): RequestFingerprints => {
  const known = new WeakMap<Call, string>()

  const compute = ({ call, workspace }: IdentifiableRequest): string => {
    const { method, host, target, body } = call
    const head = [workspace?.name ?? '', method, host, target].join(separator)
    return hash.h64Raw(body, hash.h64(head)).toString(16).padStart(hexDigits, '0')
  }

  return request => {
    const fingerprint = known.get(request.call) ?? compute(request)
    known.set(request.call, fingerprint)
    return fingerprint
  }
}
