import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { wireCodec } from '../../platform/wireCodec.js'
import type { ForwardInput } from '../ports/forwardPort.js'
import { createFrontServer, type FrontServer } from './frontServer.js'

interface Fixture {
  readonly front: FrontServer
  readonly inputs: ForwardInput[]
  readonly port: number
  /** Resolves to the first input of a kind, including those already received. */
  readonly next: <Kind extends ForwardInput['kind']>(kind: Kind) => Promise<Extract<ForwardInput, { kind: Kind }>>
}

const sockets: Socket[] = []
let fixture: Fixture

const request = (id: string, body = ''): string =>
  `POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`

beforeEach(async () => {
  const inputs: ForwardInput[] = []
  const waiting: (() => void)[] = []
  const front = createFrontServer({ host: '127.0.0.1', port: 0, headerBytes: 16_384, decode: wireCodec.decodeCall, nameRequest: wireCodec.nameRequest }, input => {
    inputs.push(input)
    for (const check of waiting) check()
  })
  const next: Fixture['next'] = kind => new Promise(resolve => {
    const check = (): void => {
      const found = inputs.find(input => input.kind === kind)
      if (found !== undefined) resolve(found as Parameters<typeof resolve>[0])
    }
    waiting.push(check)
    check()
  })
  fixture = { front, inputs, port: await front.listen(), next }
})

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
  fixture.front.destroy()
})

const open = async (): Promise<Socket> => {
  const socket = connect(fixture.port, '127.0.0.1')
  sockets.push(socket)
  await once(socket, 'connect')
  return socket
}

const textOf = async (socket: Socket, end: string): Promise<string> => {
  let text = ''
  for await (const bytes of socket) {
    text += String(bytes)
    if (text.includes(end)) break
  }
  return text
}

describe('the front server', () => {
  it('passes a request to the core and sends the answer', async () => {
    const socket = await open()
    socket.write(request('r1', 'abc'))
    const { request: number, call } = await fixture.next('call.arrived')
    expect(call).toMatchObject({ id: 'r1', path: '/a/x', host: 'a.example' })
    expect(call.body.toString()).toBe('abc')
    fixture.front.perform({ kind: 'call.answer', request: number, status: 200, headers: ['X-A', 'b'], body: Buffer.from('done') })
    expect(await textOf(socket, 'done')).toMatch(/^HTTP\/1\.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n/)
  })

  it('does not pass on a request whose caller disconnected before it was handled', async () => {
    const socket = await open()
    const other = await open()
    socket.write(request('r1'))
    socket.destroy()
    await fixture.next('call.left')
    other.write(request('r2'))
    await fixture.next('call.arrived')
    expect(fixture.inputs.flatMap(input => input.kind === 'call.arrived' ? [input.call.id] : [])).toEqual(['r2'])
  })

  it('rejects a body over the size limit without reading it to its end', async () => {
    fixture.front.setLimits({ bodyBytes: 10, idleTimeout: 1_000, headerTimeout: 1_000 })
    const socket = await open()
    socket.write(request('r1', 'x'.repeat(30)).slice(0, -1))
    const { problem } = await fixture.next('call.unreadable')
    expect(problem).toEqual({ kind: 'bodyTooLarge', limit: 10 })
  })

  it('sends `Connection: close` to callers once it is closing', async () => {
    const socket = await open()
    fixture.front.setClosing()
    socket.write(request('r1'))
    const { request: number } = await fixture.next('call.arrived')
    fixture.front.perform({ kind: 'call.answer', request: number, status: 200, headers: [], body: Buffer.from('x') })
    expect((await textOf(socket, '\r\n\r\nx')).toLowerCase()).toContain('connection: close')
  })

  it('cuts an aborted answer, so that it does not look complete', async () => {
    const socket = await open()
    socket.write(request('r1'))
    const { request: number } = await fixture.next('call.arrived')
    fixture.front.perform({ kind: 'call.open', request: number, status: 200, headers: [] })
    fixture.front.perform({ kind: 'call.write', request: number, bytes: Buffer.from('id: 1\n') })
    await once(socket, 'data')
    fixture.front.perform({ kind: 'call.abort', request: number })
    const rest: Buffer[] = []
    socket.on('data', bytes => rest.push(bytes))
    socket.on('error', () => { /* A connection reset is accepted too. */ })
    await new Promise(resolve => { socket.on('close', resolve) })
    expect(Buffer.concat(rest).toString()).not.toContain('0\r\n\r\n')
  })
})
