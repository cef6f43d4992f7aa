/**
 * One connection to a worker: how it ended, and whether bytes arrive that belong
 * to no response body.
 */
import type { Socket } from 'node:net'
import { distinguishEnds } from './connectionEnds.js'

/** State of one connection to a worker. */
export interface WorkerConnection {
  /** Whether the body of a response is being received. */
  receiving: boolean
  /** Whether it has carried a whole answer, which named its request. */
  reused: boolean
  /** Ids of the requests that it answered without success, and which may be sent again. */
  readonly unsuccessful: Set<string>
  /** Notes that the head of a response, or a part of its body, has been received. */
  readonly noteProgress: () => void
  /** Whether the worker closed the connection, or its sending side of it. */
  readonly isClosed: () => boolean
}

/**
 * Maximum number of bytes in succession that are neither the whole head of a
 * response nor a part of its body, such as interim responses, chunk extensions
 * and trailers, in bytes.
 */
const maxFramingBytes = 131_072

/** Maximum number of lines of a head. The HTTP library makes two objects of each line and an error of each one beyond its limit of bytes. */
const maxHeadLines = 256
const lineFeed = 10
/** Number of characters of a status line up to the end of its status. */
const statusEnd = 'HTTP/1.1 200 '.length
/** The status line of a response up to that end; the reason may be missing. */
const statusPattern = /^HTTP\/1\.[01] [1-5]\d\d[ \r]?$/
/** Begin of a response after which another one comes for the same request. */
const interimPattern = /^HTTP\/1\.[01] 1/

/** The worker sent too many bytes that belong to no response body. */
export class OversizedFraming extends Error {
  override readonly name = 'OversizedFraming'
}

/** What the worker sent is no response of HTTP/1. */
export class MalformedHead extends Error {
  override readonly name = 'MalformedHead'
}

/** Reads a head that arrives in parts; returns the error of one that has too many lines or no status line. */
const createHeadReader = (): (bytes: Buffer) => Error | undefined => {
  let lines = 0
  /** The status line, up to the end of its status. */
  let begin = ''
  /** Number of bytes of the present line that came before. */
  let lineBytes = 0

  const readBegin = (bytes: Buffer, start: number, end: number): void => {
    if (lines === 0) begin += bytes.toString('latin1', start, Math.min(end, start + statusEnd - begin.length))
  }

  return bytes => {
    let start = 0
    for (let end = bytes.indexOf(lineFeed); end >= 0; end = bytes.indexOf(lineFeed, start)) {
      const length = lineBytes + end - start
      readBegin(bytes, start, end)
      start = end + 1
      lineBytes = 0
      // Empty lines before a response are ignored.
      if (lines === 0 && length <= 1) {
        begin = ''
        continue
      }
      lines++
      if (lines === 1 && !statusPattern.test(begin)) return new MalformedHead()
      if (lines > maxHeadLines) return new OversizedFraming()
      if (length > 1) continue
      const isInterim = interimPattern.test(begin)
      lines = 0
      begin = ''
      // What follows the head of a final response is its body.
      if (!isInterim) return undefined
    }
    readBegin(bytes, start, bytes.length)
    lineBytes += bytes.length - start
    return undefined
  }
}

/** Closes a connection on which a head of too many lines, or what is no head, begins, before the HTTP library reads it. */
const checkHeads = (socket: Socket, connection: Pick<WorkerConnection, 'receiving'>): void => {
  let read = createHeadReader()
  socket.on('readable', () => {
    if (connection.receiving) {
      read = createHeadReader()
      return
    }
    const bytes = socket.read() as Buffer | null
    if (bytes === null) return
    const error = read(bytes)
    if (error === undefined) socket.unshift(bytes)
    else socket.destroy(error)
  })
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
 * Observes a connection.
 *
 * @param socket - the open connection, on which nothing has been sent yet
 */
export const observeConnection = (socket: Socket): WorkerConnection => {
  const connection: WorkerConnection = { receiving: false, reused: false, unsuccessful: new Set(), noteProgress: limitFraming(socket), isClosed: distinguishEnds(socket) }
  checkHeads(socket, connection)
  return connection
}
