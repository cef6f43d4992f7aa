/**
 * One connection to a worker, and how it ended. A response without a length ends
 * when the connection is closed, so a reset has to be told from a normal close.
 */
import type { Socket } from 'node:net'

/** State of one connection to a worker. */
export interface WorkerConnection {
  /** Whether a response is being received, which may end with the connection. */
  receiving: boolean
  /** Whether the connection was reset. */
  readonly isReset: () => boolean
  /** Whether the worker closed the connection, or its sending side of it. */
  readonly hasEnded: () => boolean
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
  const connection: WorkerConnection = { receiving: false, isReset: () => reset, hasEnded: () => ended }
  socket.once('error', () => { reset = true })
  socket.once('end', () => {
    ended = true
    if (!connection.receiving) return
    socket.write('\r\n')
    reset ||= socket.errored !== null
  })
  return connection
}
