/** Connections of a server that have carried requests, to close those that are idle without losing a request that has arrived. */
import type { Socket } from 'node:net'
import { afterNextRead } from './nextRead.js'

/** The connections of a server that have carried requests. */
export interface UsedConnections {
  /** Notes that a request of the connection has begun. */
  readonly begin: (socket: Socket) => void
  /** Notes that the response to a request of the connection has been sent, or has ended. */
  readonly end: (socket: Socket) => void
  /** Closes the connections without open requests to which nothing has come since the last one. */
  readonly closeIdle: () => void
}

interface Usage {
  openRequests: number
  /** Number of bytes that had been read when the last request ended. */
  readAtLastEnd: number
}

/** Creates the set of connections, which is empty. */
export const createUsedConnections = (): UsedConnections => {
  const usages = new Map<Socket, Usage>()

  const begin = (socket: Socket): void => {
    const usage = usages.get(socket)
    if (usage !== undefined) {
      usage.openRequests++
      return
    }
    usages.set(socket, { openRequests: 1, readAtLastEnd: 0 })
    socket.once('close', () => usages.delete(socket))
  }

  const end = (socket: Socket): void => {
    const usage = usages.get(socket)
    if (usage === undefined) return
    usage.openRequests--
    usage.readAtLastEnd = socket.bytesRead
  }

  const closeIdle = (): void => {
    afterNextRead(() => {
      for (const [socket, { openRequests, readAtLastEnd }] of usages) {
        if (openRequests === 0 && socket.bytesRead === readAtLastEnd) socket.destroy()
      }
    })
  }

  return { begin, end, closeIdle }
}
