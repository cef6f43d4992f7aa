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

const is = <Kind extends EndpointInput['kind']>(kind: Kind) => (input: EndpointInput): input is Input<Kind> => input.kind === kind

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

const servedBy = (engine: StandIn<EngineEntry>): ServedRequest => engine.record.find((entry): entry is ServedRequest => entry.kind === 'request') as ServedRequest

const positions = (inputs: readonly EndpointInput[]): number[] => inputs.filter(is('endpoint.chunk')).map(({ position }) => position)

/** A server on bare TCP: `onRequest` gets each whole request's socket, with its number. */
const startRaw = async (onRequest: (socket: Socket, n: number) => void) => {
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

/** The client puts a connection back a turn after its answer ended. */
const connectionIdle = (): Promise<void> => new Promise(resolve => { setImmediate(resolve) })

const emptyAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: a\r\n\r\n{}'

describe('model requests', () => {
  test('a stream arrives whole, in order, with the identity that served it', async () => {
    const { engine, address } = await startEngine({ id: 'w1' })
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest()))
    await adapter.next(is('endpoint.end'))
    const head = await adapter.next(is('endpoint.head'))
    expect(head).toMatchObject({ attempt: 1, status: 200, requestId: 'r-1', weightVersion: '1' })
    expect(head.incarnation).toMatch(/^w1-/)
    expect(positions(adapter.inputs)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8])
    expect(adapter.inputs.filter(is('endpoint.chunk')).every(({ requestId }) => requestId === 'r-1')).toBe(true)
    expect(servedBy(engine)).toMatchObject({ workspace: 'north', salt: 'salt-north', model: 'drafter', outcome: 'finished' })
    expect(adapter.inFlight()).toBe(0)
  })

  test('a refusal comes back as a whole answer', async () => {
    const { address } = await startEngine()
    const adapter = createAdapter()
    const { identity } = modelRequest()
    adapter.perform(dispatch(1, address, modelRequest({ identity: { ...identity, weightVersion: '9' } })))
    const answer = await adapter.next(is('endpoint.answer'))
    expect(answer.status).toBe(409)
    expect(JSON.parse(Buffer.from(answer.body).toString())).toMatchObject({ error: { type: 'weight_version_not_loaded' } })
  })

  test.each([
    ['cutBefore', { kind: 'cutBefore', times: 1 }, 'cut'],
    ['cut in the stream', { kind: 'cutAfter', times: 1, events: 3 }, 'cut'],
    ['an event that is no JSON', { kind: 'garbled', times: 1 }, 'garbled'],
    ['crash', { kind: 'crash' }, 'cut']
  ] as const)('%s becomes a typed failure', async (_, fault, failure) => {
    const { engine, address } = await startEngine({ decodeTime: fault.kind === 'crash' ? 20 : 1 })
    const adapter = createAdapter()
    if (fault.kind !== 'crash') engine.injectFault(fault)
    adapter.perform(dispatch(1, address, modelRequest({}, 200)))
    if (fault.kind === 'crash') {
      await adapter.next(is('endpoint.chunk'))
      engine.injectFault(fault)
    }
    expect(await adapter.next(is('endpoint.failed'))).toEqual({ kind: 'endpoint.failed', attempt: 1, failure, sent: true })
    expect(adapter.inFlight()).toBe(0)
  })

  test.each([
    ['a whole body without the end marker', 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r\r\nx-incarnation: i\r\nx-weight-version: 1\r\ncontent-length: 0\r\n\r\n', 'cut'],
    ['missing identity headers', 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n\r\n', 'garbled'],
    ['another content type', 'HTTP/1.1 200 OK\r\ncontent-type: text/html\r\nx-request-id: r\r\nx-incarnation: i\r\nx-weight-version: 1\r\ncontent-length: 0\r\n\r\n', 'garbled'],
    ['bytes that are no HTTP', 'what is this\r\n\r\n', 'garbled'],
    ['a position that is no number', 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r\r\nx-incarnation: i\r\nx-weight-version: 1\r\n\r\nid: first\ndata: {"id":"r"}\n\n', 'garbled']
  ])('%s becomes a typed failure', async (_, text, failure) => {
    const { address } = await startRaw(socket => socket.write(text))
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest()))
    expect(await adapter.next(is('endpoint.failed'))).toMatchObject({ failure, sent: true })
  })

  test('an event broken after its id reaches the relay, which finds it garbled', async () => {
    const { address } = await startRaw(socket => socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r\r\nx-incarnation: i\r\nx-weight-version: 1\r\n\r\nid: 0\ndata: {"id":"r","choices":[\n\n'))
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest()))
    const { requestId, position, data } = await adapter.next(is('endpoint.chunk'))
    expect(relayEvent(createRelay(), 'r', requestId, position, data)).toEqual({ kind: 'garbled' })
  })

  test('an answer to another request keeps its own id', async () => {
    const { engine, address } = await startEngine()
    const adapter = createAdapter()
    engine.injectFault({ kind: 'crossed', times: 1 })
    adapter.perform(dispatch(1, address, modelRequest()))
    expect((await adapter.next(is('endpoint.chunk'))).requestId).toBe('r-1-crossed')
  })

  test('doubled events keep their positions', async () => {
    const { engine, address } = await startEngine()
    const adapter = createAdapter()
    engine.injectFault({ kind: 'duplicate', times: 1 })
    adapter.perform(dispatch(1, address, modelRequest({}, 2)))
    await adapter.next(is('endpoint.end'))
    expect(positions(adapter.inputs)).toEqual([0, 0, 1, 1, 2, 2])
  })

  test('a cancelled attempt yields nothing more, and the engine stops', async () => {
    const { engine, address } = await startEngine({ decodeTime: 5 })
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest({}, 5_000)))
    await adapter.next(is('endpoint.chunk'))
    adapter.perform({ kind: 'endpoint.cancel', attempt: 1 })
    const heard = adapter.inputs.length
    adapter.perform(dispatch(2, address, modelRequest({ id: 'r-2' }, 2)))
    await adapter.next(is('endpoint.end'))
    expect(adapter.inputs.slice(heard).every(input => 'attempt' in input && input.attempt === 2)).toBe(true)
    await waitFor(() => servedBy(engine).outcome === 'cancelled')
  })

  test('a stream that was cut is resumed from its position', async () => {
    const { engine, address } = await startEngine()
    const adapter = createAdapter()
    engine.injectFault({ kind: 'cutAfter', times: 1, events: 3 })
    adapter.perform(dispatch(1, address, modelRequest()))
    await adapter.next(is('endpoint.failed'))
    adapter.perform(dispatch(2, address, modelRequest({ resumeFrom: 3 })))
    await adapter.next(is('endpoint.end'))
    expect(positions(adapter.inputs)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8])
  })

  test('another workspace can not resume a stream', async () => {
    const { address } = await startEngine()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest()))
    await adapter.next(is('endpoint.end'))
    const { identity } = modelRequest()
    adapter.perform(dispatch(2, address, modelRequest({ resumeFrom: 0, identity: { ...identity, workspace: 'south' } })))
    expect(await adapter.next(is('endpoint.answer'))).toMatchObject({ attempt: 2, status: 404 })
  })

  test('a paused attempt stops reading, and goes on whole', async () => {
    const { engine, address } = await startEngine({ decodeTime: 0.02 })
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest({}, 5_000)))
    await adapter.next(is('endpoint.chunk'))
    adapter.perform({ kind: 'endpoint.pause', attempt: 1 })
    await waitFor(() => servedBy(engine).generated > 1_000)
    const paused = positions(adapter.inputs).length
    await waitFor(() => servedBy(engine).generated > 4_000)
    expect(positions(adapter.inputs).length).toBe(paused)
    adapter.perform({ kind: 'endpoint.resume', attempt: 1 })
    await adapter.next(is('endpoint.end'))
    expect(positions(adapter.inputs)).toEqual(Array.from({ length: 5_001 }, (_, index) => index))
  })

  test('a request that HTTP can not carry fails unsent', async () => {
    const { address } = await startEngine()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, modelRequest({ cacheSalt: 'a\r\nb' })))
    expect(adapter.inputs).toEqual([])
    expect(await adapter.next(is('endpoint.failed'))).toMatchObject({ failure: 'garbled', sent: false })
  })
})

describe('service requests', () => {
  test('an answer carries status, body and the request it belongs to', async () => {
    const { service, address } = await startService()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking()))
    const answer = await adapter.next(is('endpoint.answer'))
    expect(answer).toMatchObject({ status: 200, requestId: 'b-1' })
    expect(JSON.parse(Buffer.from(answer.body).toString())).toEqual({ ran: true, key: 'key-b-1', n: 1 })
    expect(service.record).toMatchObject([{ method: 'POST', path: '/bookings', key: 'key-b-1' }])
  })

  test('a refused connection is the only failure that is known to be unsent', async () => {
    const { service, address } = await startService()
    await service.close()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking()))
    expect(await adapter.next(is('endpoint.failed'))).toMatchObject({ failure: 'refused', sent: false })
  })

  test.each(['cutBefore', 'cutAfter'] as const)('%s on a kept-alive connection: the request is sent once', async kind => {
    const { service, address } = await startService()
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking('b-1')))
    await adapter.next(is('endpoint.answer'))
    await connectionIdle()
    service.injectFault(kind === 'cutAfter' ? { kind, times: 1, events: 0 } : { kind, times: 1 })
    adapter.perform(dispatch(2, address, booking('b-2')))
    expect(await adapter.next(is('endpoint.failed'))).toMatchObject({ attempt: 2, failure: 'cut', sent: true })
    adapter.perform(dispatch(3, address, booking('b-3')))
    await adapter.until(() => adapter.inputs.filter(is('endpoint.answer')).length === 2)
    const keys = service.record.map(({ key }) => key)
    expect(keys).toEqual(kind === 'cutAfter' ? ['key-b-1', 'key-b-2', 'key-b-3'] : ['key-b-1', 'key-b-3'])
  })

  test('a connection that the server drops as the second request arrives carries it once', async () => {
    const { address, seen } = await startRaw((socket, n) => {
      if (n === 1) socket.write(emptyAnswer)
      else socket.resetAndDestroy()
    })
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking('b-1')))
    await adapter.next(is('endpoint.answer'))
    await connectionIdle()
    adapter.perform(dispatch(2, address, booking('b-2')))
    expect(await adapter.next(is('endpoint.failed'))).toMatchObject({ attempt: 2, sent: true })
    expect(seen).toEqual({ requests: 2, connections: 1 })
  })

  test('a connection that the server has closed while idle is not used, or fails as sent', async () => {
    const { address, seen, sockets } = await startRaw(socket => socket.write(emptyAnswer))
    const adapter = createAdapter()
    adapter.perform(dispatch(1, address, booking('b-1')))
    await adapter.next(is('endpoint.answer'))
    await connectionIdle()
    for (const socket of sockets) socket.end()
    adapter.perform(dispatch(2, address, booking('b-2')))
    await adapter.until(() => adapter.inputs.length === 2)
    const last = adapter.inputs[1]
    expect(last.kind === 'endpoint.answer' || (last.kind === 'endpoint.failed' && last.sent)).toBe(true)
    expect(seen.requests).toBeLessThanOrEqual(2)
  })
})

describe('probes, orders and cache events', () => {
  test('a probe reports load and models, or that nobody answers', async () => {
    const { engine, address } = await startEngine({ models: [{ model: 'drafter', adapter: 'branch', weightVersion: '7' }] })
    const adapter = createAdapter()
    adapter.perform({ kind: 'endpoint.probe', endpoint: 'w1', address })
    expect(await adapter.next(is('endpoint.report'))).toMatchObject({ endpoint: 'w1', models: [{ model: 'drafter', adapter: 'branch', weightVersion: '7' }], running: 0, waiting: 0, waitingTokens: 0, leaving: false })
    await engine.close()
    adapter.perform({ kind: 'endpoint.probe', endpoint: 'w1', address })
    expect(await adapter.next(is('endpoint.unreachable'))).toEqual({ kind: 'endpoint.unreachable', endpoint: 'w1' })
  })

  test('a service is probed without running anything', async () => {
    const { service, address } = await startService()
    const adapter = createAdapter({ kindOf: () => 'service' })
    adapter.perform({ kind: 'endpoint.probe', endpoint: 's1', address })
    expect((await adapter.next(is('endpoint.report'))).incarnation).toMatch(/^service-/)
    expect(service.record).toEqual([])
  })

  test.each([
    [true, 'staleFence'],
    [false, 'done']
  ])('an order with an old fencing number, engine fenced: %s', async (fenced, result) => {
    const { address } = await startEngine({ fenced, loadTime: 0 })
    const adapter = createAdapter()
    const order = { kind: 'load', model: { model: 'drafter', weightVersion: '2' } } as const
    const send = (token: number, fence: number) => adapter.perform({ kind: 'endpoint.order', owner: 'orders', token, endpoint: 'w1', address, order, fence })
    send(1, 5)
    expect(await adapter.next(is('endpoint.ordered'))).toMatchObject({ token: 1, result: 'done' })
    send(2, 4)
    await adapter.until(() => adapter.inputs.length === 2)
    expect(adapter.inputs[1]).toMatchObject({ token: 2, result })
  })

  test('cache events: listing, numbered batches, a gap, and a listing of the new incarnation after a crash', async () => {
    const { engine, address } = await startEngine()
    const adapter = createAdapter()
    const ask = async (attempt: number, content: string): Promise<void> => {
      adapter.perform(dispatch(attempt, address, modelRequest({ id: `r-${attempt}`, body: { stream: true, max_tokens: 1, messages: [{ role: 'user', content }] } })))
      await adapter.until(() => adapter.inputs.some(input => input.kind === 'endpoint.end' && input.attempt === attempt))
    }
    const batches = () => adapter.inputs.filter(is('endpoint.events'))
    adapter.perform({ kind: 'endpoint.follow', endpoint: 'w1', address })
    await adapter.until(() => batches().length === 1)
    expect(batches()[0]).toMatchObject({ endpoint: 'w1', seq: 0, full: true, events: [] })
    await ask(1, 'first')
    await adapter.until(() => batches().length === 2)
    expect(batches()[1]).toMatchObject({ seq: 1, full: false, events: [{ kind: 'stored' }] })
    engine.injectFault({ kind: 'gap', batches: 1 })
    for (let attempt = 2; batches().length < 3; attempt++) await ask(attempt, `another ${attempt}`)
    expect(batches()[2].seq).toBeGreaterThan(2)
    engine.injectFault({ kind: 'crash' })
    await adapter.until(() => batches().length === 4)
    expect(batches()[3]).toMatchObject({ seq: 0, full: true, events: [] })
    expect(batches()[3].incarnation).not.toBe(batches()[0].incarnation)
  })
})
