/**
 * One connection to a worker: how it ended, and whether bytes arrive that belong
 * to no response body. A response without a length ends when the connection is
 * closed, so a reset has to be told from a normal close.
 */
import type { Socket } from 'node:net'

/** State of one connection to a worker. */
export interface WorkerConnection {
  /** Whether a response is being received, which may end with the connection. */
  receiving: boolean
  /** Whether it has carried a whole answer, which named its request. */
  reused: boolean
  /** Ids of the requests that it answered without success, and which may be sent again. */
  readonly unsuccessful: Set<string>
  /** Notes that the head of a response, or a part of its body, has been received. */
  readonly noteProgress: () => void
  /** Whether the connection was reset. */
  readonly isReset: () => boolean
  /** Whether the worker closed the connection, or its sending side of it. */
  readonly hasEnded: () => boolean
}

/**
 * Maximum number of bytes in succession that are neither the whole head of a
 * response nor a part of its body, such as interim responses, chunk extensions
 * and trailers, in bytes.
 */
const maxFramingBytes = 131_072

/** The worker sent too many bytes that belong to no response body. */
export class OversizedFraming extends Error {
  override readonly name = 'OversizedFraming'
}

/** Closes a connection on which more than `maxFramingBytes` in succession are no progress; returns a function that notes progress. */
const limitFraming = (socket: Socket): () => void => {
  let progressed = false
  let lastProgress = 0
  socket.on('readable', () => {
    const parsed = socket.bytesRead - socket.readableLength
    if (progressed) lastProgress = parsed
    progressed = false
    if (parsed - lastProgress > maxFramingBytes) socket.destroy(new OversizedFraming())
  })
  return () => { progressed = true }
}

/**
 * Observes a connection. The event loop reports a reset that arrives together
 * with data as a normal end of the connection, but a write then fails at once.
 * The probe is an empty line, which has no effect on a worker that has only
 * closed its sending side, since HTTP ignores empty lines between requests.
 *
 * @param socket - the open connection, on which nothing has been sent yet
 */
export const observeConnection = (socket: Socket): WorkerConnection => {
  let reset = false
  let ended = false
  const connection: WorkerConnection = { receiving: false, reused: false, unsuccessful: new Set(), noteProgress: limitFraming(socket), isReset: () => reset, hasEnded: () => ended }
  socket.once('error', () => { reset = true })
  socket.once('end', () => {
    ended = true
    if (!connection.receiving) return
    socket.write('\r\n')
    reset ||= socket.errored !== null
  })
  return connection
}
