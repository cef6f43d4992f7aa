/** Collects the complete response of a plain service. */
import type { ExchangeListener } from './httpExchange.js'
import { endToEndHeaders } from './httpHeaders.js'
import type { ResponseListenerOptions } from './modelResponseListener.js'

const maxBodyBytes = 16 * 1024 * 1024

/**
 * Creates the listener of one exchange with a plain service. It emits a single
 * `endpoint.answer` or `endpoint.failed`. A body over 16 MiB is reported as
 * `garbled`, and the connection is closed.
 *
 * @param options - the attempt and its callbacks; `from` is not used
 * @returns a listener for the exchange
 */
export const createServiceResponseListener = ({ attempt, emit, done, abort }: ResponseListenerOptions): ExchangeListener => {
  const chunks: Buffer[] = []
  let bytes = 0
  let status = 0
  let headers: Readonly<Record<string, string>> = {}

  return {
    head: (code, received) => {
      status = code
      headers = received
    },
    data: chunk => {
      bytes += chunk.length
      if (bytes <= maxBodyBytes) {
        chunks.push(chunk)
        return
      }
      emit({ kind: 'endpoint.failed', attempt, failure: 'garbled', sent: true })
      done()
      abort()
    },
    end: () => {
      emit({
        kind: 'endpoint.answer',
        attempt,
        requestId: headers['x-request-id'] ?? '',
        status,
        headers: endToEndHeaders(headers),
        body: Buffer.concat(chunks)
      })
      done()
    },
    failed: (failure, sent) => {
      emit({ kind: 'endpoint.failed', attempt, failure, sent })
      done()
    }
  }
}
