/** Guards against an earlier answer that an endpoint writes once more on a kept connection, and that is taken for the answer to the next request there. */
import type { Socket } from 'node:net'
import { createInputCollector } from '../../test/fakes/inputCollector.js'
import { closeRawServers, startRawServer } from '../../test/fakes/rawServer.js'
import { waitFor } from '../../test/fakes/waitFor.js'
import type { EndpointInput, EndpointRequest } from '../ports/endpointPort.js'
import { createEndpointHttp } from './endpointHttp.js'
import { afterNextRead } from './nextRead.js'

const model = (id: string): EndpointRequest => ({
  kind: 'model',
  id,
  path: '/v1/completions',
  body: { stream: true, prompt: 'x' },
  identity: { workspace: 'north', model: 'drafter', weightVersion: '1', incarnation: 'any' },
  cacheSalt: 'salt',
  priority: 0
})
const service = (id: string): EndpointRequest => ({ kind: 'service', id, method: 'POST', path: '/bookings', headers: {}, body: Buffer.from('{}') })

const answer = (status: number, id: string): string => `HTTP/1.1 ${status} No\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`

let adapter: ReturnType<typeof createEndpointHttp> | undefined

afterEach(async () => {
  await adapter?.close()
  await closeRawServers()
})

describe.each([['model', model], ['service', service]])('a copy of an answer, request to a %s endpoint', (_kind, build) => {
  it.each([400, 409, 422, 503])('with status %d, is not taken for the answer to the next request', async status => {
    const { emit, inputs } = createInputCollector<EndpointInput>()
    const sockets: Socket[] = []
    const server = await startRawServer((socket, bytes) => {
      if (!String(bytes).includes('HTTP/1.1')) return
      sockets.push(socket)
      socket.write(answer(status, 'one'))
    })
    adapter = createEndpointHttp({ emit })
    for (const [attempt, id] of ['one', 'two'].entries()) {
      adapter.perform({ kind: 'endpoint.dispatch', attempt, endpoint: 'e', address: { host: '127.0.0.1', port: server.port }, request: build(id) })
      await waitFor(() => inputs.length > attempt)
      // The connection is free for the next request only then.
      await new Promise<void>(resolve => afterNextRead(resolve))
    }
    expect(sockets.map(socket => socket === sockets[0])).toEqual([true, true])
    expect(inputs).toMatchObject([
      { kind: 'endpoint.answer', attempt: 0, status },
      { kind: 'endpoint.failed', attempt: 1, failure: 'garbled', sent: true }
    ])
    await waitFor(() => sockets[1].destroyed)
    expect(adapter.inFlight()).toBe(0)
  })
})
