/** Breaks responses to callers off, so that they do not look complete. */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** A request and its response. */
export interface AnsweredRequest {
  readonly message: IncomingMessage
  readonly response: ServerResponse
}

/** Whether the response has begun and ends with its connection, since an HTTP/1.0 caller reads no chunks. */
const endsWithConnection = ({ message, response }: AnsweredRequest): boolean =>
  message.httpVersion === '1.0' && response.headersSent

/**
 * Breaks a response off. One that ends with its connection would look complete if
 * that was closed, so it is reset.
 *
 * @param request - the request whose response is not sent to its end
 */
export const breakOff = (request: AnsweredRequest): void => {
  const { response } = request
  if (response.socket !== null && endsWithConnection(request)) response.socket.resetAndDestroy()
  else response.destroy()
}
