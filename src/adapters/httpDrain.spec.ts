/** Guards against a planned stop of an entry instance that cuts off requests which have been read: each is answered whole, or never read, so that its caller may send it elsewhere. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { waitFor } from '../../test/fakes/waitFor.js'
import { suspend } from '../../test/fixtures/front.js'
import { createHttpServer, type HttpServer, type ReceivedRequest } from './httpServer.js'

interface Caller {
  readonly socket: Socket
  readonly text: () => string
  readonly isClosed: () => boolean
}

/** More than the sockets of both sides buffer together, in bytes. */
const hugeBody = 'x'.repeat(32_000_000)
const requestText = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n`

let server: HttpServer
let port: number
const received: ReceivedRequest[] = []
const gone: number[] = []
const sockets: Socket[] = []

const start = async (receiveTimeout = 5_000): Promise<void> => {
  const ignore = (): void => { /* Not of interest here. */ }
  server = createHttpServer(
    { host: '127.0.0.1', port: 0, bodyLimit: 1_024, headerLimit: 16_384, receiveTimeout, writeBuffer: 1_024 },
    { arrived: request => received.push(request), gone: request => gone.push(request), blocked: ignore, ready: ignore, refused: ignore }
  )
  port = await server.listen()
}

beforeEach(() => {
  received.length = 0
  gone.length = 0
})

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
  server.closeListener()
  server.destroy()
})

const openPaused = async (): Promise<Socket> => {
  const socket = connect({ port, host: '127.0.0.1', noDelay: true })
  sockets.push(socket)
  socket.on('error', () => { /* A reset is seen as the close that follows. */ })
  await once(socket, 'connect')
  return socket
}

const open = async (): Promise<Caller> => {
  const socket = await openPaused()
  let text = ''
  let closed = false
  socket.on('data', bytes => { text += String(bytes) })
  socket.on('close', () => { closed = true })
  return { socket, text: () => text, isClosed: () => closed }
}

const arrived = async (path: string): Promise<number> => {
  await waitFor(() => received.some(request => request.path === path))
  return received.find(request => request.path === path)?.request ?? 0
}

const answer = (request: number, body: string): void => server.perform({ kind: 'caller.answer', request, status: 200, headers: {}, body })

const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

describe('an HTTP server that stops', () => {
  it('answers or never reads a request that comes on a connection without requests, at any time until all connections are closed', async () => {
    await start()
    const callers = await Promise.all(Array.from({ length: 12 }, open))
    server.closeListener()
    const drain = { flushed: false }
    server.flushed().then(() => { drain.flushed = true })
    callers.forEach(({ socket }, index) => setImmediate(() => socket.write(requestText(`/${index}`))))
    while (!drain.flushed) {
      for (const { request, path } of received) answer(request, `body of ${path}`)
      await turn()
    }
    server.destroy()
    await waitFor(() => callers.every(({ isClosed }) => isClosed()))
    const answered = callers.flatMap(({ text }, index) => text().endsWith(`body of /${index}`) ? [`/${index}`] : [])
    expect(answered).toEqual(received.map(({ path }) => path).sort((one, other) => Number(one.slice(1)) - Number(other.slice(1))))
    expect(gone).toEqual([])
  })

  it('closes connections without requests, and has then nothing left to answer', async () => {
    await start()
    const [unused, idle] = [await open(), await open()]
    idle.socket.write(requestText('/first'))
    answer(await arrived('/first'), 'one')
    await waitFor(() => idle.text().endsWith('one'))
    server.closeListener()
    await server.flushed()
    unused.socket.write(requestText('/late'))
    await waitFor(() => unused.isClosed() && idle.isClosed())
    expect(received.map(({ path }) => path)).toEqual(['/first'])
  })

  it('waits for a whole answer that its caller is still reading', async () => {
    await start()
    const socket = await openPaused()
    socket.write(requestText('/slow'))
    answer(await arrived('/slow'), hugeBody)
    server.closeListener()
    const flushed = server.flushed().then(() => server.destroy())
    let size = 0
    socket.on('data', bytes => { size += bytes.length })
    await flushed
    await waitFor(() => socket.destroyed)
    expect(size).toBeGreaterThan(hugeBody.length)
  })

  it('does not wait for a caller that takes nothing of its whole answer, nor for one that never completes a request', async () => {
    await start(50)
    const [answered, partial, rejected] = [await openPaused(), await openPaused(), await openPaused()]
    answered.write(requestText('/slow'))
    answer(await arrived('/slow'), hugeBody)
    rejected.write('not HTTP\r\n\r\n')
    partial.write('POST /never HTTP/1.1\r\nHost: a.exa')
    server.closeListener()
    await server.flushed()
    expect(received.map(({ path }) => path)).toEqual(['/slow'])
  })

  it('waits for a request that runs for longer than the receive timeout', async () => {
    await start(50)
    const [running, paced] = [await open(), await openPaused()]
    running.socket.write(requestText('/long'))
    paced.write(requestText('/paced'))
    const request = await arrived('/long')
    answer(await arrived('/paced'), hugeBody)
    server.closeListener()
    const flushed = server.flushed()
    // It is closed when the receive timeout has passed.
    await waitFor(() => server.busy() === 1)
    answer(request, 'whole')
    await flushed
    await waitFor(() => running.isClosed())
    expect(running.text()).toMatch(/connection: close[^]*whole$/i)
  })

  it('closes the connection of a stream that began before, once it has ended', async () => {
    await start()
    const caller = await open()
    caller.socket.write(requestText('/stream'))
    const request = await arrived('/stream')
    server.perform({ kind: 'caller.open', request, status: 200, headers: {} })
    await waitFor(() => caller.text().includes('200 OK'))
    server.setClosing()
    server.closeListener()
    const flushed = server.flushed()
    server.perform({ kind: 'caller.write', request, data: 'event' })
    server.perform({ kind: 'caller.end', request })
    await flushed
    await waitFor(() => caller.isClosed())
    expect(caller.text()).toMatch(/event\r\n0\r\n\r\n$/)
  })

  it('answers all requests of a connection on which further ones have arrived', async () => {
    await start()
    const caller = await open()
    caller.socket.write(requestText('/one') + requestText('/two'))
    const requests = [await arrived('/one'), await arrived('/two')]
    server.setClosing()
    for (const request of requests) answer(request, `answer ${request}`)
    await waitFor(() => caller.isClosed())
    const [, first, second] = caller.text().split('HTTP/1.1 ')
    expect([first.includes('close'), second.includes('close'), second.endsWith(`answer ${requests[1]}`)]).toEqual([false, true, true])
  })

  it('accepts the connections that wait in the kernel while the process is held up, and answers their requests', async () => {
    await start()
    const opening = [open(), open()]
    await new Promise<void>(resolve => process.nextTick(resolve))
    suspend(20)
    server.closeListener()
    const callers = await Promise.all(opening)
    callers.forEach(({ socket }, index) => socket.write(requestText(`/${index}`)))
    for (const path of ['/0', '/1']) answer(await arrived(path), `body of ${path}`)
    await server.flushed()
    await waitFor(() => callers.every(({ isClosed }) => isClosed()))
    expect(callers.map(({ text }) => text().split('\r\n\r\n').at(-1))).toEqual(['body of /0', 'body of /1'])
  })
})
