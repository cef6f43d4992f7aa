import { once } from 'node:events'
import { startFront, requestText, type FrontFixture } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'

let fixture: FrontFixture

beforeEach(async () => { fixture = await startFront() })
afterEach(() => fixture.close())

/** More than the sockets of both sides buffer together, in bytes. */
const hugeBody = Buffer.alloc(32_000_000, 'x')

const answerText = (body: string): RegExp => new RegExp(`\r\n\r\n${body}`)

describe('a front server that stops listening', () => {
  it('does not cut a complete response that its caller is still reading', async () => {
    const socket = await fixture.openPaused()
    socket.write(requestText('slow'))
    fixture.answer(await fixture.arrived('slow'), hugeBody)
    fixture.front.closeListener()
    let size = 0
    socket.on('data', (bytes: Buffer) => { size += bytes.length })
    await Promise.race([once(socket, 'end'), once(socket, 'close')])
    expect(size).toBeGreaterThan(hugeBody.length)
    expect(fixture.inputs.map(({ kind }) => kind)).toEqual(['call.arrived'])
  })

  it('answers a request that has arrived at an idle connection but has not been read', async () => {
    const caller = await fixture.open()
    caller.socket.write(requestText('first'))
    fixture.answer(await fixture.arrived('first'), 'one')
    await waitFor(() => answerText('one').test(caller.text()))
    caller.socket.write(requestText('second'))
    fixture.front.setClosing()
    fixture.front.closeListener()
    await waitFor(() => fixture.inputs.length === 2 || caller.isClosed())
    expect(fixture.inputs).toMatchObject([{ call: { id: 'first' } }, { call: { id: 'second' } }])
    fixture.answer(await fixture.arrived('second'), 'two')
    await waitFor(() => caller.isClosed())
    expect(caller.text()).toMatch(answerText('two'))
  })

  it('counts its connections by their use', async () => {
    const [busy, idle] = [await fixture.open(), await fixture.open(), await fixture.open()]
    busy.socket.write(requestText('first'))
    idle.socket.write(requestText('second'))
    await fixture.arrived('first')
    fixture.answer(await fixture.arrived('second'), 'two')
    await waitFor(() => answerText('two').test(idle.text()))
    await waitFor(() => fixture.front.countRequests() === 1)
    expect(fixture.front.countConnections()).toEqual({ busy: 1, idle: 1, unused: 1 })
    expect(fixture.inputs).toMatchObject([{ connection: { earlier: 0 } }, { connection: { earlier: 0 } }])
  })

  it('closes idle connections', async () => {
    const caller = await fixture.open()
    caller.socket.write(requestText('first'))
    fixture.answer(await fixture.arrived('first'), 'one')
    await waitFor(() => answerText('one').test(caller.text()))
    fixture.front.closeListener()
    await waitFor(() => fixture.ends.length === 1)
    expect(fixture.ends).toEqual(['shutdown'])
  })

  it('answers each request that was read from a connection before it closes the connection', async () => {
    const caller = await fixture.open()
    caller.socket.write(requestText('first') + requestText('second'))
    const [first, second] = await Promise.all(['first', 'second'].map(fixture.arrived))
    fixture.front.setClosing()
    fixture.answer(first, 'one')
    fixture.answer(second, 'two')
    await waitFor(() => caller.isClosed())
    expect(caller.text()).toMatch(answerText('one'))
    expect(caller.text()).toMatch(answerText('two'))
    expect(caller.text().toLowerCase().match(/connection: close/g)).toHaveLength(1)
  })

  it('does not close a connection after a response that was begun before, while another request of it is open', async () => {
    const caller = await fixture.open()
    caller.socket.write(requestText('first') + requestText('second'))
    const [first, second] = await Promise.all(['first', 'second'].map(fixture.arrived))
    fixture.front.perform({ kind: 'call.open', request: first, status: 200, headers: [] })
    fixture.front.setClosing()
    fixture.front.closeListener()
    fixture.front.perform({ kind: 'call.end', request: first })
    await waitFor(() => caller.text().endsWith('0\r\n\r\n'))
    fixture.answer(second, 'two')
    await waitFor(() => caller.isClosed())
    expect(caller.text()).toMatch(answerText('two'))
  })

  it('does not pass on a request that follows the response which announced the end of the connection', async () => {
    const caller = await fixture.open()
    caller.socket.write(requestText('first'))
    const first = await fixture.arrived('first')
    fixture.front.setClosing()
    fixture.front.perform({ kind: 'call.open', request: first, status: 200, headers: [] })
    await waitFor(() => caller.text() !== '')
    caller.socket.write(requestText('second'))
    caller.socket.write(requestText('third'))
    await new Promise(resolve => setImmediate(() => setImmediate(() => setImmediate(resolve))))
    fixture.front.perform({ kind: 'call.end', request: first })
    await waitFor(() => caller.isClosed())
    expect(fixture.inputs.filter(({ kind }) => kind === 'call.arrived')).toHaveLength(1)
    expect(await fixture.left('second')).toMatchObject({ stage: 'read', reason: 'lastResponse' })
  })
})

describe('the responses of a front server', () => {
  const isFlushed = (): () => boolean => {
    let flushed = false
    fixture.front.flushed().then(() => { flushed = true }, () => { /* It does not reject. */ })
    return () => flushed
  }

  it('are not flushed while a request is being read or its caller is still reading the response', async () => {
    const socket = await fixture.openPaused()
    const other = await fixture.open()
    socket.write(requestText('slow', 'abc').slice(0, -1))
    other.socket.write(requestText('other'))
    await fixture.arrived('other')
    const flushed = isFlushed()
    fixture.front.closeListener()
    fixture.answer(await fixture.arrived('other'), 'done')
    await waitFor(() => other.isClosed())
    expect(flushed()).toBe(false)
    socket.write('c')
    fixture.answer(await fixture.arrived('slow'), hugeBody)
    await waitFor(() => socket.readableLength > 0)
    expect(flushed()).toBe(false)
    socket.resume()
    await waitFor(flushed)
  })

  it('are flushed once their callers have left', async () => {
    const caller = await fixture.open()
    caller.socket.write(requestText('left'))
    await fixture.arrived('left')
    const flushed = isFlushed()
    caller.socket.destroy()
    await waitFor(flushed)
    expect(await fixture.left('left')).toMatchObject({ reason: 'callerClosed' })
  })
})
