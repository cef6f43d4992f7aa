import type { Socket } from 'node:net'
import { startFront, requestText, type FrontFixture } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'

let fixture: FrontFixture

beforeEach(async () => { fixture = await startFront() })
afterEach(() => fixture.close())

const strict = { bodyBytes: 10, idleTimeout: 10_000, headerTimeout: 3_000 }

const turns = async (count: number): Promise<void> => {
  for (let turn = 0; turn < count; turn++) await new Promise(resolve => setImmediate(resolve))
}

/** Sends more in pieces and reads the response only then, as callers do that write their whole request first. */
const sendThenRead = async (socket: Socket): Promise<string> => {
  let text = ''
  let ended = false
  for (let piece = 0; piece < 5; piece++) {
    socket.write('x'.repeat(100))
    await turns(5)
  }
  socket.on('data', bytes => { text += String(bytes) })
  socket.on('end', () => { ended = true })
  socket.resume()
  await waitFor(() => ended || socket.destroyed)
  return text
}

describe('a response that ends its connection', () => {
  it('reaches a caller that first sends the rest of a body that is too large', async () => {
    fixture.front.setLimits(strict)
    const socket = await fixture.openPaused()
    socket.write(requestText('large', 'x'.repeat(1_000)).slice(0, -500))
    await waitFor(() => fixture.inputs.length === 1)
    fixture.front.perform({ kind: 'call.answer', request: 1, status: 413, headers: [], body: Buffer.from('too large') })
    await turns(5)
    expect(await sendThenRead(socket)).toMatch(/^HTTP\/1.1 413 .*too large$/s)
  })

  it.each([
    ['not HTTP', 'no request\r\n\r\n', 400],
    ['headers that are too large', `GET / HTTP/1.1\r\nX-A: ${'x'.repeat(20_000)}`, 431]
  ])('reaches a caller that goes on sending after %s', async (_name, text, status) => {
    const socket = await fixture.openPaused()
    socket.write(text)
    await turns(5)
    expect(await sendThenRead(socket)).toMatch(new RegExp(`^HTTP/1.1 ${status} `))
    expect(fixture.inputs).toEqual([])
  })

  it('does not keep the connection of a caller that neither reads nor closes it', async () => {
    const socket = await fixture.openPaused()
    socket.write('no request\r\n\r\n')
    await waitFor(() => fixture.ends.length === 1)
    expect(fixture.ends).toEqual(['malformed'])
  })
})
