import { startFront, requestText, suspend, type FrontFixture } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'

let fixture: FrontFixture

beforeEach(async () => { fixture = await startFront() })
afterEach(() => fixture.close())

const limits = { bodyBytes: 100, idleTimeout: 1, headerTimeout: 500 }
/** Longer than the keep-alive timeout of 1 ms with the margin of Node's server, and than the interval of its checks, in ms. */
const suspension = 1_100

describe('a front server whose timers expire', () => {
  it('does not close a connection whose next request arrived while the process was suspended', async () => {
    fixture.front.setLimits(limits)
    const caller = await fixture.open()
    caller.socket.write(requestText('first'))
    fixture.answer(await fixture.arrived('first'), 'one')
    await waitFor(() => caller.text().endsWith('one'))
    caller.socket.write(requestText('second'))
    suspend(suspension)
    await waitFor(() => fixture.inputs.length === 2 || caller.isClosed())
    expect(fixture.inputs).toMatchObject([{ call: { id: 'first' } }, { call: { id: 'second' } }])
  })

  it('closes a connection to which no request comes', async () => {
    fixture.front.setLimits(limits)
    const caller = await fixture.open()
    caller.socket.write(requestText('first'))
    fixture.answer(await fixture.arrived('first'), 'one')
    await waitFor(() => fixture.ends.length === 1)
    expect(fixture.ends).toEqual(['idleTimeout'])
  })

  it('does not refuse a request that arrived on a new connection while the process was suspended', async () => {
    fixture.front.setLimits(limits)
    const caller = await fixture.open()
    const later = await fixture.open()
    later.socket.write(requestText('later'))
    await fixture.arrived('later')
    caller.socket.write(requestText('whole', 'abc'))
    suspend(suspension)
    await waitFor(() => fixture.inputs.length === 2 || caller.isClosed())
    expect(fixture.inputs).toMatchObject([{ call: { id: 'later' } }, { call: { id: 'whole' } }])
  })

  it('refuses a request whose headers do not arrive in time', async () => {
    fixture.front.setLimits(limits)
    const caller = await fixture.open()
    caller.socket.write(requestText('slow').slice(0, 10))
    await waitFor(() => fixture.ends.length === 1 && caller.isClosed())
    expect(fixture.ends).toEqual(['headerTimeout'])
    expect(caller.text()).toMatch(/^HTTP\/1.1 408 /)
  })
})
