/**
 * TCP connections between instances. Each instance sends over the connections
 * that it opened itself and receives over those that its peers opened. Delivery
 * is not guaranteed: a message that cannot be sent is dropped.
 */
import { connect as connectPlain, createServer as createPlainServer, type Server, type Socket } from 'node:net'
import { connect as connectTls, createServer as createTlsServer, TLSSocket, type PeerCertificate, type Server as TlsServer } from 'node:tls'
import { z } from 'zod'
import type { Address } from '../endpoints/endpointsTypes.js'
import type { PeerEffect, PeerInput } from '../ports/peerPort.js'
import type { Credentials } from './credentials.js'
import { listen, type ReportAdapterError } from './listening.js'
import { createFrameReader, encodeFrame, type FrameError } from './peerFrames.js'

/** Schema of the first frame of a connection, which identifies the sender. */
const helloSchema = z.object({ kind: z.literal('hello'), from: z.string(), incarnation: z.string() })
const messageSchema = z.looseObject({ kind: z.string() })

/** Receivers of the messages and of the events that are counted. */
export interface PeerEvents {
  /** Receives messages, and lost connections to peers. */
  readonly emit: (input: PeerInput) => void
  /** Called for data that is not a valid message; the connection is then closed. */
  readonly garbled: (problem: FrameError['kind'] | 'noHello' | 'noKind' | 'wrongName') => void
  /** Counts the bytes of a message that was handed to a socket. */
  readonly sent: (bytes: number) => void
  /** Counts received bytes. */
  readonly received: (bytes: number) => void
  /** Receives unexpected errors, with the place. */
  readonly reportError?: ReportAdapterError
}

/** Identity, address and limits of an instance in the peer network. */
export interface PeerOptions {
  readonly id: string
  readonly incarnation: string
  readonly host: string
  readonly port: number
  /** Maximum size of a frame's payload, in bytes. */
  readonly frameLimit: number
  /** Time limit for establishing a connection, in ms; by default 2 s. */
  readonly connectTimeout?: number
  /** Delay before reconnecting to a peer after its connection was lost, in ms; by default 500 ms. */
  readonly reconnectDelay?: number
  /** Set to use mutual TLS. */
  readonly credentials?: Credentials
}

/** Sends messages to peers and receives theirs. */
export interface PeerNetwork {
  /** Starts to listen; resolves to the port. */
  readonly listen: () => Promise<number>
  /** Sends a message, or drops it if the peer is not reachable or its send buffer is full. */
  readonly perform: (effect: PeerEffect) => void
  /** Closes the connection to a peer; a later message opens a new one. */
  readonly reset: (id: string) => void
  /** Replaces the addresses of all peers; connections to other addresses are closed. */
  readonly setAddresses: (addresses: ReadonlyMap<string, Address>) => void
  /** Stops listening and closes all connections. */
  readonly close: () => void
}

/** Size of the send buffer of one peer above which further messages to it are dropped, in bytes. */
const backlogLimit = 1_048_576
const defaultConnectTimeout = 2_000 // ms
const defaultReconnectDelay = 500 // ms

/** Error that aborts the TLS handshake with an instance whose certificate does not contain the expected name. */
class WrongPeer extends Error {
  override readonly name = 'WrongPeer'

  constructor (readonly expected: string, readonly found: readonly string[]) {
    super(`certificate is valid for ${found.join(', ')}, not for ${expected}`)
  }
}

/** Names in a certificate: its common name and its DNS subject alternative names. */
const certificateNames = ({ subject, subjectaltname = '' }: PeerCertificate): readonly string[] => [
  ...[subject?.CN ?? []].flat(),
  ...subjectaltname.split(', ').flatMap(name => name.startsWith('DNS:') ? [name.slice('DNS:'.length)] : [])
]

const checkPeerName = (id: string, certificate: PeerCertificate): Error | undefined =>
  certificateNames(certificate).includes(id) ? undefined : new WrongPeer(id, certificateNames(certificate))

/** Whether a peer may use an id. Without TLS there is no authentication, and any id is accepted. */
const isNameAuthenticated = (socket: Socket, id: string): boolean =>
  !(socket instanceof TLSSocket) || certificateNames(socket.getPeerCertificate()).includes(id)

interface Outgoing {
  readonly socket: Socket
  readonly address: Address
}

/**
 * Creates the peer network of one instance.
 *
 * @param options - identity, address and limits of the instance
 * @param events - receives messages, lost connections and counts
 * @returns the network, which is not listening yet
 */
export const createPeerTcp = (options: PeerOptions, events: PeerEvents): PeerNetwork => {
  const { connectTimeout = defaultConnectTimeout, reconnectDelay = defaultReconnectDelay } = options
  const addresses = new Map<string, Address>()
  const outgoing = new Map<string, Outgoing>()
  const reconnectAt = new Map<string, number>()
  const incoming = new Set<Socket>()

  const accept = (socket: Socket): void => {
    const reader = createFrameReader(options.frameLimit)
    let from: string | undefined
    incoming.add(socket)

    const handleFrame = (value: unknown): boolean => {
      if (from === undefined) {
        const claimedId = helloSchema.safeParse(value).data?.from
        if (claimedId === undefined) events.garbled('noHello')
        else if (!isNameAuthenticated(socket, claimedId)) events.garbled('wrongName')
        else from = claimedId
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
        values => { if (!values.every(handleFrame)) socket.destroy() },
        problem => {
          events.garbled(problem.kind)
          socket.destroy()
        }
      )
    })
    socket.on('error', () => socket.destroy())
    socket.on('close', () => incoming.delete(socket))
  }

  const handleClose = (id: string, socket: Socket): void => {
    if (outgoing.get(id)?.socket !== socket) return
    outgoing.delete(id)
    reconnectAt.set(id, performance.now() + reconnectDelay)
    events.emit({ kind: 'peer.lost', from: id })
  }

  const openConnection = (id: string, address: Address): Socket => {
    const target = { host: address.host, port: address.port }
    const socket = options.credentials === undefined
      ? connectPlain(target)
      : connectTls({ ...target, ...options.credentials.server, checkServerIdentity: (_host, certificate) => checkPeerName(id, certificate) })
    socket.setNoDelay(true)
    socket.setTimeout(connectTimeout, () => { if (socket.connecting) socket.destroy() })
    socket.on('error', () => socket.destroy())
    socket.on('close', () => handleClose(id, socket))
    socket.resume()
    socket.write(encodeFrame({ kind: 'hello', from: options.id, incarnation: options.incarnation }))
    outgoing.set(id, { socket, address })
    return socket
  }

  const socketTo = (id: string): Socket | undefined => {
    const existing = outgoing.get(id)
    if (existing !== undefined) return existing.socket
    const address = addresses.get(id)
    if (address === undefined || (reconnectAt.get(id) ?? 0) > performance.now()) return undefined
    return openConnection(id, address)
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

  const close = (): void => {
    server.close()
    for (const { socket } of outgoing.values()) socket.destroy()
    for (const socket of incoming) socket.destroy()
  }

  return { listen: () => listen(server, options, events.reportError ?? (() => { /* Not reported. */ })), perform, reset: id => { outgoing.get(id)?.socket.destroy() }, setAddresses, close }
}
