/**
 * Connections to workers. Each carries one request at a time and belongs to one
 * lifetime of one worker. A connection that delivered anything but the one
 * answer that was due is not used again, and a reset does not count as the end
 * of an answer that has no length.
 */
import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'
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
  readonly close: () => Promise<void>
}

/** Time to connect after which a worker counts as unreachable, in ms. */
const connectTimeout = 350
/** Time for which an idle connection is kept when the worker does not say, in ms. */
const idleTime = 4_000
/** Safety before the time that the worker says, in ms. */
const idleReserve = 1_200
const mostIdle = 32
const headerBytes = 65_536

/** The reason that a connection is given for breaking off. */
class AttemptCancelled extends Error {
  override readonly name = 'AttemptCancelled'
}

interface Channel {
  readonly client: Client
  readonly key: string
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
    const connector = buildConnector({ timeout: connectTimeout, keepAlive: true, keepAliveInitialDelay: 1_000 })
    const client = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTime,
      keepAliveTimeoutThreshold: idleReserve,
      maxHeaderSize: headerBytes,
      connect: (target, callback) => connector(target, (...result) => {
        const socket = result[1] as Socket | null
        socket?.once('error', () => { channel.reset = true })
        if (socket !== null) options.opened()
        callback(...result)
      })
    })
    const channel: Channel = { client, key, reset: false }
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
    let unframed = false

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
        unframed = isUnframed(headers)
        emit({ kind: 'attempt.head', attempt, head: codec.decodeAnswer(status, headers) })
      },
      onResponseData: (_controller, bytes) => {
        if (!run.cancelled) emit({ kind: 'attempt.data', attempt, bytes })
      },
      onResponseEnd: () => {
        if (unframed && run.channel.reset) return fail('cut')
        if (!end()) return discard(run.channel)
        giveBack(run.channel)
        emit({ kind: 'attempt.ended', attempt })
      },
      onResponseError: (_controller, error) => {
        const garbled = 'code' in error && typeof error.code === 'string' && error.code.startsWith('HPE_')
        fail(sent ? garbled ? 'garbled' : 'cut' : 'unsent')
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

  const close = async (): Promise<void> => {
    const all = [...idle.values()].flat()
    idle.clear()
    await Promise.allSettled(all.map(({ client }) => client.destroy()))
  }

  return { send, cancel, close }
}
