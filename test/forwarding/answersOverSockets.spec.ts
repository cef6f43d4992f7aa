import type { Socket } from 'node:net'
import { wireCodec } from '../../platform/wireCodec.js'
import { createWorkerChannels } from '../../src/adapters/workerChannels.js'
import type { Route } from '../../src/catalog/catalogTypes.js'
import { loadHash, type Hash } from '../../src/hash.js'
import { createFakeForwarding, type CallerView } from '../fakes/fakeForwarding.js'
import { writeForever } from '../fakes/endlessServer.js'
import { closeRawServers, startRawServer } from '../fakes/rawServer.js'
import { waitFor } from '../fakes/waitFor.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../fixtures/forwarding.js'

type Answer = (socket: Socket) => void

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

afterEach(closeRawServers)

const plain = buildRoute()
const plainOnce = buildRoute({ kind: 'once', maxWorkers: 1 })
const stream = buildRoute({ kind: 'stream', resumable: true })
const streamOnce = buildRoute({ kind: 'stream', resumable: false, maxWorkers: 1 })

const event = (id: number): string => `id: ${id}\ndata: t\n\n`
const headers = 'X-Request-Id: call-1\r\nX-Response-Signature: s\r\n'

/** Heads of responses that have neither a length nor chunks. */
const heads = {
  'HTTP/1.1': `HTTP/1.1 200 OK\r\n${headers}\r\n`,
  'HTTP/1.1 with Connection: close': `HTTP/1.1 200 OK\r\nConnection: close\r\n${headers}\r\n`,
  'HTTP/1.0': `HTTP/1.0 200 OK\r\n${headers}\r\n`,
  'HTTP/1.0 with Connection: keep-alive': `HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n${headers}\r\n`
}
const eachHead = Object.entries(heads)

const endClean = (text: string): Answer => socket => { socket.end(text) }
const endLater = (text: string): Answer => socket => { socket.write(text, () => setImmediate(() => socket.end())) }
const resetWithData = (text: string): Answer => socket => { socket.write(text, () => socket.resetAndDestroy()) }
const resetLater = (text: string): Answer => socket => { socket.write(text, () => setImmediate(() => setImmediate(() => socket.resetAndDestroy()))) }

interface Outcome extends CallerView {
  /** Bytes of the requests that reached workers. */
  readonly requests: readonly string[]
  readonly connections: number
}

/** Sends successive requests through the forwarding core and real connections to three workers, which give the answers in this order. */
const play = async (route: Route, answers: readonly Answer[], count = 1): Promise<readonly Outcome[]> => {
  const requests: string[] = []
  const answer = (socket: Socket, bytes: Buffer): void => {
    if (!bytes.includes('HTTP/1.1')) return
    requests.push(bytes.toString())
    answers[Math.min(requests.length, answers.length) - 1](socket)
  }
  const servers = await Promise.all([1, 2, 3].map(() => startRawServer(answer)))
  const workers = servers.map(({ port }, index) => buildWorker(`w${index}`, { address: { host: '127.0.0.1', port } }))
  const channels = createWorkerChannels({ codec: wireCodec, emit: input => fake.handle(input, 1), onConnectionOpened: () => { /* Not counted here. */ } })
  const fake = createFakeForwarding({
    hash,
    catalog: buildCatalog({ routes: [route] }),
    workers,
    perform: effect => {
      if (effect.kind === 'attempt.send') channels.send(effect.attempt, effect.dispatch)
      if (effect.kind === 'attempt.cancel') channels.cancel(effect.attempt)
    }
  })
  const outcomes: Outcome[] = []
  for (let index = 0; index < count; index++) {
    const before = requests.length
    const request = fake.arrive(buildCall(), 0)
    await waitFor(() => [undefined, 'open'].indexOf(fake.callerView(request)?.state) < 0)
    outcomes.push({ ...fake.callerView(request) as CallerView, requests: requests.slice(before), connections: servers.reduce((sum, { accepted }) => sum + accepted(), 0) })
  }
  await Promise.all([channels.close(), ...servers.map(({ close }) => close())])
  return outcomes
}

describe.each(eachHead)('an answer that ends with its connection, %s', (_name, head) => {
  it.each([['at once', endClean], ['after its last bytes', endLater]])('arrives whole and runs once if the worker closes the connection %s', async (_when, end) => {
    for (const outcome of await play(plain, [end(`${head}hello`)], 4)) expect(outcome).toMatchObject({ status: 200, text: 'hello', state: 'whole', requests: [expect.anything()] })
    for (const outcome of await play(stream, [end(head + event(1) + event(2))], 4)) expect(outcome).toMatchObject({ text: event(1) + event(2), state: 'whole', requests: [expect.anything()] })
  })

  it('is never followed by another one on its connection', async () => {
    expect((await play(plain, [endClean(`${head}hello`)], 3)).map(({ connections }) => connections)).toEqual([1, 2, 3])
  })

  it.each([['with data', resetWithData], ['later', resetLater]])('is retried if the connection is reset %s, a stream after its last whole event', async (_when, reset) => {
    const [answer] = await play(plain, [reset(`${head}hel`), endClean(`${head}hello`)])
    expect(answer).toMatchObject({ text: 'hello', state: 'whole', requests: [expect.anything(), expect.anything()] })
    const [resumed] = await play(stream, [reset(`${head}${event(1)}id: 2\nda`), endClean(head + event(2))])
    expect(resumed).toMatchObject({ text: event(1) + event(2), state: 'whole', requests: [expect.anything(), expect.stringMatching(/^Last-Event-Id: 1\r$/m)] })
  })

  it.each([['with data', resetWithData], ['later', resetLater]])('never looks complete if the connection is reset %s and the request may not be retried', async (_when, reset) => {
    expect((await play(plainOnce, [reset(`${head}hel`)]))[0]).toMatchObject({ status: 502, state: 'whole' })
    expect((await play(streamOnce, [reset(head + event(1))]))[0]).toMatchObject({ text: event(1), state: 'broken' })
  })

  it.each(['id: 2\ndata: t\n', 'id: 2\ndata: t', 'id: 2\r\n', 'i'])('is resumed, or broken off if it may not be, when it ends inside an event: %j', async rest => {
    const [resumed] = await play(stream, [endClean(head + event(1) + rest), endClean(head + event(2))])
    expect(resumed).toMatchObject({ text: event(1) + event(2), state: 'whole', requests: [expect.anything(), expect.stringMatching(/^Last-Event-Id: 1\r$/m)] })
    expect((await play(streamOnce, [endClean(head + event(1) + rest)]))[0]).toMatchObject({ text: event(1), state: 'broken' })
  })
})

describe('a worker that sends without end', () => {
  const head = heads['HTTP/1.1']
  const chunked = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n${headers}\r\n`
  const endless = (text: string, repeated: string): Answer => socket => writeForever(socket, text, repeated)

  it.each([
    ['a status line', endless('HTTP/1.1 200 ', 'O')],
    ['interim responses', endless('', 'HTTP/1.1 103 Early Hints\r\n\r\n')],
    ['a body', endless(head, 'b')],
    ['a body in chunks', endless(chunked, `40\r\n${'b'.repeat(64)}\r\n`)],
    ['a chunk extension', endless(`${chunked}3;a=`, 'b')]
  ])('%s ends no more than its own request, which another worker answers if it may be retried', async (_name, answer) => {
    const outcomes = await play(plain, [answer, endClean(`${head}hello`)], 2)
    expect(outcomes).toMatchObject([{ text: 'hello', state: 'whole', requests: [expect.anything(), expect.anything()] }, { text: 'hello', state: 'whole', requests: [expect.anything()] }])
    expect((await play(plainOnce, [answer]))[0]).toMatchObject({ status: 502, state: 'whole' })
  })

  it.each([['an event', 'b'], ['lines of comments', ': b\n']])('%s has its stream resumed after the last whole event, or broken off if that may not be', async (_name, repeated) => {
    const answer = endless(`${head}${event(1)}id: 2\n`, repeated)
    const [resumed] = await play(stream, [answer, endClean(head + event(2))])
    expect(resumed).toMatchObject({ text: event(1) + event(2), state: 'whole', requests: [expect.anything(), expect.stringMatching(/^Last-Event-Id: 1\r$/m)] })
    expect((await play(streamOnce, [answer]))[0]).toMatchObject({ text: event(1), state: 'broken' })
  })

  it('bytes after a complete answer leaves that answer whole and its connection unused', async () => {
    const withLength = `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n${headers}\r\nhello`
    const outcomes = await play(plain, [endless(withLength, 'HTTP/1.1 200 OK\r\n')], 3)
    for (const outcome of outcomes) expect(outcome).toMatchObject({ text: 'hello', state: 'whole', requests: [expect.anything()] })
    expect(outcomes.map(({ connections }) => connections)).toEqual([1, 2, 3])
  })
})
