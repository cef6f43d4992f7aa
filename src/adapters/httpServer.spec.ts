import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { waitFor } from '../../test/fakes/waitFor.js'
import { createHttpServer, type HttpServer, type ReceivedRequest } from './httpServer.js'

/** More than the sockets of both sides buffer together, in bytes. */
const hugeBody = 'x'.repeat(32_000_000)
const requestText = 'GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n'

let server: HttpServer
let socket: Socket
const received: ReceivedRequest[] = []
const gone: number[] = []

beforeEach(async () => {
  received.length = 0
  gone.length = 0
  const ignore = (): void => { /* Not of interest here. */ }
  server = createHttpServer(
    { host: '127.0.0.1', port: 0, bodyLimit: 1_024, headerLimit: 16_384, receiveTimeout: 5_000, writeBuffer: 1_024 },
    { arrived: request => received.push(request), gone: request => gone.push(request), blocked: ignore, ready: ignore, refused: ignore }
  )
  const port = await server.listen()
  socket = connect({ port, host: '127.0.0.1', noDelay: true })
  socket.on('error', () => { /* A reset is seen as the close that follows. */ })
  await once(socket, 'connect')
})

afterEach(() => {
  socket.destroy()
  server.closeListener()
  server.destroy()
})

const answer = (body: string): void => server.perform({ kind: 'caller.answer', request: received[received.length - 1].request, status: 200, headers: {}, body })

describe('an HTTP server', () => {
  it('reports that the caller is gone for each request of its connection, also for one that follows an open one', async () => {
    socket.write(requestText + requestText)
    await waitFor(() => received.length === 2)
    socket.destroy()
    await waitFor(() => gone.length > 0)
    await new Promise(resolve => setImmediate(resolve))
    expect(gone).toEqual(received.map(({ request }) => request))
    expect(server.busy()).toBe(0)
  })
})

describe('an HTTP server that stops listening', () => {
  it('does not cut a complete response that its caller is still reading', async () => {
    socket.write(requestText)
    await waitFor(() => received.length === 1)
    answer(hugeBody)
    server.closeListener()
    let size = 0
    socket.on('data', bytes => { size += bytes.length })
    await waitFor(() => socket.destroyed || socket.readableEnded || size > hugeBody.length)
    expect(size).toBeGreaterThan(hugeBody.length)
  })

  it('answers a request that has arrived at an idle connection but has not been read', async () => {
    let text = ''
    socket.on('data', bytes => { text += String(bytes) })
    socket.write(requestText)
    await waitFor(() => received.length === 1)
    answer('one')
    await waitFor(() => text.endsWith('one'))
    socket.write(requestText)
    server.closeListener()
    await waitFor(() => received.length === 2 || socket.destroyed)
    expect(received).toHaveLength(2)
  })

  it('closes idle connections', async () => {
    socket.resume()
    socket.write(requestText)
    await waitFor(() => received.length === 1)
    answer('one')
    await waitFor(() => server.busy() === 0)
    server.closeListener()
    await waitFor(() => socket.readableEnded)
  })
})
