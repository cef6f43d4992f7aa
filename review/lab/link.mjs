/** A link to one worker: a proxy that can hold what passes, as a partition does, and passes it on once it is healed. */
import { connect, createServer } from 'node:net'

/**
 * Starts a link.
 *
 * @param host - loopback address on which it listens
 * @param target - returns the address of the worker
 */
export const startLink = async (host, target) => {
  let cut = false
  const held = []
  const sockets = new Set()

  /** Does a step now, or once the link is healed. */
  const pass = step => {
    if (cut) held.push(step)
    else step()
  }

  const join = (from, to) => {
    from.on('data', bytes => pass(() => { if (to.writable) to.write(bytes) }))
    from.on('end', () => pass(() => { if (to.writable) to.end() }))
    from.on('error', () => pass(() => to.destroy()))
    from.on('close', () => sockets.delete(from))
    sockets.add(from)
  }

  const server = createServer({ allowHalfOpen: true }, caller => {
    const worker = connect({ ...target(), allowHalfOpen: true })
    join(caller, worker)
    join(worker, caller)
  })
  await new Promise(resolve => { server.listen(0, host, resolve) })

  return {
    address: `${host}:${server.address().port}`,
    cut: () => { cut = true },
    heal: () => {
      cut = false
      for (const step of held.splice(0)) step()
    },
    close: () => new Promise(resolve => {
      for (const socket of sockets) socket.destroy()
      server.close(() => resolve())
    })
  }
}
