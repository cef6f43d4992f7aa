/** Connections of a server and the requests that are open on each, to close those that are idle without losing a request that has arrived. */
import type { Server, Socket } from 'node:net'
import { afterNextRead } from './nextRead.js'

/** The connections of a server. */
export interface UsedConnections {
  /** Notes that a request of the connection has begun; `onClosed` is called if the connection is closed before it ends. */
  readonly begin: (socket: Socket, onClosed: () => void) => void
  /** Notes that the response to the request with this `onClosed` has been sent, or has ended. */
  readonly end: (socket: Socket, onClosed: () => void) => void
  /** Closes the connections without open requests to which nothing has come since the last one, if any. */
  readonly closeIdle: () => void
  /** The open connections. */
  readonly list: () => Iterable<Socket>
  /** Number of open connections. */
  readonly size: () => number
  /** Resolves when a request has ended or a connection is closed. */
  readonly nextEnd: () => Promise<void>
}

interface Usage {
  /** Callbacks of the open requests. */
  readonly openRequests: Set<() => void>
  /** Number of bytes that had been read when the last request ended, or when the connection was opened. */
  readAtLastEnd: number
}

/**
 * Follows the connections of a server.
 *
 * @param server - the server, which is not listening yet
 * @param event - its event for a connection that may carry requests: after the handshake if it serves over TLS
 */
export const followUsedConnections = (server: Server, event: 'connection' | 'secureConnection'): UsedConnections => {
  const usages = new Map<Socket, Usage>()
  const waiters: (() => void)[] = []

  const noteEnd = (): void => {
    for (const resolve of waiters.splice(0)) resolve()
  }

  server.on(event, (socket: Socket) => {
    const usage: Usage = { openRequests: new Set(), readAtLastEnd: socket.bytesRead }
    usages.set(socket, usage)
    socket.once('close', () => {
      usages.delete(socket)
      for (const onClosed of usage.openRequests) onClosed()
      noteEnd()
    })
  })

  const begin = (socket: Socket, onClosed: () => void): void => { usages.get(socket)?.openRequests.add(onClosed) }

  const end = (socket: Socket, onClosed: () => void): void => {
    const usage = usages.get(socket)
    if (usage === undefined) return
    usage.openRequests.delete(onClosed)
    usage.readAtLastEnd = socket.bytesRead
    noteEnd()
  }

  const isIdle = (socket: Socket, { openRequests, readAtLastEnd }: Usage): boolean =>
    openRequests.size === 0 && socket.bytesRead === readAtLastEnd && socket.writableLength === 0

  const closeIdle = (): void => {
    const idle = [...usages].filter(([socket, usage]) => isIdle(socket, usage))
    afterNextRead(() => {
      for (const [socket, usage] of idle) if (isIdle(socket, usage)) socket.destroy()
    })
  }

  return {
    begin,
    end,
    closeIdle,
    list: () => usages.keys(),
    size: () => usages.size,
    nextEnd: () => new Promise(resolve => { waiters.push(resolve) })
  }
}
