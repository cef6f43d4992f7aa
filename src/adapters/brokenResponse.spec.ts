import type { Socket } from 'node:net'
import { startFront, type FrontFixture } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'

const part = Buffer.from('id: 1\ndata: a\n\n')

/** Waits until the caller's connection ends; returns what arrived, and whether the end was a reset. */
const readToEnd = async (socket: Socket): Promise<{ readonly text: string, readonly reset: boolean }> => {
  let text = ''
  let end: 'end' | 'reset' | undefined
  socket.on('data', bytes => { text += String(bytes) })
  socket.on('error', () => { end ??= 'reset' })
  socket.on('end', () => {
    // A reset that arrives together with data is reported as a normal end, after which a write fails at once.
    socket.write('\r\n')
    end ??= socket.errored === null ? 'end' : 'reset'
  })
  await waitFor(() => end !== undefined)
  return { text, reset: end === 'reset' }
}

const ways: readonly (readonly [string, (front: FrontFixture['front'], request: number) => void])[] = [
  ['the core aborts it', (front, request) => front.perform({ kind: 'call.abort', request })],
  ['handling it fails', (front, request) => front.perform({ kind: 'call.answer', request, status: 200, headers: [], body: part })],
  ['its caller reads too slowly', (front, request) => front.perform({ kind: 'call.write', request, bytes: Buffer.alloc(2_000) })],
  ['the server is destroyed', front => front.destroy()]
]

describe('a response that has begun and ends with its connection', () => {
  it.each(ways)('is reset when %s', async (_name, breakIt) => {
    const { front, arrived, openPaused, close } = await startFront({ unreadBound: () => 1_000 })
    const socket = await openPaused()
    socket.write('POST /a/x HTTP/1.0\r\nHost: a.example\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n')
    const request = await arrived('r1')
    front.perform({ kind: 'call.open', request, status: 200, headers: [] })
    front.perform({ kind: 'call.write', request, bytes: part })
    breakIt(front, request)
    expect(await readToEnd(socket)).toMatchObject({ reset: true })
    close()
  })

  it('is not reset when it is complete', async () => {
    const { front, arrived, openPaused, close } = await startFront()
    const socket = await openPaused()
    socket.write('POST /a/x HTTP/1.0\r\nHost: a.example\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n')
    const request = await arrived('r1')
    front.perform({ kind: 'call.open', request, status: 200, headers: [] })
    front.perform({ kind: 'call.write', request, bytes: part })
    front.perform({ kind: 'call.end', request })
    const { text, reset } = await readToEnd(socket)
    expect(reset).toBe(false)
    expect(text).toMatch(/\r\n\r\nid: 1\ndata: a\n\n$/)
    close()
  })
})
