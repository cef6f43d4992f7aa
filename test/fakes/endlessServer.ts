/** A TCP server whose answers never end. */
import type { Socket } from 'node:net'
import { startRawServer, type RawServer } from './rawServer.js'

/** Bytes that are written at a time. */
const partSize = 65_536

/** Writes `text` and then `repeated` without end, until the connection is closed. */
export const writeForever = (socket: Socket, text: string, repeated: string): void => {
  const part = Buffer.from(repeated.repeat(Math.ceil(partSize / repeated.length)))
  const writeMore = (): void => { while (!socket.destroyed && socket.write(part)); }
  socket.write(text)
  socket.on('drain', writeMore)
  writeMore()
}

/** Starts a server that answers each request with status 200 and a JSON body without end. */
export const startEndlessServer = (): Promise<RawServer> =>
  startRawServer(socket => writeForever(socket, 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n', ' '))
