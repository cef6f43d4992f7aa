/**
 * The process of an entry instance: connects the core to its network adapters.
 * All inputs pass through one function on one thread, and each is handled with
 * the time at which it arrived.
 */
import { randomBytes } from 'node:crypto'
import { createEndpointHttp } from '../adapters/endpointHttp.js'
import { createLogHttp } from '../adapters/logHttp.js'
import { createMembershipHttp } from '../adapters/membershipHttp.js'
import { createHttpServer, type HttpServer } from '../adapters/httpServer.js'
import { loadCredentials, type Credentials } from '../adapters/credentials.js'
import type { ReportAdapterError } from '../adapters/listening.js'
import { createPeerTcp, type PeerNetwork } from '../adapters/peerTcp.js'
import { assertNever } from '../errors.js'
import { createErrorReports } from '../gateway/errorReports.js'
import { loadHash } from '../hash.js'
import { createLogger, type Logger } from '../logger.js'
import { createMetrics, type Metrics } from '../metrics/metrics.js'
import { createNode } from '../node/nodeMachine.js'
import type { NodeEffect, NodeInput } from '../node/nodeTypes.js'
import { tickInterval } from '../ports/peerPort.js'
import { createRandom } from '../random.js'
import type { Settings } from '../settings/settingsSchema.js'

/** A running entry instance. */
export interface EntryProcess {
  readonly callerPort: number
  readonly operatorPort: number
  readonly peerPort: number
  /** Resolves once the instance has drained. */
  readonly ended: Promise<void>
  /** Starts a graceful shutdown, which lets requests in progress complete. */
  readonly drain: () => void
  /** Reloads the TLS certificates. */
  readonly reload: () => void
  /** Counts and logs an unexpected error of a place. */
  readonly reportError: (place: string, error: unknown) => void
}

/** Time within which a request of an operator must be received, in ms. */
const operatorReceiveTimeout = 15_000
/** Maximum size of the body of an operator's request, in bytes. */
const operatorBodyLimit = 16 * 1024 * 1024
/** Time for which an instance that exits waits until the outcomes of its calls have been recorded, in ms; the log may be unavailable for long. */
const recordTimeout = 5_000
/** Number of random bytes in a generated incarnation id. */
const incarnationBytes = 6

/** Response to a request whose handling failed with an unexpected error; it may have run. Ignored if the request has been answered. */
const internalErrorAnswer = { status: 500, headers: { 'content-type': 'application/json' }, body: '{"error":{"type":"internal_error","outcome":"unknown"}}' }

const delay = (time: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, time) })

interface EntryServers {
  readonly callers: HttpServer
  readonly operators: HttpServer
  readonly peers: PeerNetwork
}

const createServers = (settings: Settings, incarnation: string, metrics: Metrics, credentials: Credentials | undefined, receive: (input: NodeInput) => void, reportError: ReportAdapterError): EntryServers => {
  const { caller, operator, peer, instance } = settings
  const callers = createHttpServer({
    host: caller.host,
    port: caller.port,
    bodyLimit: caller.body_limit,
    headerLimit: caller.header_limit,
    receiveTimeout: caller.receive_timeout,
    writeBuffer: caller.write_buffer,
    credentials
  }, {
    arrived: request => receive({ kind: 'caller.request', ...request }),
    gone: request => receive({ kind: 'caller.gone', request }),
    blocked: request => receive({ kind: 'caller.blocked', request }),
    ready: request => receive({ kind: 'caller.ready', request }),
    refused: error => metrics.requests.inc({ workspace: 'none', outcome: 'not_run', error: error.kind }),
    reportError
  })
  const operators: HttpServer = createHttpServer({
    host: operator.host,
    port: operator.port,
    bodyLimit: operatorBodyLimit,
    headerLimit: caller.header_limit,
    receiveTimeout: operatorReceiveTimeout,
    writeBuffer: caller.write_buffer,
    credentials
  }, {
    arrived: request => {
      if (request.method === 'GET' && request.path === '/metrics') answerMetrics(operators, metrics, request.request)
      else receive({ kind: 'operator.request', ...request })
    },
    gone: () => { /* Responses to operators are not streamed, so there is nothing to cancel. */ },
    blocked: () => { /* Responses to operators are not streamed. */ },
    ready: () => { /* Responses to operators are not streamed. */ },
    refused: () => { /* The response states the reason. */ },
    reportError
  })
  const peers = createPeerTcp({ id: instance.id, incarnation, host: peer.host, port: peer.port, frameLimit: peer.frame_limit, credentials }, {
    emit: receive,
    garbled: problem => metrics.garbledFrames.inc({ problem }),
    sent: bytes => metrics.peerBytes.inc({ direction: 'sent' }, bytes),
    received: bytes => metrics.peerBytes.inc({ direction: 'received' }, bytes),
    reportError
  })
  return { callers, operators, peers }
}

const answerMetrics = async (operators: HttpServer, metrics: Metrics, request: number): Promise<void> => {
  const body = await metrics.registry.metrics()
  operators.perform({ kind: 'caller.answer', request, status: 200, headers: { 'content-type': metrics.registry.contentType }, body })
}

const logChange = (logger: Logger, effect: Extract<NodeEffect, { kind: 'node.changed' }>): void => {
  const { kind, ...details } = effect.change
  logger.info(details, kind)
}

/**
 * Starts an entry instance.
 *
 * @param settings - validated settings
 * @param beforeListening - awaited before callers can connect; by default nothing
 * @returns the running instance, once it listens on its ports
 */
export const startEntry = async (settings: Settings, beforeListening: () => Promise<void> = async () => {}): Promise<EntryProcess> => {
  const incarnation = settings.instance.incarnation || `${Date.now().toString(36)}-${randomBytes(incarnationBytes).toString('hex')}`
  const logger = createLogger(settings.instance.id, settings.instance.log_level)
  const metrics = createMetrics({ processMetrics: true })
  const hash = await loadHash()
  const { tls, platform } = settings
  const credentials = tls.ca === '' ? undefined : loadCredentials(tls)
  const tlsOptions = credentials === undefined ? {} : { tls: credentials.server }

  const reports = createErrorReports({
    count: place => metrics.internalErrors.inc({ place }),
    write: ({ kind, ...fields }) => logger.error(fields, kind)
  })
  const reportError = (place: string, error: unknown): void => reports(place, error, performance.now())
  const pendingInputs: NodeInput[] = []
  let receive = (input: NodeInput): void => { pendingInputs.push(input) }
  const handleInput = (input: NodeInput): void => receive(input)
  const servers = createServers(settings, incarnation, metrics, credentials, handleInput, reportError)
  const peerPort = await servers.peers.listen()
  const operatorPort = await servers.operators.listen()
  await beforeListening()
  const callerPort = await servers.callers.listen()

  const endpoints = createEndpointHttp({ ...tlsOptions, emit: handleInput, kindOf: id => settings.service[id] === undefined ? 'worker' : 'service' })
  const log = platform.log_url === '' ? undefined : createLogHttp({ ...tlsOptions, baseUrl: platform.log_url, emit: handleInput })
  const membership = platform.membership_url === '' ? undefined : createMembershipHttp({ ...tlsOptions, baseUrl: platform.membership_url, emit: handleInput })
  const startedAt = Date.now()
  const node = createNode({ settings, self: { incarnation, callerPort, peerPort }, hash, random: createRandom(randomBytes(4).readInt32BE()), metrics, startedAt })

  let resolveEnded: () => void = () => { /* Replaced by the promise below. */ }
  const ended = new Promise<void>(resolve => { resolveEnded = resolve })

  /** What callers or operators have sent is still answered, for which the node, its peers and the log are needed. */
  const exit = async (): Promise<void> => {
    await servers.callers.flushed()
    while (node.running() > 0) await delay(tickInterval)
    const recordBy = performance.now() + recordTimeout
    while (!node.hasRecordedOutcomes() && performance.now() < recordBy) await delay(tickInterval)
    servers.operators.closeListener()
    await servers.operators.flushed()
    clearInterval(timer)
    servers.peers.close()
    await Promise.all([endpoints.close(), log?.close(), membership?.close()])
    servers.callers.destroy()
    servers.operators.destroy()
    logger.info({}, 'ended')
    resolveEnded()
  }

  const perform = (effect: NodeEffect): void => {
    switch (effect.kind) {
      case 'caller.answer':
      case 'caller.open':
      case 'caller.write':
      case 'caller.end':
      case 'caller.abort': return servers.callers.perform(effect)
      case 'operator.answer': return servers.operators.perform({ ...effect, kind: 'caller.answer' })
      case 'peer.send': return servers.peers.perform(effect)
      case 'node.peers': return servers.peers.setAddresses(new Map(effect.members.flatMap(({ id, peer }) => peer === undefined ? [] : [[id, peer]])))
      case 'node.error': return reportError(effect.place, effect.error)
      case 'node.changed': return logChange(logger, effect)
      case 'log.append':
      case 'log.read': {
        const { owner, token, stream } = effect
        if (log === undefined) queueMicrotask(() => handleInput({ kind: 'log.failed', owner, token, stream, failure: 'unavailable' }))
        else log.perform(effect)
        return
      }
      case 'membership.fetch':
      case 'membership.announce': {
        if (membership === undefined) queueMicrotask(() => handleInput({ kind: 'membership.failed' }))
        else membership.perform(effect)
        return
      }
      case 'drain.announce': {
        servers.callers.setClosing()
        servers.operators.setClosing()
        return
      }
      case 'drain.closeListener': return servers.callers.closeListener()
      case 'drain.exit': {
        exit()
        return
      }
      default: return performEndpoint(effect)
    }
  }

  const performOrReport = (effect: NodeEffect): void => {
    try {
      perform(effect)
    } catch (error) {
      reportError(effect.kind, error)
      // The caller is told by the end of its connection; its request may have run.
      if (effect.kind === 'caller.answer' || effect.kind === 'caller.open' || effect.kind === 'caller.write') servers.callers.perform({ kind: 'caller.abort', request: effect.request })
    }
  }

  const performEndpoint = (effect: Parameters<typeof endpoints.perform>[0]): void => {
    switch (effect.kind) {
      case 'endpoint.dispatch':
      case 'endpoint.cancel':
      case 'endpoint.detach':
      case 'endpoint.pause':
      case 'endpoint.resume':
      case 'endpoint.probe':
      case 'endpoint.follow':
      case 'endpoint.unfollow':
      case 'endpoint.order': return endpoints.perform(effect)
      default: assertNever(effect)
    }
  }

  receive = input => {
    if (input.kind === 'log.failed') metrics.logFailures.inc({ stream: input.stream.split('/')[0] })
    let failed = false
    for (const effect of node.handle(input, Date.now())) {
      failed ||= effect.kind === 'node.error'
      performOrReport(effect)
    }
    if (failed && input.kind === 'caller.request') performOrReport({ kind: 'caller.answer', request: input.request, ...internalErrorAnswer })
  }
  for (const input of pendingInputs.splice(0)) receive(input)
  const timer = setInterval(() => receive({ kind: 'tick' }), tickInterval)
  logger.info({ incarnation, callerPort, operatorPort, peerPort }, 'started')
  return {
    callerPort,
    operatorPort,
    peerPort,
    ended,
    drain: () => receive({ kind: 'drain.start' }),
    reportError,
    reload: () => logger.info({ reloaded: credentials?.reload() ?? false }, 'credentials')
  }
}
