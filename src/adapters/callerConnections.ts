/**
 * Connections of callers, the requests that are open on each, and why each of them
 * ended. The reason that is noted first holds.
 */
import type { Server } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import type { ConnectionEnd, ConnectionHistory } from '../ports/forwardPort.js'
import { connectionToClose, type ConnectionUse } from '../callerConnections/connectionLimit.js'
import { afterNextRead } from './nextRead.js'

/** The connections of a server. */
export interface CallerConnections {
  /** Sets the keep-alive timeout, in ms. An idle connection keeps a longer one that was announced on it. */
  readonly setKeepAlive: (time: number) => void
  /** Sets the time limit for receiving headers, in ms. A lower one holds once the one before has passed, as headers may be on their way. */
  readonly setHeaderTimeout: (time: number) => void
  /** Adds a request of a connection. */
  readonly addRequest: (socket: Socket, request: number) => void
  /** Removes a request whose response has been sent or that has ended. */
  readonly removeRequest: (socket: Socket, request: number) => void
  /** Whether the request is the newest of its connection, after which the connection may be closed. */
  readonly isNewest: (socket: Socket, request: number) => boolean
  /** Notes that the response to the request announces the end of the connection. */
  readonly announceEnd: (socket: Socket, request: number) => void
  /** Whether the request came after one whose response announced the end of the connection. */
  readonly isAfterEnd: (socket: Socket, request: number) => boolean
  /** Notes why a connection ends. */
  readonly noteEnd: (socket: Duplex, end: ConnectionEnd) => void
  /** Why a connection ended, or `unknown`. */
  readonly endOf: (socket: Duplex) => ConnectionEnd
  /** Notes the reason and destroys the connection. */
  readonly destroy: (socket: Duplex, end: ConnectionEnd) => void
  /** Closes a connection that has carried requests and has none, unless the next one has arrived. */
  readonly closeIfIdle: (socket: Socket) => void
  /** Closes the connections that have no request and from which nothing has been read since the last one, if any, unless something has arrived. */
  readonly closeUnused: () => void
  /** Number of open connections. */
  readonly size: () => number
  /** Number of open connections by their use. */
  readonly countByUse: () => ConnectionCounts
  /** What a connection has carried before its newest request. */
  readonly historyOf: (socket: Socket) => ConnectionHistory
  /** Resolves when a connection is closed. */
  readonly nextClosed: () => Promise<void>
  /** Closes all connections. */
  readonly destroyAll: (end: ConnectionEnd) => void
}

/** Numbers of connections: those with a request, those that have carried requests and have none, and those that have carried none. */
export interface ConnectionCounts {
  readonly busy: number
  readonly idle: number
  readonly unused: number
}

interface Connection {
  /** When it was accepted, in ms. */
  readonly openedAt: number
  /** Number of requests that it has carried, open ones included. */
  carried: number
  /** Open requests, in the order of their arrival. */
  readonly requests: Set<number>
  /** Number of bytes that had been read when the last request ended; undefined before the first one. */
  readAtLastEnd: number | undefined
  newest: number
  /** Request whose response announces the end of the connection. */
  last: number
  /** Keep-alive timeout that the newest response announces, in ms. */
  keepAlive: number
  /** When the newest request ended, in ms; when the connection was opened before the first one. */
  endedAt: number
}

/** Time beyond its keep-alive timeout after which an idle connection is closed, in ms. */
const keepAliveMargin = 1_000

/** Time for which a connection is read on after its last response, until the caller has closed it, in ms. */
const lingerTime = 1_000

/** What is called for each closed connection: its open requests and why it ended. */
export type ConnectionClosed = (requests: Iterable<number>, end: ConnectionEnd) => void

/** Responses to what could not be read, by the error's code. */
const errorStatusLines: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}
const defaultErrorStatusLine = '400 Bad Request'

const endOfError = (code: string | undefined): ConnectionEnd => {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 'headerTimeout'
  if (code === 'HPE_INVALID_EOF_STATE') return 'callerClosed'
  return code?.startsWith('HPE_') === true ? 'malformed' : 'callerReset'
}

/** Whether bytes of a response have been sent that an error response would mix with. */
const hasSentHead = (socket: Duplex): boolean =>
  (socket as Duplex & { readonly _httpMessage?: { readonly headersSent: boolean } })._httpMessage?.headersSent === true

/**
 * Follows the connections of a server, and closes those that are idle for too long or unreadable.
 *
 * @param server - the server, which is not listening yet
 * @param onClosed - called for each closed connection
 * @param limit - largest number of connections
 * @param readingSince - when the last byte of the body came that is being read on a connection with this newest request, in ms; undefined if it has been read
 */
export const followCallerConnections = (server: Server, onClosed: ConnectionClosed, limit: () => number, readingSince: (request: number) => number | undefined): CallerConnections => {
  const open = new Map<Socket, Connection>()
  const ends = new WeakMap<Duplex, ConnectionEnd>()
  const rejected = new WeakSet<Duplex>()
  const closeWaiters: (() => void)[] = []
  let headerTimeout = server.headersTimeout
  let lowering: NodeJS.Timeout | undefined

  const noteEnd = (socket: Duplex, end: ConnectionEnd): void => {
    if (!ends.has(socket)) ends.set(socket, end)
  }
  const endOf = (socket: Duplex): ConnectionEnd => ends.get(socket) ?? 'unknown'
  const destroy = (socket: Duplex, end: ConnectionEnd): void => {
    noteEnd(socket, end)
    socket.destroy()
  }

  const hasAnnouncedEnd = ({ last }: Connection): boolean => last !== Infinity

  const isIdle = (connection: Connection): boolean =>
    connection.requests.size === 0 && connection.readAtLastEnd !== undefined && !hasAnnouncedEnd(connection)

  /** Keeps an idle connection for the timeout that was announced on it, or for the present one if it is longer. */
  const extendKeepAlive = (socket: Socket, connection: Connection): void => {
    if (!isIdle(connection)) return
    connection.keepAlive = Math.max(connection.keepAlive, server.keepAliveTimeout)
    if (connection.keepAlive > 0) socket.setTimeout(connection.keepAlive + keepAliveMargin)
  }

  const setKeepAlive = (time: number): void => {
    server.keepAliveTimeout = time
    for (const [socket, connection] of open) {
      if (connection.keepAlive < time) extendKeepAlive(socket, connection)
    }
  }

  const setHeaderTimeout = (time: number): void => {
    if (time === headerTimeout) return
    headerTimeout = time
    clearTimeout(lowering)
    if (open.size === 0 || time >= server.headersTimeout) {
      server.headersTimeout = time
      return
    }
    lowering = setTimeout(() => { server.headersTimeout = time }, server.headersTimeout)
    lowering.unref()
  }

  const addRequest = (socket: Socket, request: number): void => {
    const connection = open.get(socket)
    if (connection === undefined) return
    connection.requests.add(request)
    connection.carried++
    connection.newest = request
    connection.keepAlive = server.keepAliveTimeout
  }

  const removeRequest = (socket: Socket, request: number): void => {
    const connection = open.get(socket)
    if (connection === undefined) return
    connection.requests.delete(request)
    connection.readAtLastEnd = socket.bytesRead
    connection.endedAt = performance.now()
    extendKeepAlive(socket, connection)
  }

  /** Calls `close` unless something that had arrived at the connection is read first. */
  const closeUnlessRead = (socket: Socket, close: () => void): void => {
    const readBefore = socket.bytesRead
    afterNextRead(() => {
      if (socket.bytesRead === readBefore) close()
    })
  }

  const announceEnd = (socket: Socket, request: number): void => {
    const connection = open.get(socket)
    if (connection !== undefined) connection.last = Math.min(connection.last, request)
  }

  /**
   * Closes the sending side of a connection and reads on until the caller closes it.
   * A connection that is closed while bytes are unread is reset, and its caller may lose the last response.
   */
  const linger = (socket: Socket): void => {
    announceEnd(socket, open.get(socket)?.newest ?? 0)
    socket.end()
    const timer = setTimeout(() => socket.destroy(), lingerTime)
    timer.unref()
    socket.once('close', () => clearTimeout(timer))
  }

  /** Responds to what could not be read, and closes the connection. */
  const rejectUnreadable = (socket: Socket, code: string | undefined): void => {
    const end = endOfError(code)
    const isLingering = socket.writableEnded && end !== 'callerReset'
    if (rejected.has(socket) || isLingering) return
    rejected.add(socket)
    if (end === 'callerReset' || !socket.writable || hasSentHead(socket)) return destroy(socket, end)
    noteEnd(socket, end)
    socket.write(`HTTP/1.1 ${errorStatusLines[code ?? ''] ?? defaultErrorStatusLine}\r\nConnection: close\r\n\r\n`)
    if (open.get(socket)?.requests.size === 0) linger(socket)
    else socket.destroy()
  }

  const closeIfIdle = (socket: Socket): void => {
    const connection = open.get(socket)
    if (connection === undefined) return
    afterNextRead(() => {
      if (isIdle(connection) && socket.bytesRead === connection.readAtLastEnd) destroy(socket, 'shutdown')
    })
  }

  /** Without any read request the caller may send elsewhere what it sends on such a connection. */
  const closeIfUnused = (socket: Socket, connection: Connection): void => {
    const isUnused = (): boolean => connection.requests.size === 0 && !hasAnnouncedEnd(connection) && socket.bytesRead === (connection.readAtLastEnd ?? 0)
    if (!isUnused()) return
    afterNextRead(() => { if (isUnused()) destroy(socket, 'shutdown') })
  }

  const useOf = (connection: Connection): ConnectionUse => {
    const { carried, endedAt, newest, requests } = connection
    if (carried === 0) return { kind: 'unused', since: endedAt }
    if (requests.size === 0) return { kind: 'idle', since: endedAt }
    const since = requests.size === 1 ? readingSince(newest) : undefined
    return since === undefined ? { kind: 'busy' } : { kind: 'reading', since }
  }

  /** Closes the connection with the least claim if there are more than the limit. */
  const makeRoom = (added: Socket): void => {
    if (open.size <= limit()) return
    const others = [...open].flatMap(([socket, connection]) => socket === added ? [] : [[socket, useOf(connection)] as const])
    destroy(connectionToClose(others, performance.now()) ?? added, 'noRoom')
  }

  const countByUse = (): ConnectionCounts => {
    const all = [...open.values()]
    const busy = all.filter(({ requests }) => requests.size > 0).length
    const unused = all.filter(({ carried }) => carried === 0).length
    return { busy, idle: all.length - busy - unused, unused }
  }

  const historyOf = (socket: Socket): ConnectionHistory => {
    const connection = open.get(socket)
    if (connection === undefined) return { age: 0, earlier: 0 }
    return { age: Math.round(performance.now() - connection.openedAt), earlier: connection.carried - 1 }
  }

  server.on('connection', socket => {
    const connection: Connection = { openedAt: performance.now(), carried: 0, requests: new Set(), readAtLastEnd: undefined, newest: 0, last: Infinity, keepAlive: server.keepAliveTimeout, endedAt: performance.now() }
    open.set(socket, connection)
    // The server calls it after a response that announced the end of its connection.
    socket.destroySoon = () => linger(socket)
    // Without a write to it, a connection that was closed looks like one whose sending side was closed; both end the work for the caller.
    socket.on('end', () => noteEnd(socket, 'callerClosed'))
    socket.on('error', (error: NodeJS.ErrnoException) => noteEnd(socket, endOfError(error.code)))
    socket.on('close', () => {
      open.delete(socket)
      onClosed(connection.requests, endOf(socket))
      for (const resolve of closeWaiters.splice(0)) resolve()
    })
    makeRoom(socket)
  })
  server.on('timeout', socket => {
    const connection = open.get(socket)
    if (connection !== undefined && isIdle(connection)) closeUnlessRead(socket, () => destroy(socket, 'idleTimeout'))
  })
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket
    const reject = (): void => rejectUnreadable(socket, error.code)
    if (endOfError(error.code) !== 'headerTimeout') return reject()
    const newestBefore = open.get(socket)?.newest
    afterNextRead(() => {
      if (open.get(socket)?.newest === newestBefore) reject()
    })
  })

  return {
    setKeepAlive,
    setHeaderTimeout,
    addRequest,
    removeRequest,
    isNewest: (socket, request) => open.get(socket)?.newest === request,
    announceEnd,
    isAfterEnd: (socket, request) => request > (open.get(socket)?.last ?? 0),
    noteEnd,
    endOf,
    destroy,
    closeIfIdle,
    closeUnused: () => { for (const [socket, connection] of open) closeIfUnused(socket, connection) },
    size: () => open.size,
    countByUse,
    historyOf,
    nextClosed: () => new Promise(resolve => { closeWaiters.push(resolve) }),
    destroyAll: end => { for (const socket of open.keys()) destroy(socket, end) }
  }
}
