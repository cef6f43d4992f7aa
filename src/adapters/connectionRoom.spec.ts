/** Guards against clients that take all descriptors of an instance by connections that they leave open. */
import { once } from 'node:events'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { startFront, requestText, type FrontFixture, type TestCaller } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'
import { startStatusServer } from './statusServer.js'

const limit = 3

describe('a front server that has as many connections as it may', () => {
  let fixture: FrontFixture

  beforeEach(async () => { fixture = await startFront({ maxConnections: () => limit }) })
  afterEach(() => fixture.close())

  const openMany = async (count: number): Promise<readonly TestCaller[]> => {
    const callers: TestCaller[] = []
    for (let index = 0; index < count; index++) {
      callers.push(await fixture.open())
      await waitFor(() => Object.values(fixture.front.countConnections()).reduce((sum, value) => sum + value, 0) === Math.min(index + 1, limit))
    }
    return callers
  }

  it('closes the oldest on which nothing has come, and serves a new caller', async () => {
    const [oldest, second] = await openMany(limit)
    const caller = await fixture.open()
    caller.socket.write(requestText('new'))
    fixture.answer(await fixture.arrived('new'), 'served')
    await waitFor(() => caller.text().endsWith('served') && oldest.isClosed())
    expect(second.isClosed()).toBe(false)
    expect(fixture.ends).toEqual(['noRoom'])
  })

  it('closes no connection with a request in progress, but the new one', async () => {
    const callers = await openMany(limit)
    for (const [index, caller] of callers.entries()) {
      caller.socket.write(requestText(`busy-${index}`))
      await fixture.arrived(`busy-${index}`)
    }
    const late = await fixture.open()
    await waitFor(late.isClosed)
    expect(callers.map(caller => caller.isClosed())).toEqual([false, false, false])
    fixture.answer(await fixture.arrived('busy-0'), 'served')
    await waitFor(() => callers[0].text().endsWith('served'))
  })
})

describe('a status server that has as many connections as it may', () => {
  it('closes the oldest on which nothing has come, and answers a new one', async () => {
    const server = await startStatusServer('127.0.0.1', 0, { '/ready': () => ({ status: 200, contentType: 'text/plain', body: 'ready' }) }, () => limit, () => { /* Not expected. */ })
    const { port } = server.address() as AddressInfo
    const open = async (): Promise<Socket> => {
      const socket = connect({ port, host: '127.0.0.1' })
      socket.on('error', () => { /* The close follows. */ })
      await once(socket, 'connect')
      return socket
    }
    const sockets: Socket[] = []
    for (let index = 0; index < limit + 2; index++) sockets.push(await open())
    const caller = await open()
    let text = ''
    caller.on('data', bytes => { text += String(bytes) })
    caller.write('GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitFor(() => text.endsWith('ready'))
    await waitFor(() => sockets.filter(socket => socket.closed).length === 3)
    expect(sockets.map(socket => socket.closed)).toEqual([true, true, true, false, false])
    for (const socket of [...sockets, caller]) socket.destroy()
    server.close()
  })
})
