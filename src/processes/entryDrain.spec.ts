/** Guards against a planned stop of an entry instance that cuts off what it has read, or that its callers don't learn of. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { stringify } from 'ini'
import { waitFor } from '../../test/fakes/waitFor.js'
import { readSettings } from '../settings/settingsReader.js'
import { startEntry, type EntryProcess } from './entry.js'

interface Connection {
  readonly socket: Socket
  readonly text: () => string
  readonly isClosed: () => boolean
}

const host = '127.0.0.1'
const settingsText = stringify({
  instance: { id: 'a', data_centre: 'a', log_level: 'error' },
  caller: { host, port: 0 },
  operator: { host, port: 0 },
  peer: { host, port: 0 },
  platform: { list_lag: 0 },
  addresses: { time_to_live: 100 },
  streams: { resume_keys: 'key-of-this-test-0001' }
})

const open = async (port: number): Promise<Connection> => {
  const socket = connect({ port, host, noDelay: true })
  let text = ''
  let closed = false
  socket.on('error', () => { /* The close follows. */ })
  socket.on('data', bytes => { text += String(bytes) })
  socket.on('close', () => { closed = true })
  await once(socket, 'connect')
  return { socket, text: () => text, isClosed: () => closed }
}

const head = 'POST /v1/nothing HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n'

let entry: EntryProcess

beforeEach(async () => { entry = await startEntry(readSettings('a', settingsText)._unsafeUnwrap()) })

describe('an entry instance that stops', () => {
  it('tells its callers, from the start of its drain, not to use their connections again', async () => {
    const caller = await open(entry.callerPort)
    caller.socket.write(`${head}body`)
    await waitFor(() => caller.text().endsWith('}'))
    entry.drain()
    caller.socket.write(`${head}body`)
    await waitFor(() => caller.isClosed())
    const [, first, second] = caller.text().toLowerCase().split('http/1.1 ')
    expect(first).not.toContain('connection: close')
    expect(second).toContain('connection: close')
    await entry.ended
  })

  it.each(['callerPort', 'operatorPort'] as const)('answers a request that was being read when its listener closed: %s', async port => {
    const unused = await open(entry.callerPort)
    const [inBody, inHead] = [await open(entry[port]), await open(entry[port])]
    inBody.socket.write(`${head}bo`)
    inHead.socket.write(head.slice(0, 20))
    entry.drain()
    await waitFor(() => unused.isClosed())
    inBody.socket.write('dy')
    inHead.socket.write(`${head.slice(20)}body`)
    await waitFor(() => inBody.isClosed() && inHead.isClosed())
    expect([inBody, inHead].map(({ text }) => /^HTTP\/1.1 404 [^]*\}$/.test(text()))).toEqual([true, true])
    await entry.ended
  })
})
