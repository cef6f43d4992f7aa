// A link on loopback that can refuse to pass anything on: it resets what is open and every new connection.
import { connect, createServer } from 'node:net'

const host = '127.0.0.1'

/** Starts a link to a port; `setReset(true)` resets all connections until `setReset(false)`. */
export const startLink = async port => {
  const sockets = new Set()
  let resets = false
  const follow = socket => {
    sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
  }
  const server = createServer(socket => {
    if (resets) {
      socket.on('error', () => { /* Reset here. */ })
      socket.resetAndDestroy()
      return
    }
    const target = connect({ host, port })
    for (const each of [socket, target]) follow(each)
    socket.on('close', () => target.destroy())
    target.on('close', () => socket.destroy())
    socket.pipe(target)
    target.pipe(socket)
  })
  await new Promise(resolve => { server.listen(0, host, resolve) })
  return {
    address: `${host}:${server.address().port}`,
    setReset: value => {
      resets = value
      if (value) for (const socket of sockets) socket.resetAndDestroy()
    },
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
