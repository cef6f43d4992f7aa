/**
 * Pool of HTTP connections to workers. A connection carries one request at a time
 * and belongs to one incarnation of one worker. A connection that delivered
 * anything other than the one expected response is not reused, nor is one whose
 * response did not name its request: a late second copy of that response could not
 * be told from the response to the next request. For the same reason each response
 * after the first one of a connection has to name its request.
 */
import { connect, type Socket } from 'node:net'
import { isNativeError } from 'node:util/types'
import { Client, errors, type Dispatcher } from 'undici'
import { ResultAsync } from 'neverthrow'
import type { Address } from '../catalog/catalogTypes.js'
import type { AnswerHead, AttemptFailure, Call, Dispatch, ForwardInput, RelayDispatch } from '../ports/forwardPort.js'
import type { WireCodec } from '../ports/platformPort.js'
import type { ReportAdapterError } from './listening.js'
import { afterNextRead } from './nextRead.js'
import { checkHead, InvalidHead } from './responseHead.js'
import { MalformedHead, observeConnection, OversizedFraming, type WorkerConnection } from './workerConnection.js'

/** Dependencies of the connection pool. */
export interface ChannelOptions {
  readonly codec: Pick<WireCodec, 'encodeDispatch' | 'encodeRelay' | 'decodeAnswer'>
  /** Receives the results of attempts and probes. */
  readonly emit: (input: ForwardInput) => void
  /** Called for each new connection. */
  readonly onConnectionOpened: () => void
  /** Receives unexpected errors, with the place. */
  readonly reportError?: ReportAdapterError
}

/** The connections of one process to workers. */
export interface WorkerChannels {
  /** Sends a request as the given attempt. */
  readonly send: (attempt: number, dispatch: Dispatch) => void
  /** Passes a request on to another instance as the given attempt. */
  readonly relay: (attempt: number, relay: RelayDispatch) => void
  /** Aborts an attempt and closes its connection; the attempt yields no more inputs. */
  readonly cancel: (attempt: number) => void
  /** Tests whether a worker is reachable, by opening a connection and closing it. */
  readonly probe: (worker: string, address: Dispatch['address']) => void
  /** Closes all idle connections. */
  readonly close: () => Promise<void>
}

/** Time limit for connecting, after which a worker counts as unreachable, in ms. */
const connectTimeout = 200
/** Keep-alive timeout of an idle connection if the worker does not specify one, in ms. */
const defaultIdleTimeout = 4_000
/** Margin by which an idle connection is closed before the keep-alive timeout that the worker specified, in ms. */
const idleTimeoutMargin = 1_200
/** Maximum number of idle connections kept per worker incarnation. */
const maxIdlePerWorker = 32
/** Number of requests that a connection answers without success before it is closed, since the id of each is kept. */
const maxUnsuccessful = 256
/** Maximum size of a response's headers, in bytes. */
const headerBytes = 65_536
/** Idle time of a connection before the first TCP keep-alive probe, in ms. */
const probeDelay = 1_000

/** Error passed to the HTTP library when an attempt is cancelled. */
class AttemptCancelled extends Error {
  override readonly name = 'AttemptCancelled'
}

/** The head of a response made its decoder fail; the HTTP library then ends the exchange with this error. */
class UndecodableHead extends Error {
  override readonly name = 'UndecodableHead'
}

/** A response names no request, although the one before it on its connection did. */
class UnnamedResponse extends Error {
  override readonly name = 'UnnamedResponse'
}

/** The worker did not accept the connection within the time limit. */
class ConnectTimeout extends Error {
  override readonly name = 'ConnectTimeout'
}

interface Channel {
  readonly client: Client
  readonly key: string
  /** The connection that is open or was open last; undefined before the first one. */
  connection: WorkerConnection | undefined
}

interface RunningAttempt {
  readonly channel: Channel
  abort: (() => void) | undefined
  cancelled: boolean
}

const classifyError = (error: Error, connection: WorkerConnection | undefined): AttemptFailure => {
  if (error instanceof OversizedFraming || error instanceof errors.HeadersOverflowError) return 'oversized'
  if (error instanceof MalformedHead || error instanceof InvalidHead || error instanceof UndecodableHead || error instanceof UnnamedResponse) return 'garbled'
  // Chunks that end early with their connection are a parser error, too.
  return error instanceof errors.HTTPParserError && connection?.isClosed() !== true ? 'garbled' : 'cut'
}

const decodeRawHeaders = (raw: readonly Buffer[] | readonly string[] | null | undefined): string[] =>
  (raw ?? []).map(part => typeof part === 'string' ? part : part.toString('latin1'))

/** Connects within `connectTimeout`. The HTTP library's own timers are too coarse for this limit and would exceed it. */
const openSocket = ({ host, port }: Dispatch['address']): ResultAsync<Socket, Error> => ResultAsync.fromPromise(new Promise<Socket>((resolve, reject) => {
  const socket = connect({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: probeDelay })
  // The connection may have been accepted while this process was held up.
  const timer = setTimeout(() => afterNextRead(() => { if (socket.connecting) socket.destroy(new ConnectTimeout()) }), connectTimeout)
  socket.once('connect', () => {
    clearTimeout(timer)
    resolve(socket)
  })
  socket.once('error', error => {
    clearTimeout(timer)
    reject(error)
  })
}), error => isNativeError(error) ? error : new ConnectTimeout())

/** Whether a machine answered that no process accepts connections there. */
const isRefusal = (error: Error): boolean => 'code' in error && (error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET')

/**
 * Creates the connection pool.
 *
 * @param options - codec and callbacks
 * @returns the pool, without open connections
 */
export const createWorkerChannels = (options: ChannelOptions): WorkerChannels => {
  const { codec, emit } = options
  const idle = new Map<string, Channel[]>()
  const runningAttempts = new Map<number, RunningAttempt>()

  const openChannel = (key: string, { host, port }: Dispatch['address']): Channel => {
    const client = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: defaultIdleTimeout,
      keepAliveTimeoutThreshold: idleTimeoutMargin,
      maxHeaderSize: headerBytes,
      connect: (_target, callback) => openSocket({ host, port }).match(
        socket => {
          channel.connection = observeConnection(socket)
          options.onConnectionOpened()
          callback(null, socket)
        },
        error => callback(error, null)
      )
    })
    const channel: Channel = { client, key, connection: undefined }
    return channel
  }

  /** Takes an idle connection to a process, or opens one. A request that is sent again uses no connection of its earlier responses, a copy of which would name it, too. */
  const acquire = (id: string, address: Address, request: string): Channel => {
    const key = `${id}@${address.host}:${address.port}`
    const list = idle.get(key) ?? []
    const index = list.findLastIndex(({ connection }) => connection?.unsuccessful.has(request) !== true)
    return index < 0 ? openChannel(key, address) : list.splice(index, 1)[0]
  }

  const discard = ({ client }: Channel): void => {
    client.destroy().catch(() => { /* The connection is unusable in either case. */ })
  }

  const release = (channel: Channel): void => {
    const list = idle.get(channel.key) ?? []
    idle.set(channel.key, list)
    const isSpent = (channel.connection?.unsuccessful.size ?? 0) >= maxUnsuccessful
    if (list.length >= maxIdlePerWorker || isSpent) discard(channel)
    else list.push(channel)
  }

  const decodeHead = (status: number, raw: Buffer[] | null): AnswerHead => {
    try {
      return codec.decodeAnswer(status, decodeRawHeaders(raw))
    } catch (error) {
      options.reportError?.('decodeAnswer', error)
      throw new UndecodableHead()
    }
  }

  const createHandler = (attempt: number, request: string, running: RunningAttempt): Dispatcher.DispatchHandler => {
    let sent = false
    let namesRequest = false

    const finish = (): boolean => runningAttempts.delete(attempt) && !running.cancelled

    const fail = (failure: AttemptFailure): void => {
      discard(running.channel)
      if (finish()) emit({ kind: 'attempt.failed', attempt, failure })
    }

    return {
      onRequestStart: controller => {
        sent = true
        running.abort = () => controller.abort(new AttemptCancelled())
      },
      onResponseStart: (controller, status, headers) => {
        if (status < 200 || running.cancelled) return
        const { connection } = running.channel
        if (connection !== undefined) connection.receiving = true
        connection?.noteProgress()
        checkHead(status, headers['transfer-encoding'])
        const head = decodeHead(status, controller.rawHeaders as Buffer[] | null)
        if (head.requestId === undefined && connection?.reused === true) throw new UnnamedResponse()
        namesRequest = head.requestId === request
        if (status >= 300) connection?.unsuccessful.add(request)
        emit({ kind: 'attempt.head', attempt, head })
      },
      onResponseData: (_controller, bytes) => {
        running.channel.connection?.noteProgress()
        if (!running.cancelled) emit({ kind: 'attempt.data', attempt, bytes })
      },
      onResponseEnd: () => {
        const { connection } = running.channel
        if (connection !== undefined) {
          connection.receiving = false
          connection.reused = true
        }
        if (!finish()) return discard(running.channel)
        if (namesRequest) release(running.channel)
        else discard(running.channel)
        emit({ kind: 'attempt.ended', attempt })
      },
      onResponseError: (_controller, error) => {
        if (!sent) return fail('unsent')
        fail(classifyError(error, running.channel.connection))
      }
    }
  }

  const sendOn = (channel: Channel, attempt: number, { id, method, target, body }: Call, headers: string[]): void => {
    const running: RunningAttempt = { channel, abort: undefined, cancelled: false }
    runningAttempts.set(attempt, running)
    channel.client.dispatch({
      method: method as Dispatcher.HttpMethod,
      path: target,
      headers,
      body: body.length > 0 ? body : null
    }, createHandler(attempt, id, running))
  }

  const send = (attempt: number, dispatch: Dispatch): void =>
    sendOn(acquire(dispatch.worker, dispatch.address, dispatch.call.id), attempt, dispatch.call, codec.encodeDispatch(dispatch))

  const relay = (attempt: number, dispatch: RelayDispatch): void =>
    sendOn(acquire(dispatch.peer, dispatch.address, dispatch.call.id), attempt, dispatch.call, codec.encodeRelay(dispatch))

  const cancel = (attempt: number): void => {
    const running = runningAttempts.get(attempt)
    if (running === undefined) return
    running.cancelled = true
    runningAttempts.delete(attempt)
    running.abort?.()
    discard(running.channel)
  }

  const probe = async (worker: string, address: Dispatch['address']): Promise<void> => {
    const socket = await openSocket(address)
    socket.map(open => open.destroy())
    const refused = socket.isErr() && isRefusal(socket.error)
    emit({ kind: 'worker.probed', worker, reachable: socket.isOk(), ...(refused ? { refused } : {}) })
  }

  const close = async (): Promise<void> => {
    const all = [...idle.values()].flat()
    idle.clear()
    await Promise.allSettled(all.map(({ client }) => client.destroy()))
  }

  return { send, relay, cancel, probe, close }
}
