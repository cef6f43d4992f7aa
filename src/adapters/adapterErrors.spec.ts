/** Guards against errors of callbacks, listeners and status pages that end the whole process. */
import { once } from 'node:events'
import { request } from 'node:http'
import { connect, Server, type AddressInfo } from 'node:net'
import { wireCodec } from '../../platform/wireCodec.js'
import { requestText } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'
import type { ForwardInput } from '../ports/forwardPort.js'
import { createFrontServer } from './frontServer.js'
import { createPeerTcp } from './peerTcp.js'
import { startStatusServer } from './statusServer.js'

/** Performs a request; resolves to its status and body. */
const get = (port: number, path: string): Promise<{ readonly status: number | undefined, readonly body: string }> => new Promise((resolve, reject) => {
  request({ host: '127.0.0.1', port, path, agent: false }, response => {
    let body = ''
    response.on('data', chunk => { body += String(chunk) })
    response.on('end', () => resolve({ status: response.statusCode, body }))
  }).on('error', reject).end()
})

const buildErrors = () => {
  const errors: string[] = []
  return { errors, report: (place: string): void => { errors.push(place) } }
}

/** Sends bytes; resolves to all that arrived until the connection was closed, or until a response with a body was there. */
const exchange = async (port: number, text: string): Promise<string> => {
  const socket = connect({ port, host: '127.0.0.1' })
  await once(socket, 'connect')
  let received = ''
  socket.on('error', () => { /* The close follows. */ })
  socket.on('data', bytes => { received += String(bytes) })
  socket.write(text)
  await waitFor(() => socket.destroyed || /\r\n\r\n.+/s.test(received))
  socket.destroy()
  return received
}

describe('a status page', () => {
  it.each([['throws', () => { throw new TypeError('broken') }], ['rejects', () => Promise.reject(new TypeError('broken'))]])('whose handler %s is answered with status 500, and the next one is served', async (_how, answer) => {
    const { errors, report } = buildErrors()
    const server = await startStatusServer('127.0.0.1', 0, { '/bad': answer, '/good': () => ({ status: 200, contentType: 'text/plain', body: 'ok' }) }, () => Infinity, report)
    const { port } = server.address() as AddressInfo
    expect(await get(port, '/bad')).toMatchObject({ status: 500 })
    expect(await get(port, '/%zz')).toMatchObject({ status: 404 })
    expect(await get(port, '/good')).toEqual({ status: 200, body: 'ok' })
    expect(errors).toEqual(['statusAnswer'])
    server.close()
    server.closeAllConnections()
  })
})

describe('a listener', () => {
  it.each([
    ['callers', (report: (place: string) => void) => createFrontServer({ host: '127.0.0.1', port: 0, headerBytes: 16_384, decode: wireCodec.decodeCall, nameRequest: wireCodec.nameRequest, reportError: report }, () => { /* No request comes. */ })],
    ['peers', (report: (place: string) => void) => createPeerTcp({ id: 'a', incarnation: 'a-1', host: '127.0.0.1', port: 0, frameLimit: 64 }, { emit: () => { /* None comes. */ }, garbled: () => { /* None. */ }, sent: () => { /* None. */ }, received: () => { /* None. */ }, reportError: report })]
  ])('for %s outlives accepts that fail again and again, as without free file descriptors', async (_whom, create) => {
    const { errors, report } = buildErrors()
    const spy = jest.spyOn(Server.prototype, 'listen')
    const listener = create(report)
    await listener.listen()
    const [server] = spy.mock.contexts as Server[]
    spy.mockRestore()
    for (let count = 0; count < 3; count++) server.emit('error', new Error('accept EMFILE'))
    expect(errors).toEqual(['listener', 'listener', 'listener'])
    server.close()
  })
})

describe('the server for callers', () => {
  const start = async (decode: typeof wireCodec.decodeCall) => {
    const { errors, report } = buildErrors()
    const inputs: ForwardInput[] = []
    const front = createFrontServer({ host: '127.0.0.1', port: 0, headerBytes: 16_384, decode, nameRequest: wireCodec.nameRequest, reportError: report }, input => {
      inputs.push(input)
      if (input.kind === 'call.arrived') onArrival(input.request, input.call.id)
    })
    const onArrival = (requestNumber: number, id: string): void => {
      const headers = id === 'badHeader' ? ['X-Bad', 'a\u0000b'] : []
      if (id === 'badStream') {
        front.perform({ kind: 'call.open', request: requestNumber, status: 200, headers: [] })
        front.perform({ kind: 'call.write', request: requestNumber, bytes: 5 as unknown as Buffer })
        return
      }
      front.perform({ kind: 'call.answer', request: requestNumber, status: 200, headers, body: Buffer.from('fine') })
    }
    return { front, port: await front.listen(), errors, inputs }
  }

  it('answers a request whose decoder throws with status 500 and an unknown outcome, and serves the next', async () => {
    const { front, port, errors } = await start((head, body) => {
      if (head.headers.includes('bad')) throw new TypeError('broken')
      return wireCodec.decodeCall(head, body)
    })
    expect(await exchange(port, requestText('bad'))).toMatch(/^HTTP\/1.1 500 [^]*"outcome":"unknown"/)
    expect(await exchange(port, requestText('good'))).toMatch(/^HTTP\/1.1 200 [^]*fine$/)
    expect(errors).toEqual(['decodeCall'])
    front.destroy()
  })

  it('answers a request whose response cannot be sent with status 500, breaks off one that has begun and tells the core, and serves the next', async () => {
    const { front, port, errors, inputs } = await start(wireCodec.decodeCall)
    expect(await exchange(port, requestText('badHeader'))).toMatch(/^HTTP\/1.1 500 [^]*"outcome":"unknown"/)
    expect(await exchange(port, requestText('badStream'))).not.toContain('0\r\n\r\n')
    expect(await exchange(port, requestText('good'))).toMatch(/^HTTP\/1.1 200 [^]*fine$/)
    expect(errors).toEqual(['call.answer', 'call.write'])
    expect(inputs.filter(({ kind }) => kind === 'call.left')).toMatchObject([{ id: 'badHeader', reason: 'aborted' }, { id: 'badStream', reason: 'aborted' }])
    front.destroy()
  })
})
