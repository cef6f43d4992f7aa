import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Address } from '../endpoints/endpointsTypes.js'
import { loadHash } from '../hash.js'
import type { EndpointInput, EndpointRequest } from '../ports/endpointPort.js'
import { createEngine } from '../standins/engine/engine.js'
import type { ServedRequest } from '../standins/engine/engineServedRequest.js'
import type { EngineEntry, EngineOptions } from '../standins/engine/engineTypes.js'
import { createService } from '../standins/service.js'
import type { StandIn } from '../standins/standInServer.js'
import { createRelay, relayEvent } from '../streams/streamRelay.js'
import { createInputCollector } from '../../test/fakes/inputCollector.js'
import { waitFor } from '../../test/fakes/waitFor.js'
import { createEndpointHttp } from './endpointHttp.js'

type Input<Kind extends EndpointInput['kind']> = Extract<EndpointInput, { kind: Kind }>
type ModelRequest = Extract<EndpointRequest, { kind: 'model' }>

const isKind = <Kind extends EndpointInput['kind']>(kind: Kind) => (input: EndpointInput): input is Input<Kind> => input.kind === kind

const closers: Array<() => Promise<void>> = []

afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

const createAdapter = (options: Partial<Parameters<typeof createEndpointHttp>[0]> = {}) => {
  const collector = createInputCollector<EndpointInput>()
  const adapter = createEndpointHttp({ emit: collector.emit, ...options })
  closers.push(adapter.close)
  return { ...collector, ...adapter }
}

const startEngine = async (options: EngineOptions = {}): Promise<{ engine: StandIn<EngineEntry>, address: Address }> => {
  const engine = createEngine(await loadHash(), { decodeTime: 1, eventInterval: 5, reportInterval: 5, ...options })
  closers.push(engine.close)
  return { engine, address: await engine.listen() }
}

const startService = async () => {
  const service = createService({ runTime: 0 })
  closers.push(service.close)
  return { service, address: await service.listen() }
}

const modelRequest = (changes: Partial<ModelRequest> = {}, maxTokens = 8): ModelRequest => ({
  kind: 'model',
  id: 'r-1',
  path: '/v1/chat/completions',
  body: { model: 'alias', stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content: 'describe a cottage '.repeat(100) }] },
  identity: { workspace: 'north', model: 'drafter', weightVersion: '1', incarnation: 'any' },
  cacheSalt: 'salt-north',
  priority: 0,
  ...changes
})

const booking = (id = 'b-1'): EndpointRequest => ({
  kind: 'service',
  id,
  method: 'POST',
  path: '/bookings',
  headers: { 'idempotency-key': `key-${id}`, connection: 'keep-alive', 'content-type': 'application/json' },
  body: Buffer.from('{}')
})

const dispatch = (attempt: number, address: Address, request: EndpointRequest) =>
  ({ kind: 'endpoint.dispatch', attempt, endpoint: 'e', address, request }) as const

const firstServedRequest = (engine: StandIn<EngineEntry>): ServedRequest => engine.record.find((entry): entry is ServedRequest => entry.kind === 'request') as ServedRequest

const positions = (inputs: readonly EndpointInput[]): number[] => inputs.filter(isKind('endpoint.chunk')).map(({ position }) => position)

/** Starts a plain TCP server that calls `onRequest` with the socket of each request and the number of requests so far. */
const startRawServer = async (onRequest: (socket: Socket, count: number) => void) => {
  const seen = { requests: 0, connections: 0 }
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    seen.connections++
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', bytes => {
      if (!bytes.toString('latin1').includes('HTTP/1.1')) return
      onRequest(socket, ++seen.requests)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  closers.push(() => new Promise(resolve => {
    for (const socket of sockets) socket.destroy()
    server.close(() => resolve())
  }))
  return { address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port }, seen, sockets }
}

/** Waits for the client to return a connection to its pool, which happens one event loop turn after the end of the response. */
const returnToPool = (): Promise<void> => new Promise(resolve => { setImmediate(resolve) })

const emptyAnswer = (id: string): string => `HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: ${id}\r\n\r\n{}`

describe('model requests', () => {
  test('yield the complete stream in order, with the identity that served it', async () => {
    const { engine, address } = await startEngine({ id: 'w1' })
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest()))
    await adapter.next(isKind('endpoint.end'))
    const head = await adapter.next(isKind('endpoint.head'))
    expect(head).toMatchObject({ attempt: 1, status: 200, requestId: 'r-1', weightVersion: '1' })
    expect(head.incarnation).toMatch(/^w1-/)
    expect(positions(adapter.inputs)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8])
    expect(adapter.inputs.filter(isKind('endpoint.chunk')).every(({ requestId }) => requestId === 'r-1')).toBe(true)
    expect(firstServedRequest(engine)).toMatchObject({ workspace: 'north', salt: 'salt-north', model: 'drafter', outcome: 'finished' })
    expect(adapter.inFlight()).toBe(0)
  })

  test('yield a complete answer if the engine rejects them', async () => {
    const { address } = await startEngine()
    const adapter = createAdapter()
    const { identity } = modelRequest()
    adapter.perform(dispatch(1, address, modelRequest({ identity: { ...identity, weightVersion: '9' } })))
    const answer = await adapter.next(isKind('endpoint.answer'))
    expect(answer.status).toBe(409)
    expect(JSON.parse(Buffer.from(answer.body).toString())).toMatchObject({ error: { type: 'weight_version_not_loaded' } })
  })

  test.each([
    ['cutBefore', { kind: 'cutBefore', times: 1 }, 'cut'],
    ['cutAfter, during the stream', { kind: 'cutAfter', times: 1, events: 3 }, 'cut'],
    ['an event that is not JSON', { kind: 'garbled', times: 1 }, 'garbled'],
    ['crash', { kind: 'crash' }, 'cut']
  ] as const)('fail with a typed failure after %s', async (_, fault, failure) => {
    const { engine, address } = await startEngine({ decodeTime: fault.kind === 'crash' ? 20 : 1 })
    const adapter = createAdapter()
    if (fault.kind !== 'crash') engine.injectFault(fault)
    adapter.perform(dispatch(1, address, modelRequest({}, 200)))
    if (fault.kind === 'crash') {
      await adapter.next(isKind('endpoint.chunk'))
      engine.injectFault(fault)
    }
    expect(await adapter.next(isKind('endpoint.failed'))).toEqual({ kind: 'endpoint.failed', attempt: 1, failure, sent: true })
    expect(adapter.inFlight()).toBe(0)
  })

  test.each([
    ['a complete body without the end marker', 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r\r\nx-incarnation: i\r\nx-weight-version: 1\r\ncontent-length: 0\r\n\r\n', 'cut'],
    ['missing identity headers', 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n\r\n', 'garbled'],
    ['another content type', 'HTTP/1.1 200 OK\r\ncontent-type: text/html\r\nx-request-id: r\r\nx-incarnation: i\r\nx-weight-version: 1\r\ncontent-length: 0\r\n\r\n', 'garbled'],
    ['bytes that are not HTTP', 'what is this\r\n\r\n', 'garbled'],
    ['a position that is not a number', 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r\r\nx-incarnation: i\r\nx-weight-version: 1\r\n\r\nid: first\ndata: {"id":"r"}\n\n', 'garbled']
  ])('fail with a typed failure after %s', async (_, text, failure) => {
    const { address } = await startRawServer(socket => socket.write(text))
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest()))
    expect(await adapter.next(isKind('endpoint.failed'))).toMatchObject({ failure, sent: true })
  })

  test('pass an event with malformed JSON after its id to the relay, which detects it as garbled', async () => {
    const { address } = await startRawServer(socket => socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r\r\nx-incarnation: i\r\nx-weight-version: 1\r\n\r\nid: 0\ndata: {"id":"r","choices":[\n\n'))
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest()))
    const { requestId, position, data } = await adapter.next(isKind('endpoint.chunk'))
    expect(relayEvent(createRelay(), 'r', requestId, position, data)).toEqual({ kind: 'garbled' })
  })

  test('keep the request id of an answer that belongs to another request', async () => {
    const { engine, address } = await startEngine()
    const adapter = createAdapter()
    engine.injectFault({ kind: 'crossed', times: 1 })
    adapter.perform(dispatch(1, address, modelRequest()))
    expect((await adapter.next(isKind('endpoint.chunk'))).requestId).toBe('r-1-crossed')
  })

  test('keep the positions of duplicate events', async () => {
    const { engine, address } = await startEngine()
    const adapter = createAdapter()
    engine.injectFault({ kind: 'duplicate', times: 1 })
    adapter.perform(dispatch(1, address, modelRequest({}, 2)))
    await adapter.next(isKind('endpoint.end'))
    expect(positions(adapter.inputs)).toEqual([0, 0, 1, 1, 2, 2])
  })

  test('yield no more inputs after a cancel, and the engine stops', async () => {
    const { engine, address } = await startEngine({ decodeTime: 5 })
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest({}, 5_000)))
    await adapter.next(isKind('endpoint.chunk'))
    adapter.perform({ kind: 'endpoint.cancel', attempt: 1 })
    const countAtCancel = adapter.inputs.length
    adapter.perform(dispatch(2, address, modelRequest({ id: 'r-2' }, 2)))
    await adapter.next(isKind('endpoint.end'))
    expect(adapter.inputs.slice(countAtCancel).every(input => 'attempt' in input && input.attempt === 2)).toBe(true)
    await waitFor(() => firstServedRequest(engine).outcome === 'cancelled')
  })

  test('resume an interrupted stream from a given position', async () => {
    const { engine, address } = await startEngine()
    const adapter = createAdapter()
    engine.injectFault({ kind: 'cutAfter', times: 1, events: 3 })
    adapter.perform(dispatch(1, address, modelRequest()))
    await adapter.next(isKind('endpoint.failed'))
    adapter.perform(dispatch(2, address, modelRequest({ resumeFrom: 3 })))
    await adapter.next(isKind('endpoint.end'))
    expect(positions(adapter.inputs)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8])
  })

  test('cannot resume a stream of another workspace', async () => {
    const { address } = await startEngine()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest()))
    await adapter.next(isKind('endpoint.end'))
    const { identity } = modelRequest()
    adapter.perform(dispatch(2, address, modelRequest({ resumeFrom: 0, identity: { ...identity, workspace: 'south' } })))
    expect(await adapter.next(isKind('endpoint.answer'))).toMatchObject({ attempt: 2, status: 404 })
  })

  test('stop reading while paused, and lose no event after they resume', async () => {
    const { engine, address } = await startEngine({ decodeTime: 0.02 })
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest({}, 5_000)))
    await adapter.next(isKind('endpoint.chunk'))
    adapter.perform({ kind: 'endpoint.pause', attempt: 1 })
    await waitFor(() => firstServedRequest(engine).generated > 1_000)
    const paused = positions(adapter.inputs).length
    await waitFor(() => firstServedRequest(engine).generated > 4_000)
    expect(positions(adapter.inputs).length).toBe(paused)
    adapter.perform({ kind: 'endpoint.resume', attempt: 1 })
    await adapter.next(isKind('endpoint.end'))
    expect(positions(adapter.inputs)).toEqual(Array.from({ length: 5_001 }, (_, index) => index))
  })

  test('fail as not sent if their headers are not valid in HTTP', async () => {
    const { address } = await startEngine()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest({ cacheSalt: 'a\r\nb' })))
    expect(adapter.inputs).toEqual([])
    expect(await adapter.next(isKind('endpoint.failed'))).toMatchObject({ failure: 'garbled', sent: false })
  })
})

describe('service requests', () => {
  test('yield an answer with its status, body and request id', async () => {
    const { service, address } = await startService()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking()))
    const answer = await adapter.next(isKind('endpoint.answer'))
    expect(answer).toMatchObject({ status: 200, requestId: 'b-1' })
    expect(JSON.parse(Buffer.from(answer.body).toString())).toEqual({ ran: true, key: 'key-b-1', n: 1 })
    expect(service.record).toMatchObject([{ method: 'POST', path: '/bookings', key: 'key-b-1' }])
  })

  test('fail as not sent if the connection is refused', async () => {
    const { service, address } = await startService()
    await service.close()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking()))
    expect(await adapter.next(isKind('endpoint.failed'))).toMatchObject({ failure: 'refused', sent: false })
  })

  test.each(['cutBefore', 'cutAfter'] as const)('are sent only once over a keep-alive connection with the fault %s', async kind => {
    const { service, address } = await startService()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking('b-1')))
    await adapter.next(isKind('endpoint.answer'))
    await returnToPool()
    service.injectFault(kind === 'cutAfter' ? { kind, times: 1, events: 0 } : { kind, times: 1 })
    adapter.perform(dispatch(2, address, booking('b-2')))
    expect(await adapter.next(isKind('endpoint.failed'))).toMatchObject({ attempt: 2, failure: 'cut', sent: true })
    adapter.perform(dispatch(3, address, booking('b-3')))
    await adapter.until(() => adapter.inputs.filter(isKind('endpoint.answer')).length === 2)
    const keys = service.record.map(({ key }) => key)
    expect(keys).toEqual(kind === 'cutAfter' ? ['key-b-1', 'key-b-2', 'key-b-3'] : ['key-b-1', 'key-b-3'])
  })

  test('are sent only once if the server resets a reused connection when the request arrives', async () => {
    const { address, seen } = await startRawServer((socket, count) => {
      if (count === 1) socket.write(emptyAnswer('b-1'))
      else socket.resetAndDestroy()
    })
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking('b-1')))
    await adapter.next(isKind('endpoint.answer'))
    await returnToPool()
    adapter.perform(dispatch(2, address, booking('b-2')))
    expect(await adapter.next(isKind('endpoint.failed'))).toMatchObject({ attempt: 2, sent: true })
    expect(seen).toEqual({ requests: 2, connections: 1 })
  })

  test('are not sent over an idle connection that the server has closed, or fail as sent', async () => {
    const { address, seen, sockets } = await startRawServer((socket, count) => socket.write(emptyAnswer(`b-${count}`)))
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking('b-1')))
    await adapter.next(isKind('endpoint.answer'))
    await returnToPool()
    for (const socket of sockets) socket.end()
    adapter.perform(dispatch(2, address, booking('b-2')))
    await adapter.until(() => adapter.inputs.length === 2)
    const last = adapter.inputs[1]
    expect(last.kind === 'endpoint.answer' || (last.kind === 'endpoint.failed' && last.sent)).toBe(true)
    expect(seen.requests).toBeLessThanOrEqual(2)
  })
})

describe('the endpoint adapter', () => {
  test('reports the load and models of a probed worker, or that it is unreachable', async () => {
    const { engine, address } = await startEngine({ models: [{ model: 'drafter', adapter: 'branch', weightVersion: '7' }] })
    const adapter = createAdapter()
    adapter.perform({ kind: 'endpoint.probe', endpoint: 'w1', address })
    expect(await adapter.next(isKind('endpoint.report'))).toMatchObject({ endpoint: 'w1', models: [{ model: 'drafter', adapter: 'branch', weightVersion: '7' }], running: 0, waiting: 0, waitingTokens: 0, leaving: false })
    await engine.close()
    adapter.perform({ kind: 'endpoint.probe', endpoint: 'w1', address })
    expect(await adapter.next(isKind('endpoint.unreachable'))).toEqual({ kind: 'endpoint.unreachable', endpoint: 'w1' })
  })

  test('probes a service without sending it a request to run', async () => {
    const { service, address } = await startService()
    const adapter = createAdapter({ kindOf: () => 'service' })
    adapter.perform({ kind: 'endpoint.probe', endpoint: 's1', address })
    expect((await adapter.next(isKind('endpoint.report'))).incarnation).toMatch(/^service-/)
    expect(service.record).toEqual([])
  })

  test.each([
    [true, 'staleFence'],
    [false, 'done']
  ])('reports the result of an order with an old fencing token, if the engine checks fencing tokens: %s', async (fenced, result) => {
    const { address } = await startEngine({ fenced, loadTime: 0 })
    const adapter = createAdapter()
    const order = { kind: 'load', model: { model: 'drafter', weightVersion: '2' } } as const
    const send = (token: number, fence: number) => adapter.perform({ kind: 'endpoint.order', owner: 'orders', token, endpoint: 'w1', address, order, fence })
    send(1, 5)
    expect(await adapter.next(isKind('endpoint.ordered'))).toMatchObject({ token: 1, result: 'done' })
    send(2, 4)
    await adapter.until(() => adapter.inputs.length === 2)
    expect(adapter.inputs[1]).toMatchObject({ token: 2, result })
  })

  test('reports cache events: a full listing, numbered batches, a gap, and a full listing of the new incarnation after a crash', async () => {
    const { engine, address } = await startEngine()
    const adapter = createAdapter()
    const runRequest = async (attempt: number, content: string): Promise<void> => {
      adapter.perform(dispatch(attempt, address, modelRequest({ id: `r-${attempt}`, body: { stream: true, max_tokens: 1, messages: [{ role: 'user', content }] } })))
      await adapter.until(() => adapter.inputs.some(input => input.kind === 'endpoint.end' && input.attempt === attempt))
    }
    const batches = () => adapter.inputs.filter(isKind('endpoint.events'))
    adapter.perform({ kind: 'endpoint.follow', endpoint: 'w1', address })
    await adapter.until(() => batches().length === 1)
    expect(batches()[0]).toMatchObject({ endpoint: 'w1', seq: 0, full: true, events: [] })
    await runRequest(1, 'first')
    await adapter.until(() => batches().length === 2)
    expect(batches()[1]).toMatchObject({ seq: 1, full: false, events: [{ kind: 'stored' }] })
    engine.injectFault({ kind: 'gap', batches: 1 })
    for (let attempt = 2; batches().length < 3; attempt++) await runRequest(attempt, `another ${attempt}`)
    expect(batches()[2].seq).toBeGreaterThan(2)
    engine.injectFault({ kind: 'crash' })
    await adapter.until(() => batches().length === 4)
    expect(batches()[3]).toMatchObject({ seq: 0, full: true, events: [] })
    expect(batches()[3].incarnation).not.toBe(batches()[0].incarnation)
  })
})
