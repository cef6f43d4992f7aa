/**
 * Connections to workers. Each carries one request at a time and belongs to one
 * lifetime of one worker. A connection that delivered anything but the one
 * answer that was due is not used again, and a reset does not count as the end
 * of an answer that has no length.
 */
import { connect, type Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import { ResultAsync } from 'neverthrow'
import type { AttemptFailure, Dispatch, ForwardInput } from '../ports/forwardPort.js'
import type { WireCodec } from '../ports/platformPort.js'

/** What the connections need. */
export interface ChannelOptions {
  readonly codec: Pick<WireCodec, 'encodeDispatch' | 'decodeAnswer'>
  readonly emit: (input: ForwardInput) => void
  /** Counts a new connection. */
  readonly opened: () => void
}

/** The connections of one process. */
export interface WorkerChannels {
  readonly send: (attempt: number, dispatch: Dispatch) => void
  readonly cancel: (attempt: number) => void
  /** Opens a connection to see whether the worker can be reached, and closes it. */
  readonly probe: (worker: string, address: Dispatch['address']) => void
  readonly close: () => Promise<void>
}

/** Time to connect after which a worker counts as unreachable, in ms. */
const connectTimeout = 200
/** Time for which an idle connection is kept when the worker does not say, in ms. */
const idleTime = 4_000
/** Safety before the time that the worker says, in ms. */
const idleReserve = 1_200
const mostIdle = 32
const headerBytes = 65_536
/** Silence before a connection is probed, in ms. */
const probeDelay = 1_000

/** The reason that a connection is given for breaking off. */
class AttemptCancelled extends Error {
  override readonly name = 'AttemptCancelled'
}

/** The worker did not take the connection in time. */
class ConnectTimeout extends Error {
  override readonly name = 'ConnectTimeout'
}

interface Channel {
  readonly client: Client
  readonly key: string
  /** Whether the answer under way ends with the connection. */
  unframed: boolean
  /** Whether the connection was reset. */
  reset: boolean
}

interface Running {
  readonly channel: Channel
  abort: (() => void) | undefined
  cancelled: boolean
}

const isUnframed = (headers: readonly string[]): boolean =>
  !headers.some((name, index) => index % 2 === 0 && (name.toLowerCase() === 'content-length' || name.toLowerCase() === 'transfer-encoding'))

const textOf = (raw: readonly Buffer[] | readonly string[] | null | undefined): string[] =>
  (raw ?? []).map(part => typeof part === 'string' ? part : part.toString('latin1'))

/** Connects within the time limit, which the library's own coarse timers would overrun. */
const openSocket = ({ host, port }: Dispatch['address']): ResultAsync<Socket, Error> => ResultAsync.fromPromise(new Promise<Socket>((resolve, reject) => {
  const socket = connect({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: probeDelay })
  const timer = setTimeout(() => socket.destroy(new ConnectTimeout()), connectTimeout)
  socket.once('connect', () => {
    clearTimeout(timer)
    resolve(socket)
  })
  socket.once('error', error => {
    clearTimeout(timer)
    reject(error)
  })
}), error => error instanceof Error ? error : new ConnectTimeout())

/**
 * Notes a reset. The event loop reports a reset that comes together with data
 * as an ordinary end, but a write then fails at once; an empty line between
 * requests means nothing to a worker that has only closed its side.
 */
const watchSocket = (channel: Channel, socket: Socket): void => {
  socket.once('error', () => { channel.reset = true })
  socket.once('end', () => {
    if (!channel.unframed) return
    socket.write('\r\n')
    channel.reset ||= socket.errored !== null
  })
}

/**
 * Creates the connections.
 *
 * @param options - codec and outlets
 */
export const createWorkerChannels = (options: ChannelOptions): WorkerChannels => {
  const { codec, emit } = options
  const idle = new Map<string, Channel[]>()
  const running = new Map<number, Running>()

  const openChannel = (key: string, { host, port }: Dispatch['address']): Channel => {
    const client = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTime,
      keepAliveTimeoutThreshold: idleReserve,
      maxHeaderSize: headerBytes,
      connect: (_target, callback) => openSocket({ host, port }).match(
        socket => {
          watchSocket(channel, socket)
          options.opened()
          callback(null, socket)
        },
        error => callback(error, null)
      )
    })
    const channel: Channel = { client, key, unframed: false, reset: false }
    return channel
  }

  const take = (dispatch: Dispatch): Channel => {
    const key = `${dispatch.worker}@${dispatch.address.host}:${dispatch.address.port}`
    return idle.get(key)?.pop() ?? openChannel(key, dispatch.address)
  }

  const discard = ({ client }: Channel): void => {
    client.destroy().catch(() => { /* It is gone either way. */ })
  }

  const giveBack = (channel: Channel): void => {
    const list = idle.get(channel.key) ?? []
    idle.set(channel.key, list)
    if (channel.reset || list.length >= mostIdle) discard(channel)
    else list.push(channel)
  }

  const createHandler = (attempt: number, run: Running): Dispatcher.DispatchHandler => {
    let sent = false

    const end = (): boolean => running.delete(attempt) && !run.cancelled

    const fail = (failure: AttemptFailure): void => {
      discard(run.channel)
      if (end()) emit({ kind: 'attempt.failed', attempt, failure })
    }

    return {
      onRequestStart: controller => {
        sent = true
        run.abort = () => controller.abort(new AttemptCancelled())
      },
      onResponseStart: (controller, status) => {
        if (status < 200 || run.cancelled) return
        const headers = textOf(controller.rawHeaders as Buffer[] | null)
        run.channel.unframed = isUnframed(headers)
        emit({ kind: 'attempt.head', attempt, head: codec.decodeAnswer(status, headers) })
      },
      onResponseData: (_controller, bytes) => {
        if (!run.cancelled) emit({ kind: 'attempt.data', attempt, bytes })
      },
      onResponseEnd: () => {
        if (run.channel.unframed && run.channel.reset) return fail('cut')
        if (!end()) return discard(run.channel)
        giveBack(run.channel)
        emit({ kind: 'attempt.ended', attempt })
      },
      onResponseError: (_controller, error) => {
        if (!sent) return fail('unsent')
        fail(error.name === 'HTTPParserError' ? 'garbled' : 'cut')
      }
    }
  }

  const send = (attempt: number, dispatch: Dispatch): void => {
    const run: Running = { channel: take(dispatch), abort: undefined, cancelled: false }
    running.set(attempt, run)
    const { method, target, body } = dispatch.call
    run.channel.client.dispatch({
      method: method as Dispatcher.HttpMethod,
      path: target,
      headers: codec.encodeDispatch(dispatch),
      body: body.length > 0 ? body : null
    }, createHandler(attempt, run))
  }

  const cancel = (attempt: number): void => {
    const run = running.get(attempt)
    if (run === undefined) return
    run.cancelled = true
    running.delete(attempt)
    run.abort?.()
    discard(run.channel)
  }

  const probe = async (worker: string, address: Dispatch['address']): Promise<void> => {
    const socket = await openSocket(address)
    socket.map(open => open.destroy())
    emit({ kind: 'worker.probed', worker, reachable: socket.isOk() })
  }

  const close = async (): Promise<void> => {
    const all = [...idle.values()].flat()
    idle.clear()
    await Promise.allSettled(all.map(({ client }) => client.destroy()))
  }

  return { send, cancel, probe, close }
}
