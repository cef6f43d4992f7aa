/**
 * Tells a connection that the other side closed from one that it reset, and lets
 * what came before either be read. A response without a length ends with its
 * connection, and is whole only if that was closed. The event loop reports a reset
 * that arrives together with data as a close, and the HTTP library takes a reset for
 * the end of such a response. What is written shows the difference: after a reset it
 * fails as reset, after a close and a reset, as sent by a worker that does not read
 * the rest of a request, as a broken pipe. It may fail before what has arrived has
 * been read; a failed write therefore ends a connection only with its last bytes.
 */
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'
import { afterNextRead } from './nextRead.js'

/** The other side has reset the connection without having closed it. */
export class ConnectionReset extends Error {
  override readonly name = 'ConnectionReset'
}

/** How the other side has ended the connection, as far as a failed write shows; a reset may have followed the close. */
type ConnectionState = 'open' | 'closed' | 'reset'

/** Called once a write has been done or has failed. */
type WriteCallback = (error?: Error | null) => void

/** What is written to learn how a connection has ended. HTTP ignores empty lines between requests. */
const emptyLine = '\r\n'

const stateAfter = (error: Error | null | undefined): ConnectionState => {
  if (error === null || error === undefined || !('code' in error)) return 'open'
  if (error.code === 'EPIPE') return 'closed'
  return error.code === 'ECONNRESET' ? 'reset' : 'open'
}

/**
 * Lets a connection end without an error only if the other side has closed it; a
 * reset destroys it with a `ConnectionReset`, which the HTTP library does not take
 * for the end of a response.
 *
 * @param socket - the open connection, plain or with TLS, on which nothing has been received yet
 * @returns a function that returns whether the other side has closed the connection, or its sending side of it
 */
export const distinguishEnds = (socket: Socket): () => boolean => {
  const push = socket.push.bind(socket)
  const destroy = socket.destroy.bind(socket)
  const write = socket._write.bind(socket)
  const writev = socket._writev?.bind(socket)
  let state: ConnectionState = 'open'
  /** Whether all that came has been read, while it is not known yet how the connection ended. */
  let isReadToEnd = false

  const end = (): void => {
    if (state !== 'closed') {
      destroy(new ConnectionReset())
      return
    }
    push(null)
    // Lets the stream notice its end.
    socket.read(0)
  }

  /** A write that failed since the other side has ended the connection is never done; the end follows what is still to be read. */
  const holdFailure = (done: WriteCallback): WriteCallback => error => {
    const found = stateAfter(error)
    if (found === 'open') return done(error)
    if (state === 'open') state = found
    if (isReadToEnd) end()
  }

  socket._write = (bytes, encoding, done) => write(bytes, encoding, holdFailure(done))
  if (writev !== undefined) socket._writev = (parts, done) => writev(parts, holdFailure(done))

  socket.destroy = error => destroy(stateAfter(error) === 'reset' ? new ConnectionReset() : error)

  socket.push = (bytes, encoding) => {
    if (bytes !== null) return push(bytes, encoding)
    isReadToEnd = true
    // The system forgets the other side's address with a reset, and keeps it after a close.
    if (socket.remoteAddress !== undefined) state = 'closed'
    if (state === 'open') {
      if (socket.writableLength === 0) socket.write(emptyLine)
      afterNextRead(() => { if (state === 'open') end() })
      return false
    }
    end()
    return false
  }

  return () => state === 'closed'
}

/**
 * Creates the connector of a client of the HTTP library whose connections end without an error only if the other side has closed them.
 *
 * @param options - time limit in ms, keep-alive and TLS settings
 */
export const createConnector = (options: buildConnector.BuildOptions): buildConnector.connector => {
  const connect = buildConnector(options)
  return (target, callback) => connect(target, (...result) => {
    const [error, socket] = result
    if (error === null) distinguishEnds(socket)
    callback(...result)
  })
}
