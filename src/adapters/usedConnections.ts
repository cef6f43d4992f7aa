/** Connections of a server that have carried requests, to close those that are idle without losing a request that has arrived. */
import type { Socket } from 'node:net'
import { afterNextRead } from './nextRead.js'

/** The connections of a server that have carried requests. */
export interface UsedConnections {
  /** Notes that a request of the connection has begun; `onClosed` is called if the connection is closed before it ends. */
  readonly begin: (socket: Socket, onClosed: () => void) => void
  /** Notes that the response to the request with this `onClosed` has been sent, or has ended. */
  readonly end: (socket: Socket, onClosed: () => void) => void
  /** Closes the connections without open requests to which nothing has come since the last one. */
  readonly closeIdle: () => void
}

interface Usage {
  /** Callbacks of the open requests. */
  readonly openRequests: Set<() => void>
  /** Number of bytes that had been read when the last request ended. */
  readAtLastEnd: number
}

/** Creates the set of connections, which is empty. */
export const createUsedConnections = (): UsedConnections => {
  const usages = new Map<Socket, Usage>()

  const follow = (socket: Socket): Usage => {
    const usage: Usage = { openRequests: new Set(), readAtLastEnd: 0 }
    usages.set(socket, usage)
    socket.once('close', () => {
      usages.delete(socket)
      for (const onClosed of usage.openRequests) onClosed()
    })
    return usage
  }

  const begin = (socket: Socket, onClosed: () => void): void => {
    const usage = usages.get(socket) ?? follow(socket)
    usage.openRequests.add(onClosed)
  }

  const end = (socket: Socket, onClosed: () => void): void => {
    const usage = usages.get(socket)
    if (usage === undefined) return
    usage.openRequests.delete(onClosed)
    usage.readAtLastEnd = socket.bytesRead
  }

  const closeIdle = (): void => {
    afterNextRead(() => {
      for (const [socket, { openRequests, readAtLastEnd }] of usages) {
        if (openRequests.size === 0 && socket.bytesRead === readAtLastEnd) socket.destroy()
      }
    })
  }

  return { begin, end, closeIdle }
}
