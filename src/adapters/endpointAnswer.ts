/** Reads a plain service's whole answer. */
import type { ExchangeListener } from './httpExchange.js'
import { endToEndHeaders } from './httpHeaders.js'
import type { StreamReading } from './endpointStream.js'

const maxAnswerBytes = 16 * 1024 * 1024

/**
 * Creates the listener of one service exchange.
 *
 * @param reading - the attempt and where its inputs go
 * @returns a listener for the exchange
 */
export const readServiceAnswer = ({ attempt, emit, done, abort }: StreamReading): ExchangeListener => {
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
      if (bytes <= maxAnswerBytes) {
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
