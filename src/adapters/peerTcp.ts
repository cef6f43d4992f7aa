/**
 * Connections between instances. Each instance sends over the connection that
 * it opened itself and receives over those opened by others; a message that
 * cannot be sent is dropped, since delivery is never promised.
 */
import { connect as connectPlain, createServer as createPlainServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { connect as connectTls, createServer as createTlsServer, TLSSocket, type PeerCertificate, type Server as TlsServer } from 'node:tls'
import { z } from 'zod'
import type { Address } from '../endpoints/endpointsTypes.js'
import type { PeerEffect, PeerInput } from '../ports/peerPort.js'
import type { Credentials } from './credentials.js'
import { createFrameReader, encodeFrame, type FrameProblem } from './peerFrames.js'

/** First frame of a connection. */
const helloSchema = z.object({ kind: z.literal('hello'), from: z.string(), incarnation: z.string() })
const messageSchema = z.looseObject({ kind: z.string() })

/** What the adapter reports and counts. */
export interface PeerEvents {
  readonly emit: (input: PeerInput) => void
  readonly garbled: (problem: FrameProblem['kind'] | 'noHello' | 'noKind' | 'wrongName') => void
  readonly sent: (bytes: number) => void
  readonly received: (bytes: number) => void
}

/** Addresses and limits. Sizes in bytes. */
export interface PeerOptions {
  readonly id: string
  readonly incarnation: string
  readonly host: string
  readonly port: number
  readonly frameLimit: number
  /** Time to connect, in ms. */
  readonly connectTimeout?: number
  /** Pause before a new connection to an instance that could not be reached, in ms. */
  readonly reconnectPause?: number
  readonly credentials?: Credentials
}

/** The peers' network. */
export interface PeerNetwork {
  readonly listen: () => Promise<number>
  readonly perform: (effect: PeerEffect) => void
  /** Closes the connection to an instance; the next message opens another. */
  readonly reset: (id: string) => void
  /** Sets where each peer listens; connections to others are closed. */
  readonly setAddresses: (addresses: ReadonlyMap<string, Address>) => void
  readonly close: () => void
}

/** Bytes waiting for one peer at which further messages to it are dropped. */
const backlogLimit = 1_048_576
const usualConnectTimeout = 2_000
const usualReconnectPause = 500

/** The reason that TLS is given for breaking a connection to the wrong instance. */
class WrongPeer extends Error {
  override readonly name = 'WrongPeer'

  constructor (readonly wanted: string, readonly found: readonly string[]) {
    super(`the certificate names ${found.join(', ')} and not ${wanted}`)
  }
}

/** The names that a certificate vouches for: its common name and its DNS alternative names. */
const certifiedNames = ({ subject, subjectaltname = '' }: PeerCertificate): readonly string[] => [
  ...[subject?.CN ?? []].flat(),
  ...subjectaltname.split(', ').flatMap(name => name.startsWith('DNS:') ? [name.slice('DNS:'.length)] : [])
]

const checkName = (id: string, certificate: PeerCertificate): Error | undefined =>
  certifiedNames(certificate).includes(id) ? undefined : new WrongPeer(id, certifiedNames(certificate))

/** Without TLS every name is taken as said. */
const mayBeNamed = (socket: Socket, id: string): boolean =>
  !(socket instanceof TLSSocket) || certifiedNames(socket.getPeerCertificate()).includes(id)

interface Outgoing {
  readonly socket: Socket
  readonly address: Address
}

/**
 * Creates the network of peers.
 *
 * @param options - own identity, address and limits
 * @param events - where messages and losses are reported
 * @returns the network, not listening yet
 */
export const createPeerTcp = (options: PeerOptions, events: PeerEvents): PeerNetwork => {
  const { connectTimeout = usualConnectTimeout, reconnectPause = usualReconnectPause } = options
  const addresses = new Map<string, Address>()
  const outgoing = new Map<string, Outgoing>()
  const pausedUntil = new Map<string, number>()
  const incoming = new Set<Socket>()

  const accept = (socket: Socket): void => {
    const reader = createFrameReader(options.frameLimit)
    let from: string | undefined
    incoming.add(socket)

    const take = (value: unknown): boolean => {
      if (from === undefined) {
        const said = helloSchema.safeParse(value).data?.from
        if (said === undefined) events.garbled('noHello')
        else if (!mayBeNamed(socket, said)) events.garbled('wrongName')
        else from = said
        return from !== undefined
      }
      const message = messageSchema.safeParse(value)
      if (message.success) events.emit({ kind: 'peer.message', from, message: message.data })
      else events.garbled('noKind')
      return message.success
    }

    socket.on('data', (bytes: Buffer) => {
      events.received(bytes.length)
      reader.push(bytes).match(
        values => { if (!values.every(take)) socket.destroy() },
        problem => {
          events.garbled(problem.kind)
          socket.destroy()
        }
      )
    })
    socket.on('error', () => socket.destroy())
    socket.on('close', () => incoming.delete(socket))
  }

  const lose = (id: string, socket: Socket): void => {
    if (outgoing.get(id)?.socket !== socket) return
    outgoing.delete(id)
    pausedUntil.set(id, performance.now() + reconnectPause)
    events.emit({ kind: 'peer.lost', from: id })
  }

  const open = (id: string, address: Address): Socket => {
    const target = { host: address.host, port: address.port }
    const socket = options.credentials === undefined
      ? connectPlain(target)
      : connectTls({ ...target, ...options.credentials.server, checkServerIdentity: (_host, certificate) => checkName(id, certificate) })
    socket.setNoDelay(true)
    socket.setTimeout(connectTimeout, () => { if (socket.connecting) socket.destroy() })
    socket.on('error', () => socket.destroy())
    socket.on('close', () => lose(id, socket))
    socket.resume()
    socket.write(encodeFrame({ kind: 'hello', from: options.id, incarnation: options.incarnation }))
    outgoing.set(id, { socket, address })
    return socket
  }

  const socketTo = (id: string): Socket | undefined => {
    const known = outgoing.get(id)
    if (known !== undefined) return known.socket
    const address = addresses.get(id)
    if (address === undefined || (pausedUntil.get(id) ?? 0) > performance.now()) return undefined
    return open(id, address)
  }

  const perform = (effect: PeerEffect): void => {
    const socket = socketTo(effect.to)
    if (socket === undefined || socket.writableLength > backlogLimit) return
    const frame = encodeFrame(effect.message)
    events.sent(frame.length)
    socket.write(frame)
  }

  const setAddresses = (next: ReadonlyMap<string, Address>): void => {
    addresses.clear()
    for (const [id, address] of next) addresses.set(id, address)
    for (const [id, { socket, address }] of outgoing) {
      const wanted = addresses.get(id)
      if (wanted?.host !== address.host || wanted.port !== address.port) socket.destroy()
    }
  }

  const server: Server = options.credentials === undefined
    ? createPlainServer(accept)
    : createTlsServer({ ...options.credentials.server, requestCert: true, rejectUnauthorized: true }, accept)

  options.credentials?.onReload(renewed => (server as TlsServer).setSecureContext(renewed.server))

  const listen = (): Promise<number> => new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, () => resolve((server.address() as AddressInfo).port))
  })

  const close = (): void => {
    server.close()
    for (const { socket } of outgoing.values()) socket.destroy()
    for (const socket of incoming) socket.destroy()
  }

  return { listen, perform, reset: id => { outgoing.get(id)?.socket.destroy() }, setAddresses, close }
}
