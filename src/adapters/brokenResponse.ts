/** Breaks responses to callers off, so that they do not look complete and nothing that was given before is lost. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** A request and its response. */
export interface AnsweredRequest {
  readonly message: IncomingMessage
  readonly response: ServerResponse
}

/** Whether the response has begun and ends with its connection, since an HTTP/1.0 caller reads no chunks. */
const endsWithConnection = ({ message, response }: AnsweredRequest): boolean =>
  message.httpVersion === '1.0' && response.headersSent

/** Hands what the response holds back until the end of this turn to the system. */
const flush = (socket: Socket): void => { while (socket.writableCorked > 0) socket.uncork() }

/**
 * Breaks a response off. One that ends with its connection would look complete if
 * that was closed, so it is reset.
 *
 * @param request - the request whose response is not sent to its end
 */
export const breakOff = (request: AnsweredRequest): void => {
  const { response } = request
  const { socket } = response
  if (socket !== null) flush(socket)
  if (socket !== null && endsWithConnection(request)) socket.resetAndDestroy()
  else response.destroy()
}
