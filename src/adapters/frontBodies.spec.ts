/** Guards against request bodies that take the memory of an instance. */
import { startFront, suspend, type FrontFixture, type TestCaller } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'
import type { BodyRefusal } from '../requestBodies/requestBodies.js'

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

  const limits = { bodyBytes: 300_000, idleTimeout: 60_000, headerTimeout: 3_000 }

  /** Starts a server with room for two large bodies, and sends all but the last byte of a body on each connection. */
  const holdBodies = async (ids: readonly string[], refusals: BodyRefusal[] = []): Promise<readonly TestCaller[]> => {
    fixture = await startFront({ bodiesBound: () => 800_000, workspaceOfKey: key => key === 'k' ? 'w' : undefined, onBodyRefused: refusal => refusals.push(refusal) })
    fixture.front.setLimits(limits)
    const callers: TestCaller[] = []
    for (const [index, id] of ids.entries()) {
      const caller = await fixture.open()
      callers.push(caller)
      caller.socket.write(`POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nContent-Length: 250000\r\n\r\n${'x'.repeat(249_999)}`)
      await waitFor(() => fixture.front.bodyBytes() >= Math.min(2, index + 1) * 249_999 || fixture.inputs.length > 0)
    }
    return callers
  }

  // Guards against bodies that stop short of their end and are held without a bound in sum.
  it('refuses the body that has stopped the longest when all of them exceed the bound, and reads on the others', async () => {
    const refusals: BodyRefusal[] = []
    const callers = await holdBodies(['first', 'second', 'third'], refusals)
    await waitFor(() => fixture.inputs.length > 0)
    expect(fixture.inputs).toEqual([{ kind: 'call.unreadable', request: 1, problem: { kind: 'noMemory' } }])
    expect(refusals).toMatchObject([{ id: 'first', reason: 'noMemory', request: 1 }])
    callers[2].socket.write('y')
    await fixture.arrived('third')
    await waitFor(() => fixture.front.bodyBytes() === 499_999)
  })

  // Guards against large bodies that displace the usual requests.
  it('reads small bodies while large ones hold all that there is for them', async () => {
    await holdBodies(['first', 'second'])
    const caller = await fixture.open()
    caller.socket.write('POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: small\r\nContent-Length: 5\r\n\r\nhello')
    await fixture.arrived('small')
  })

  // Guards against memory that stays counted, or kept, after a request.
  it('frees the body of a request that is answered, refused or left', async () => {
    const callers = await holdBodies(['first', 'second'])
    callers[0].socket.write('y')
    fixture.answer(await fixture.arrived('first'), 'done')
    callers[1].socket.destroy()
    await waitFor(() => fixture.front.bodyBytes() === 0)
  })

  // Guards against connections that are held open for good by a body that never comes.
  it('refuses a body that does not go on for the idle timeout', async () => {
    const refusals: BodyRefusal[] = []
    fixture = await startFront({ onBodyRefused: refusal => refusals.push(refusal) })
    fixture.front.setLimits({ ...limits, idleTimeout: 50 })
    const caller = await fixture.open()
    caller.socket.write('POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: never\r\nContent-Length: 5\r\n\r\n')
    await waitFor(() => fixture.inputs.length > 0)
    expect(fixture.inputs).toEqual([{ kind: 'call.unreadable', request: 1, problem: { kind: 'bodyStalled' } }])
    expect(refusals).toMatchObject([{ id: 'never', reason: 'stalled', held: 0 }])
  })

  // Guards against a refusal of a body that came while the process was suspended.
  it('reads a body that has arrived while the process did not run', async () => {
    fixture = await startFront()
    fixture.front.setLimits({ ...limits, idleTimeout: 500 })
    const caller = await fixture.open()
    caller.socket.write('POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\nContent-Length: 5\r\n\r\n')
    await waitFor(() => fixture.front.countRequests() === 1)
    caller.socket.write('hello')
    suspend(1_200)
    await waitFor(() => fixture.inputs.length > 0)
    expect(fixture.inputs[0]).toMatchObject({ kind: 'call.arrived', call: { id: 'late' } })
  })

  // Guards against a body far over the limit that is read although its length is announced.
  it('refuses a body at once whose announced length is far over the limit, also before it is told to send it', async () => {
    fixture = await startFront()
    fixture.front.setLimits(limits)
    for (const [index, expectation] of ['', 'Expect: 100-continue\r\n'].entries()) {
      const caller = await fixture.open()
      caller.socket.write(`POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: huge\r\n${expectation}Content-Length: 4000000000\r\n\r\n`)
      await waitFor(() => fixture.inputs.length > index)
      expect(fixture.inputs[index]).toMatchObject({ kind: 'call.unreadable', problem: { kind: 'bodyTooLarge', limit: limits.bodyBytes } })
      expect(caller.text()).not.toContain('100 Continue')
    }
    const usual = await fixture.open()
    usual.socket.write('POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: usual\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n')
    await waitFor(() => usual.text().includes('100 Continue'))
    usual.socket.write('hello')
    await fixture.arrived('usual')
  })
})
