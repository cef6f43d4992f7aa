/** Checks in the head of a response what the HTTP library lets through, though it is no HTTP or its body would not be the one that was sent. */

/** The head of a response is invalid, or names a transfer coding that is not removed here; the HTTP library then ends the exchange with this error. */
export class InvalidHead extends Error {
  override readonly name = 'InvalidHead'
}

/** Lowest status of a response. */
const minStatus = 100
/** Highest status of a response. */
const maxStatus = 599
/** The transfer coding that the HTTP library removes, or none. It removes no other, and leaves chunks with a tab or a comma after their name in the body. */
const removedCoding = /^(chunked|identity) *$/i

/**
 * Checks the head of a response.
 *
 * @param status - its status
 * @param transferEncoding - its header `Transfer-Encoding`, several of which are a list
 * @throws InvalidHead if the response must not be read
 */
export const checkHead = (status: number, transferEncoding: string | string[] | undefined): void => {
  if (status < minStatus || status > maxStatus) throw new InvalidHead()
  if (transferEncoding === undefined) return
  if (typeof transferEncoding !== 'string' || !removedCoding.test(transferEncoding)) throw new InvalidHead()
}
