import { once } from 'node:events'
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpsRequest } from 'node:https'
import { connect as connectPlain } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { connect as connectTls, createServer as createTlsServer, type PeerCertificate, type TLSSocket } from 'node:tls'
import type { PeerInput } from '../ports/peerPort.js'
import { loadCredentials, type Credentials } from './credentials.js'
import { createHttpServer, type HttpServer } from './httpServer.js'
import { encodeFrame } from './peerFrames.js'
import { createPeerTcp, type PeerNetwork } from './peerTcp.js'

const fixture = (name: string): string => join('test', 'fixtures', 'tls', name)
const credentialsOf = (name: string): Credentials =>
  loadCredentials({ ca: fixture('ca.pem'), cert: fixture(`${name}.pem`), key: fixture(`${name}.key`) })

const cleanups: (() => void)[] = []
afterEach(() => { for (const cleanup of cleanups.splice(0)) cleanup() })

interface Listening {
  readonly network: PeerNetwork
  readonly port: number
  /** Resolves to the next input, or to the kind of the next problem. */
  readonly next: () => Promise<PeerInput | string>
}

const listen = async (id: string, credentials: Credentials): Promise<Listening> => {
  const seen: (PeerInput | string)[] = []
  const waiting: ((value: PeerInput | string) => void)[] = []
  const record = (value: PeerInput | string): void => {
    const first = waiting.shift()
    if (first === undefined) seen.push(value)
    else first(value)
  }
  const network = createPeerTcp({ id, incarnation: 'i', host: '127.0.0.1', port: 0, frameLimit: 65_536, credentials }, { emit: record, garbled: record, sent: () => {}, received: () => {} })
  cleanups.push(network.close)
  const next = (): Promise<PeerInput | string> => {
    const first = seen.shift()
    return first === undefined ? new Promise(resolve => waiting.push(resolve)) : Promise.resolve(first)
  }
  return { network, port: await network.listen(), next }
}

const sendFrom = async (id: string, credentials: Credentials, to: string, port: number): Promise<Listening> => {
  const sender = await listen(id, credentials)
  sender.network.setAddresses(new Map([[to, { host: '127.0.0.1', port }]]))
  sender.network.perform({ kind: 'peer.send', to, message: { kind: 'config.greeting' } } as never)
  return sender
}

describe('peers over TLS', () => {
  it('exchange messages if their certificates contain their names', async () => {
    const receiver = await listen('e2', credentialsOf('e2'))
    await sendFrom('e1', credentialsOf('e1'), 'e2', receiver.port)
    expect(await receiver.next()).toMatchObject({ kind: 'peer.message', from: 'e1', message: { kind: 'config.greeting' } })
  })

  it('reject a peer that claims a name that its certificate does not contain', async () => {
    const receiver = await listen('e2', credentialsOf('e2'))
    await sendFrom('e3', credentialsOf('e1'), 'e2', receiver.port)
    expect(await receiver.next()).toBe('wrongName')
  })

  it('send nothing to an instance whose certificate contains another name', async () => {
    let bytes = 0
    const { server } = credentialsOf('e1')
    const other = createTlsServer({ ...server, requestCert: true, rejectUnauthorized: false }, socket => socket.on('data', data => { bytes += data.length }))
    const port = await new Promise<number>(resolve => other.listen(0, '127.0.0.1', () => resolve((other.address() as { port: number }).port)))
    cleanups.push(() => other.close())
    const sender = await sendFrom('e1', credentialsOf('e1'), 'e2', port)
    expect(await sender.next()).toEqual({ kind: 'peer.lost', from: 'e2' })
    expect(bytes).toBe(0)
  })

  it('reject connections with a self-signed certificate, without a certificate, and without TLS', async () => {
    const receiver = await listen('e1', credentialsOf('e1'))
    const ca = readFileSync(fixture('ca.pem'), 'utf8')
    const untrusted = { cert: readFileSync(fixture('stranger.pem'), 'utf8'), key: readFileSync(fixture('stranger.key'), 'utf8') }
    const closed = (socket: TLSSocket | ReturnType<typeof connectPlain>): Promise<void> => new Promise(resolve => {
      socket.on('error', () => { /* The close event follows. */ })
      socket.on('close', () => resolve())
      socket.resume()
      socket.write(encodeFrame({ kind: 'hello', from: 'e2', incarnation: 'i' }))
      socket.write(encodeFrame({ kind: 'config.greeting' }))
    })
    await closed(connectTls({ host: '127.0.0.1', port: receiver.port, ca, servername: 'e1' }))
    await closed(connectTls({ host: '127.0.0.1', port: receiver.port, ca, servername: 'e1', ...untrusted }))
    await closed(connectPlain({ host: '127.0.0.1', port: receiver.port }))
    await sendFrom('e2', credentialsOf('e2'), 'e1', receiver.port)
    expect(await receiver.next()).toMatchObject({ kind: 'peer.message', from: 'e2' })
  })
})

/** Serves callers over TLS; passes the server to `use`. */
const serve = async (credentials: Credentials, use: (server: HttpServer) => void = () => {}): Promise<number> => {
  const server: HttpServer = createHttpServer({ host: '127.0.0.1', port: 0, bodyLimit: 1_024, headerLimit: 16_384, receiveTimeout: 5_000, writeBuffer: 1_024, credentials }, {
    arrived: ({ request }) => server.perform({ kind: 'caller.answer', request, status: 200, headers: {}, body: 'whole' }),
    gone: () => {},
    blocked: () => {},
    ready: () => {},
    refused: () => {}
  })
  cleanups.push(() => {
    server.closeListener()
    server.destroy()
  })
  use(server)
  return server.listen()
}

/** Sends a request over a new connection; resolves to the body and the serial number of the server certificate. */
const fetchOver = (port: number): Promise<{ readonly body: string, readonly serial: string }> => new Promise((resolve, reject) => {
  const call = httpsRequest({ host: '127.0.0.1', port, ca: readFileSync(fixture('ca.pem'), 'utf8'), servername: 'e1', agent: false }, response => {
    const certificate: PeerCertificate = (response.socket as TLSSocket).getPeerCertificate()
    response.setEncoding('utf8')
    let body = ''
    response.on('data', (part: string) => { body += part })
    response.on('end', () => resolve({ body, serial: certificate.serialNumber }))
  })
  call.on('error', reject)
  call.end()
})

/** Copies the certificate and key of e1 to temporary files that a test may replace. */
const replaceableFiles = (): { readonly ca: string, readonly cert: string, readonly key: string } => {
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-tls-'))
  cleanups.push(() => rmSync(folder, { recursive: true }))
  const files = { ca: join(folder, 'ca'), cert: join(folder, 'cert'), key: join(folder, 'key') }
  copyFileSync(fixture('ca.pem'), files.ca)
  copyFileSync(fixture('e1.pem'), files.cert)
  copyFileSync(fixture('e1.key'), files.key)
  return files
}

describe('the peer port over TLS', () => {
  it('uses renewed certificates without a restart', async () => {
    const files = replaceableFiles()
    const credentials = loadCredentials(files)
    const { port } = await listen('e1', credentials)
    const serial = (): Promise<string> => new Promise((resolve, reject) => {
      const socket = connectTls({ host: '127.0.0.1', port, ...credentialsOf('e2').server, servername: 'e1' }, () => {
        resolve(socket.getPeerCertificate().serialNumber)
        socket.destroy()
      })
      socket.on('error', reject)
    })
    const first = await serial()
    copyFileSync(fixture('e1-renewed.pem'), files.cert)
    copyFileSync(fixture('e1-renewed.key'), files.key)
    expect(credentials.reload()).toBe(true)
    expect(await serial()).not.toBe(first)
  })
})

describe('the HTTP server over TLS', () => {
  it('uses renewed certificates without a restart, and keeps the old ones if certificate and key do not match', async () => {
    const files = replaceableFiles()
    const credentials = loadCredentials(files)
    const port = await serve(credentials)
    const first = await fetchOver(port)
    expect(first.body).toBe('whole')

    copyFileSync(fixture('e1-renewed.pem'), files.cert)
    expect(credentials.reload()).toBe(false)
    expect((await fetchOver(port)).serial).toBe(first.serial)

    copyFileSync(fixture('e1-renewed.key'), files.key)
    expect(credentials.reload()).toBe(true)
    const renewed = await fetchOver(port)
    expect(renewed.body).toBe('whole')
    expect(renewed.serial).not.toBe(first.serial)

    writeFileSync(files.key, 'garbage')
    expect(credentials.reload()).toBe(false)
    expect((await fetchOver(port)).serial).toBe(renewed.serial)
  })

  it('continues to serve after a caller that does not use TLS', async () => {
    const port = await serve(credentialsOf('e1'))
    await new Promise<void>(resolve => {
      const socket = connectPlain({ host: '127.0.0.1', port }, () => socket.write('GET / HTTP/1.1\r\n\r\n'))
      socket.on('error', () => { /* The close event follows. */ })
      socket.on('close', () => resolve())
      socket.resume()
    })
    expect((await fetchOver(port)).body).toBe('whole')
  })
})

describe('a server for callers over TLS that stops', () => {
  it('closes unused and idle connections, and has then nothing left to answer', async () => {
    const servers: HttpServer[] = []
    const port = await serve(credentialsOf('e1'), server => servers.push(server))
    const openTls = async (): Promise<TLSSocket> => {
      const socket = connectTls({ host: '127.0.0.1', port, ca: readFileSync(fixture('ca.pem'), 'utf8'), servername: 'e1' })
      socket.on('error', () => { /* The close event follows. */ })
      await once(socket, 'secureConnect')
      return socket
    }
    const [unused, idle] = [await openTls(), await openTls()]
    const closed = Promise.all([unused, idle].map(socket => once(socket, 'close')))
    unused.resume()
    idle.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n')
    await once(idle, 'data')
    servers[0].setClosing()
    servers[0].closeListener()
    await servers[0].flushed()
    await closed
  })
})
