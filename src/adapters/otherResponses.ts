/** Keeps the response to another request, such as a late copy of an earlier one on a connection in use again, from being taken for the response to this one. */
import type { ExchangeListener } from './httpExchange.js'

/**
 * Makes an exchange fail as `garbled` if its response names another request. A
 * response that names none is passed on, since plain services and rejections of
 * engines need not name their request.
 *
 * @param id - id of the request
 * @param listener - receives the response; a stream with status 200 that names another request is passed on, too, if `checksStreams` says that it checks that
 * @param abort - closes the connection
 * @param checksStreams - whether the listener's owner compares the ids of streams
 */
export const rejectOtherResponses = (id: string, listener: ExchangeListener, abort: () => void, checksStreams: boolean): ExchangeListener => ({
  ...listener,
  head: (status, headers) => {
    const named = headers['x-request-id']
    if (named === undefined || named === id || (checksStreams && status === 200)) return listener.head(status, headers)
    abort()
    listener.failed('garbled', true)
  }
})
