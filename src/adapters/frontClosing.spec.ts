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

  it('closes idle connections', async () => {
    const caller = await fixture.open()
    caller.socket.write(requestText('first'))
    fixture.answer(await fixture.arrived('first'), 'one')
    await waitFor(() => answerText('one').test(caller.text()))
    fixture.front.closeListener()
    await waitFor(() => fixture.ends.length === 1)
    expect(fixture.ends).toEqual(['shutdown'])
  })
})
