import { Socket } from 'node:net'
import { startFront, requestText, suspend, type FrontFixture, type TestCaller } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'

let fixture: FrontFixture

beforeEach(async () => { fixture = await startFront() })
afterEach(() => {
  jest.restoreAllMocks()
  fixture.close()
})

const loose = { bodyBytes: 100, idleTimeout: 10_000, headerTimeout: 3_000 }
const strict = { bodyBytes: 10, idleTimeout: 2_000, headerTimeout: 1_000 }

/** Longer than the interval at which the server checks header timeouts, in ms. */
const checkInterval = 1_100

/** Records the keep-alive timeouts of connections, in ms; 0 while a request is open. */
const recordTimeouts = (): () => readonly number[] => {
  const spy = jest.spyOn(Socket.prototype, 'setTimeout')
  return () => spy.mock.calls.map(([time]) => time)
}

/** Sends a request and answers it. */
const exchange = async (caller: TestCaller, id: string): Promise<void> => {
  caller.socket.write(requestText(id))
  fixture.answer(await fixture.arrived(id), id)
  await waitFor(() => caller.text().endsWith(id))
}

describe('a front server whose keep-alive timeout changes', () => {
  it('keeps a connection for as long as its last response announced, although the timeout was lowered before it', async () => {
    fixture.front.setLimits(loose)
    const timeouts = recordTimeouts()
    const caller = await fixture.open()
    caller.socket.write(requestText('first'))
    const request = await fixture.arrived('first')
    fixture.front.setLimits(strict)
    fixture.answer(request, 'first')
    await waitFor(() => caller.text().endsWith('first'))
    expect(caller.text()).toContain('Keep-Alive: timeout=10\r\n')
    expect(timeouts().at(-1)).toBeGreaterThanOrEqual(loose.idleTimeout)
  })

  it('keeps a connection that is idle already for as long as a raised timeout says', async () => {
    fixture.front.setLimits(strict)
    const timeouts = recordTimeouts()
    await exchange(await fixture.open(), 'first')
    fixture.front.setLimits(loose)
    expect(timeouts().at(-1)).toBeGreaterThanOrEqual(loose.idleTimeout)
  })

  it('leaves the timeout of an idle connection when it is lowered', async () => {
    fixture.front.setLimits(loose)
    const timeouts = recordTimeouts()
    await exchange(await fixture.open(), 'first')
    fixture.front.setLimits(strict)
    expect(timeouts().at(-1)).toBeGreaterThanOrEqual(loose.idleTimeout)
  })

  it('uses the lowered timeout after the next response', async () => {
    fixture.front.setLimits(loose)
    const timeouts = recordTimeouts()
    const caller = await fixture.open()
    await exchange(caller, 'first')
    fixture.front.setLimits(strict)
    await exchange(caller, 'second')
    expect(timeouts().at(-1)).toBeLessThan(loose.idleTimeout)
  })
})

describe('a front server whose size limit changes', () => {
  /** Begins a request with a body of 50 bytes, of which 20 are missing. */
  const beginLong = async (): Promise<TestCaller> => {
    const caller = await fixture.open()
    const other = await fixture.open()
    caller.socket.write(requestText('long', 'x'.repeat(50)).slice(0, -20))
    await exchange(other, 'other')
    return caller
  }

  it('reads a request under the limit in force when it began, although it is lowered', async () => {
    fixture.front.setLimits(loose)
    const caller = await beginLong()
    fixture.front.setLimits(strict)
    caller.socket.write('x'.repeat(20))
    await waitFor(() => fixture.inputs.length === 2)
    expect(fixture.inputs[1]).toMatchObject({ kind: 'call.arrived', call: { id: 'long' } })
  })

  it('reads a request under a limit that is raised while it is read', async () => {
    fixture.front.setLimits({ ...strict, bodyBytes: 40 })
    const caller = await beginLong()
    fixture.front.setLimits(loose)
    caller.socket.write('x'.repeat(20))
    await waitFor(() => fixture.inputs.length === 2)
    expect(fixture.inputs[1]).toMatchObject({ kind: 'call.arrived', call: { id: 'long' } })
  })

  it('applies a lowered limit to the next request', async () => {
    fixture.front.setLimits(loose)
    fixture.front.setLimits(strict)
    await beginLong()
    expect(fixture.inputs[0]).toMatchObject({ kind: 'call.unreadable', problem: { kind: 'bodyTooLarge', limit: strict.bodyBytes } })
  })
})

describe('a front server whose header timeout is lowered', () => {
  it('goes on reading headers that began before, under the timeout in force then', async () => {
    fixture.front.setLimits(loose)
    const caller = await fixture.open()
    await exchange(caller, 'first')
    const text = requestText('second')
    caller.socket.write(text.slice(0, 10))
    await exchange(await fixture.open(), 'other')
    fixture.front.setLimits({ ...loose, headerTimeout: 1 })
    suspend(checkInterval)
    await exchange(await fixture.open(), 'another')
    caller.socket.write(text.slice(10))
    await waitFor(() => fixture.inputs.length === 4 || caller.isClosed())
    expect(fixture.inputs[3]).toMatchObject({ kind: 'call.arrived', call: { id: 'second' } })
  })

  it('applies the lowered timeout once the timeout before it has passed', async () => {
    fixture.front.setLimits({ ...loose, headerTimeout: 100 })
    const caller = await fixture.open()
    fixture.front.setLimits({ ...loose, headerTimeout: 1 })
    await waitFor(() => fixture.ends.length === 1)
    expect(fixture.ends).toEqual(['headerTimeout'])
    expect(caller.text()).toMatch(/^HTTP\/1.1 408 /)
  })
})
