/** Guards against request bodies that take the memory of an instance. */
import { startFront, type FrontFixture } from '../../test/fixtures/front.js'

let fixture: FrontFixture

afterEach(() => fixture.close())

const chunkedHead = (id: string): string => `POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`

describe('a front server', () => {
  // Guards against an object in the heap for each chunk of a body, however small.
  it('holds tiny chunks in a few blocks', async () => {
    fixture = await startFront()
    const caller = await fixture.open()
    const count = 40_000
    const concat = jest.spyOn(Buffer, 'concat')
    caller.socket.write(chunkedHead('tiny') + '1\r\nx\r\n'.repeat(count) + '0\r\n\r\n')
    await fixture.arrived('tiny')
    expect(fixture.inputs[0]).toMatchObject({ kind: 'call.arrived', call: { body: Buffer.alloc(count, 'x') } })
    const joined = Math.max(...concat.mock.calls.map(([parts]) => parts.length))
    expect(joined).toBeLessThan(20)
    concat.mockRestore()
  })
})
